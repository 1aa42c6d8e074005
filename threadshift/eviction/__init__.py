"""Eviction when memory is short: policies, the one active on all nodes, and protection of the last copy."""
