"""Stand-ins for the outside systems, and the load and experiment tool."""
