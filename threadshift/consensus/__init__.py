"""A small replicated log with terms, one leader at a time and snapshots. Free of I/O and clocks."""
