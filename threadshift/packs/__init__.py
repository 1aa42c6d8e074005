"""Packs of functions: their versions, aliases and the file that remembers them."""
