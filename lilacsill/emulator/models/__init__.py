"""What the emulated parts do, without I/O and with the time from outside. Times are integer microseconds."""
