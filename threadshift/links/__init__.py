"""Connections to workers: the frame codec, one link a worker, and what a broken connection proves."""
