"""Byte streams over TCP on the event loop: all sockets of the agent but the listener."""
