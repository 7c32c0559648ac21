"""Batch submissions whose whole state is one ordered log in the platform's store."""
