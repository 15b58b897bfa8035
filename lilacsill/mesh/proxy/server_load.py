"""Parses the `Server-Load` header, in which a backend reports running requests, waiting requests and slots: `2,0,4`.

Both functions return None if the header is malformed, since a backend may send anything.
"""

from __future__ import annotations

FIELD_COUNT = 3


def reported_requests(header: bytes) -> int | None:
    """Return the number of requests at the backend, running and waiting."""
    parts = header.split(b",")
    if len(parts) != FIELD_COUNT or not (parts[0].strip().isdigit() and parts[1].strip().isdigit()):
        return None
    return int(parts[0]) + int(parts[1])


def reported_slots(header: bytes) -> int | None:
    """Return the number of slots: how many requests the backend processes concurrently."""
    parts = header.split(b",")
    if len(parts) != FIELD_COUNT or not parts[2].strip().isdigit():
        return None
    return int(parts[2])
