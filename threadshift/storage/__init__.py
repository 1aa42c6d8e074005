"""Durable records: an append-only journal with snapshots, on disks that may fail or lose data."""
