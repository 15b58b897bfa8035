"""lilacsill: a client-side load balancing agent on real sockets, around the decisions of brasshead."""
