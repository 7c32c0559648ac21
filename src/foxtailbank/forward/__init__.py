"""Routing and forwarding of online requests to workers."""
