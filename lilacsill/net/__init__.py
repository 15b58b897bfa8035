"""Byte streams over TCP on the event loop: used for all sockets of the agent except its listeners."""
