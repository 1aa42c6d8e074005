"""Fault scenarios on a virtual clock: the real engine and dispatcher with simulated workers, store and network."""
