"""Workers of the deployment, their load and health, and worker selection."""
