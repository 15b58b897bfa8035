"""Parses the `Server-Load` header, in which a backend reports running requests, waiting requests and slots: `2,0,4`.

Both functions return None if the header is malformed, since a backend may send anything.
"""

from __future__ import annotations

from lilacsill.http1.decimal import parse_decimal

FIELD_COUNT = 3


def reported_requests(header: bytes) -> int | None:
    """Return the number of requests at the backend, running and waiting."""
    parts = header.split(b",")
    if len(parts) != FIELD_COUNT:
        return None
    running, waiting = parse_decimal(parts[0]), parse_decimal(parts[1])
    return None if running is None or waiting is None else running + waiting


def reported_slots(header: bytes) -> int | None:
    """Return the number of slots: how many requests the backend processes concurrently."""
    parts = header.split(b",")
    return parse_decimal(parts[2]) if len(parts) == FIELD_COUNT else None
