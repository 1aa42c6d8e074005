"""A front end as the platform starts it: configuration, signals, timer, and the order of start and shutdown."""
