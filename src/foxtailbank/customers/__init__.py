"""Customers that share a deployment: their keys, limits and shares."""
