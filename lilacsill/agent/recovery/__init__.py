"""Recovery after a power loss: the state that an agent saves, and what of it the next start trusts."""
