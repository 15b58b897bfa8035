"""Streams of bytes over TCP on the event loop; all of the agent's sockets but the listener are here."""
