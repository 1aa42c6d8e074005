"""Days on a virtual clock: the real desk and decisions against modelled workers, store, network and clients."""
