"""Communication between the agents of a fleet over UDP: membership, counts, shared budgets and backend health."""
