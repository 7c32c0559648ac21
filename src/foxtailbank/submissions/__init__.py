"""Batch submissions, with all state in one ordered log in the platform's store."""
