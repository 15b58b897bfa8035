"""Service discovery: the list of backends and the client that watches it for changes."""
