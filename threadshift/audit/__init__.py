"""Checks the five rules from what was recorded at the sockets; independent of the engine and the policy."""
