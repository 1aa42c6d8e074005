"""Rollouts: front ends take a change of program, settings or eviction policy in stages, or go back."""
