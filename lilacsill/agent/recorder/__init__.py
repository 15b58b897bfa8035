"""Recordings of an agent's events for replays: requests, attempts, responses and backends, without bodies or keys."""
