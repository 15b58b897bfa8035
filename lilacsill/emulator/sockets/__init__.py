"""The models on real sockets of loopback."""
