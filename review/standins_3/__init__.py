"""Stand-ins for the scripts of the third review, of the standard library alone."""
