"""Why a request of a tenant is refused."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RefusalCause(StrEnum):
    """The counter of the usage account that a refusal goes to; the texts are part of the administration API."""

    NO_CREDENTIAL = "no_credential"
    BAD_CREDENTIAL = "bad_credential"
    BAD_ROLE = "bad_role"
    OTHER_TENANT = "other_tenant"
    OTHER_HOST = "other_host"
    SUSPENDED = "suspended"
    REMOVED = "removed"
    NO_SHARE = "no_share"
    NO_POOL = "no_pool"
    CONNECTIONS = "connections"
    NEW_CONNECTIONS = "new_connections"
    IN_FLIGHT = "in_flight"
    BODY_BYTES = "body_bytes"
    REQUESTS_PER_S = "requests_per_s"
    SHARE = "share"
    """Beyond the tenant's share of its pool, which has no idle capacity to lend."""
    CORE_SHARE = "turn"
    """Beyond the tenant's share of the core for longer than a connection waits."""
    BY_MODULE = "by_module"
    """Refused by the decision module of the pool."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that cannot be assigned to a tenant and a pool, as its client is answered."""

    status: int
    """The HTTP status of the answer."""
    cause: RefusalCause
    detail: str
    """One line for the client."""


@dataclass(slots=True, frozen=True)
class LimitExceeded:
    """A request or connection beyond a limit."""

    cause: RefusalCause
    """The limit."""
    retry_after_s: float
    """When the client should retry, in seconds."""
