"""Carries requests of a VM that has lost its workers to VMs that reach them."""
