"""Recordings of what an agent sees, for replays: arrivals, attempts, answers and lists; no bodies and no keys."""
