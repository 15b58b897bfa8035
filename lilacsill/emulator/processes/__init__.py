"""Hundreds of agents as processes, and faults between them."""
