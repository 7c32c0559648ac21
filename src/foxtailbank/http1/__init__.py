"""HTTP/1.1 over anyio streams, where each connection's state must be known."""
