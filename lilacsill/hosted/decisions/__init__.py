"""The decisions of the hosted service: authentication, limits, fair queueing, usage. No I/O, no clock."""
