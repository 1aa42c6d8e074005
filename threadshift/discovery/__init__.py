"""Where the list of workers comes from, and what of it is believed."""
