"""guild: what the mesh's three programs share: settings, loop, messages, links, who knows whom, the ring of log."""
