"""Connections between the front ends of one installation, and the replicated log that runs over them."""
