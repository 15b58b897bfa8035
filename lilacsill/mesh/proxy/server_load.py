"""The `Server-Load` header, in which a backend reports its load: running, waiting and slots, as `2,0,4`.

Both functions are pure and return None where the header is malformed, since a backend may send anything.
"""

from __future__ import annotations

FIELDS = 3


def reported_requests(header: bytes) -> int | None:
    """Return how many requests the backend has, running and waiting."""
    parts = header.split(b",")
    if len(parts) != FIELDS or not (parts[0].strip().isdigit() and parts[1].strip().isdigit()):
        return None
    return int(parts[0]) + int(parts[1])


def reported_slots(header: bytes) -> int | None:
    """Return how many requests the backend works on at once."""
    parts = header.split(b",")
    if len(parts) != FIELDS or not parts[2].strip().isdigit():
        return None
    return int(parts[2])
