"""A front end as the platform starts it: what it is told, its signals, the one timer, order of start and end."""
