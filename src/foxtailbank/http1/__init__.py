"""HTTP/1.1 client and server over anyio streams, with explicit connection state."""
