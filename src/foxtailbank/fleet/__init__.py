"""Workers of the deployment, what runs on them, and which one is chosen."""
