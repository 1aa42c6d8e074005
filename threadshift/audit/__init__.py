"""The five rules, checked from what was recorded at the sockets; knows nothing of desk or policy."""
