"""Agents that know of each other: membership, counts, shared budgets and backend health, over one UDP channel."""
