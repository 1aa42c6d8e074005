"""Runs instances of the dispatcher behind the simulator's protocol. No decision is taken here."""
