"""Explains where a request or a batch item would go now, without sending it."""
