"""The supervisor: it owns the state, runs the workers, shares limits out, and serves the administration API."""
