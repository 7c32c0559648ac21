"""Stand-ins of the platform for the scripts of cases 6 to 10."""
