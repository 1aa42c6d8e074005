"""Workers, pack store, roster feed and clients of our own, as processes on loopback with faults to order."""
