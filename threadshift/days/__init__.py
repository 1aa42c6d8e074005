"""Days: what a fleet, its clients and its troubles are like for a while, as text; and playing them for real."""
