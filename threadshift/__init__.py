"""threadshift: a dispatcher for many small models sharing a fleet of workers."""
