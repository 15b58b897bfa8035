"""The rules that a soak can break, and what a report says of each break. No I/O."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Rule(StrEnum):
    """What can be broken."""

    LOST_REQUEST = "LOST: a connection ended without a complete response"
    LOST_AT_SHUTDOWN = "LOST: a leaving proxy answered for a backend that was at work"
    LOST_CHANGE = "LOST: an acknowledged change is gone"
    EARLY_FAILURE = "a proxy answered for a backend that was at work, before the deadline"
    UNANSWERED = "no response after the deadline"
    TWICE = "TWICE: a write ran more than once"
    TWICE_BY_OPERATION = "TWICE: two requests of one operation ran"
    REFUSED = "REFUSED: a write ran though its client was promised that it did not"
    MIXED = "MIXED: a success that is not the backend's"
    MIXED_REPEAT = "MIXED: a repeat with another response than that of the first run"
    UNASKED = "UNASKED: a request ran that no client sent"
    UNASKED_CUSTOMER = "UNASKED: a request ran with another customer than the tenant of its key"
    UNASKED_KEY = "UNASKED: the key of a tenant was passed on"
    ROUTE_KEY = "ROUTE: a request ran with a key that no configuration has ever had"
    CONFIG_REVOKED = "CONFIG: a request ran with a key that was taken away"
    CONFIG_DENIED = "CONFIG: a key was rejected that every configuration that may be in force has"
    DENIED = "DENIED: too many proper requests were rejected"
    QUOTA = "QUOTA: a tenant ran more requests in one window than its limit allows"
    PROCESS_ENDED = "a process ended by itself, or with another status than 0 after SIGTERM"
    LATE_EXIT = "a process outlived its grace period"


class Violation(msgspec.Struct, frozen=True):
    """One broken rule."""

    rule: Rule
    at: int
    detail: str
    attempt_id: str = ""  # of the request that it is about
