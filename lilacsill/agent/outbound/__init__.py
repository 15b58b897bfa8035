"""The side of the backends: attempts, health checks and the pool of connections."""
