"""Experiments on the emulator: sweeps, searches for failures, and their statistics."""
