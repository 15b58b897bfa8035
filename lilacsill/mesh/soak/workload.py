"""The work that a soak sends, drawn by seed: services, routes, durations and the habits of clients. No I/O."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

US_PER_MS = 1_000


class Habit(StrEnum):
    """How a client uses its connections."""

    ONE_AT_A_TIME = "one at a time"  # one request at a time on a connection that it keeps
    PIPELINED = "pipelined"  # further requests before the first has its response
    FRESH = "fresh"  # a new connection for each request
    UPLOADER = "uploader"  # as ONE_AT_A_TIME, writes with long bodies that it sends in chunks
    SLOW_READER = "slow reader"  # as ONE_AT_A_TIME, with long responses that it reads in small chunks


class DurationMix(msgspec.Struct, frozen=True):
    """Durations of the work on one route: each value with its weight. Milliseconds."""

    values_ms: tuple[int, ...]
    weights: tuple[int, ...]

    def draw_us(self, rng: Random) -> int:
        """Return one duration in microseconds, up to a third longer or shorter than its value."""
        value_ms = rng.choices(self.values_ms, self.weights)[0]
        return int(value_ms * US_PER_MS * rng.uniform(0.67, 1.33))


class RouteWork(msgspec.Struct, frozen=True):
    """One route and what its requests ask for."""

    name: str
    service: str
    idempotent: bool
    patience_ms: int  # of its clients
    timeout_ms: int
    target_ms: int
    durations: DurationMix
    body_bytes: int  # of a response
    is_keyed: bool = False  # a `keyed_write`: its requests carry `Operation-Key`
    is_public: bool = False  # its requests need no key of a tenant


class Workload(msgspec.Struct, frozen=True):
    """The services and routes of one soak."""

    name: str
    services: tuple[str, ...]
    routes: tuple[RouteWork, ...]
    has_tenants: bool = False  # the deployment is shared: keys, quotas and operations hold

    def route(self, name: str) -> RouteWork:
        """Return a route by its name."""
        return next(route for route in self.routes if route.name == name)


SHORT_DEADLINES = Workload(
    "short deadlines",
    ("memory", "memory", "terms"),
    (
        RouteWork("lookup", "memory", True, 800, 800, 200, DurationMix((30, 60, 180), (3, 6, 1)), 1_500),
        RouteWork("commit", "memory", False, 1_000, 1_000, 250, DurationMix((40, 80, 240), (3, 6, 1)), 5_000),
        RouteWork("glossary", "terms", True, 1_500, 1_500, 400, DurationMix((120, 150, 450), (3, 6, 1)), 1_500),
    ),
)
MIXED_WORK = Workload(
    "mixed work",
    ("memory",),
    (
        RouteWork("read", "memory", True, 5_000, 5_000, 500, DurationMix((20, 300, 1_500), (20, 2, 1)), 1_500),
        RouteWork("write", "memory", False, 5_000, 5_000, 500, DurationMix((20, 300, 1_500), (20, 2, 1)), 5_000),
    ),
)
LONG_RESPONSES = Workload(
    "long responses",
    ("memory", "terms"),
    (
        RouteWork("read", "memory", True, 4_000, 4_000, 500, DurationMix((20, 100), (5, 1)), 200_000),
        RouteWork("write", "memory", False, 4_000, 4_000, 500, DurationMix((20, 400), (5, 1)), 90_000),
        RouteWork("glossary", "terms", True, 1_500, 1_500, 400, DurationMix((50, 150), (3, 1)), 1_500),
    ),
)
SHARED_WORK = Workload(
    "shared work",
    ("stock", "stock", "catalog"),
    (
        RouteWork("shelf", "stock", True, 2_600, 2_600, 630, DurationMix((40, 100, 300), (3, 6, 1)), 1_500),
        RouteWork(
            "reserve", "stock", False, 3_100, 3_100, 830, DurationMix((60, 200, 700), (3, 6, 1)), 5_000, is_keyed=True
        ),
        RouteWork("fitment", "catalog", True, 4_000, 4_000, 1_000, DurationMix((50, 200, 500), (3, 6, 1)), 1_500),
        RouteWork("feed", "catalog", True, 700, 700, 210, DurationMix((20, 50), (1, 1)), 1_500, is_public=True),
    ),
    has_tenants=True,
)
WORKLOADS = (SHORT_DEADLINES, MIXED_WORK, LONG_RESPONSES)


HABITS = (
    Habit.ONE_AT_A_TIME,
    Habit.PIPELINED,
    Habit.ONE_AT_A_TIME,
    Habit.FRESH,
    Habit.PIPELINED,
    Habit.SLOW_READER,
    Habit.UPLOADER,
)


def choose_habit(number: int) -> Habit:
    """Return the habit of a client by its number: all habits come up, most clients keep their connections."""
    return HABITS[number % len(HABITS)]


def response_body(attempt_id: str, length: int) -> bytes:
    """Return the body that a backend sends for a request; no two requests have the same."""
    unit = f"{attempt_id};".encode()
    return (unit * (length // len(unit) + 1))[:length]


SEAL_PREFIX = "seal-"


def seal(attempt_id: str) -> str:
    """Return the proof of a backend's response to a request."""
    return f"{SEAL_PREFIX}{attempt_id}"


def sealed_attempt(value: str | None) -> str:
    """Return the attempt that a seal is for; empty where there is no seal."""
    return value.removeprefix(SEAL_PREFIX) if value is not None and value.startswith(SEAL_PREFIX) else ""
