"""Recovery after a power loss: an agent saves its state, and its next start restores what is still valid."""
