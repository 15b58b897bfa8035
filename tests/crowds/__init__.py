"""Crowds of clients that don't behave, against real processes with lowered limits; CI plays them by themselves."""
