"""The daemon: starts, wires, drains and stops front ends."""
