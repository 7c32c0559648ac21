"""Stand-ins for the review's scripts: store, workers, clients, process starter."""
