"""A small BGP speaker: announces this front end's service addresses while it can serve."""
