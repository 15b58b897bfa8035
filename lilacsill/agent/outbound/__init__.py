"""The backends' side: attempts, health checks and the pool of connections."""
