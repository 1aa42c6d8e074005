"""Experiments on top of the emulator."""
