"""Stand-in processes on loopback: workers, pack store, roster feed, router and relays, with faults on order."""
