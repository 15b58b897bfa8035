"""Fleets in virtual time: the real decisions of many agents, on links that fail by a script."""
