"""Service discovery: the list of backends, and the watch that keeps it up to date."""
