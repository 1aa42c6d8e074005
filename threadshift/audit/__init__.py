"""The five rules, checked from what was recorded at the sockets; knows nothing of engine or policy."""
