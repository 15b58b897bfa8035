"""A worker: one process that serves requests of tenants; the supervisor sends it the state that it serves by."""
