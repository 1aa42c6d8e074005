"""Days on a virtual clock: the real engine and decisions against modelled workers, store, network and clients."""
