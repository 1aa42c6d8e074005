"""Fault scenarios: a fleet, its clients and what goes wrong, as text, and running them with real processes."""
