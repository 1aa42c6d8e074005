"""Batches of deferred calls, which can be cancelled together and restored while the undo window is open."""
