"""Decision library of a client-side load balancer: it consumes events and returns actions, and does no I/O."""
