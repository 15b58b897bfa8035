"""brasshead: the decisions of a client-side load balancer, as a library."""
