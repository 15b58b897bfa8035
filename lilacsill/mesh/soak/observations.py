"""What clients, backends and the operator of a soak see on their sockets. Times: microseconds, monotonic clock."""

from __future__ import annotations

from enum import StrEnum
from signal import Signals
from typing import Any

import msgspec

from lilacsill.mesh.simulation.loopback_processes import ProcessKey


class RequestEnd(StrEnum):
    """How a client's request ended, for the client."""

    PENDING = "pending"
    ANSWERED = "answered"
    CLOSED = "closed"  # the connection ended without a complete response to it
    CLOSED_BEHIND = "closed behind"  # the same, and an earlier request of the connection had no response either
    NOT_READ = "not read"  # it was sent behind a request whose response closed the connection
    GIVEN_UP = "given up"  # the client closed the connection


class ClientRequest(msgspec.Struct):
    """One request of a client: one attempt with an `Attempt-Id` of its own."""

    attempt_id: str
    ip: str  # the machine whose proxy took it
    route: str
    idempotent: bool
    sent_at: int  # its last byte
    deadline_at: int  # the client's patience and the route's time-out, whichever ends first
    begun_at: int = 0  # its first byte
    is_sent: bool = True  # all of it, with its body
    is_upload: bool = False  # its body is long
    end: RequestEnd = RequestEnd.PENDING
    ended_at: int = 0
    status: int = 0
    is_sealed: bool = False  # the response carries the seal of a backend for this request
    is_intact: bool = False  # the body is the one that the backend sent for the attempt that the seal names
    sealed_by: str = ""  # the attempt that the seal names; empty: there is no seal
    is_own: bool = True  # the `Attempt-Id` of the response, where it has one, is that of the request
    tenant: str = ""  # whose key the client used; empty: it used none, or one that nobody has ever had
    credential: str = ""
    operation_key: str = ""
    forged_customer: str = ""  # the header `Customer` that the client sent

    def __post_init__(self) -> None:
        self.begun_at = self.begun_at or self.sent_at

    @property
    def operation(self) -> tuple[str, str] | None:
        """Tenant and key of the operation; None where the request is no part of one."""
        return (self.tenant, self.operation_key) if self.operation_key else None


class WorkEnd(StrEnum):
    """How the work of a backend on a request ended."""

    WORKING = "working"
    ANSWERED = "answered"
    EXPIRED = "expired"  # its time was up, and the backend answered 504
    DROPPED = "dropped"  # the connection from the proxy ended first
    REFUSED = "refused"  # it did not run, and the backend said so


class BackendWork(msgspec.Struct):
    """One arrival of a request at a backend."""

    attempt_id: str
    ip: str  # the machine of the backend
    arrived_at: int
    end: WorkEnd = WorkEnd.WORKING
    ended_at: int = 0
    began_at: int | None = None  # the begin of the work; until then the request waits for a slot
    operation_key: str = ""
    customer: str | None = None
    has_credential: bool = False  # the key of the tenant came along

    @property
    def has_run(self) -> bool:
        """Whether the backend began to work on it."""
        return self.end is not WorkEnd.REFUSED

    def is_under_way(self, at: int) -> bool:
        """Return whether the backend was at work at that time."""
        return self.has_run and self.arrived_at <= at and (self.end is WorkEnd.WORKING or at <= self.ended_at)


class SignalSent(msgspec.Struct, frozen=True):
    """A signal to a process."""

    key: ProcessKey
    number: Signals
    at: int


class ProcessEnd(msgspec.Struct, frozen=True):
    """The end of a process; `signalled_at` is that of the first signal that ends it, None where there was none."""

    key: ProcessKey
    status: int  # negative: the signal that ended it
    at: int
    signalled_at: int | None
    is_killed: bool
    is_early: bool = False  # it was signalled before the interpreter had run any code of the program


class ProcessStart(msgspec.Struct, frozen=True):
    """The start of a process."""

    key: ProcessKey
    at: int


class ItemKind(StrEnum):
    """What an item of the configuration is."""

    ROUTE = "route"
    TENANT = "tenant"


class ItemChange(msgspec.Struct):
    """One version of an item that an operator sent; `item` is None where it removes the item."""

    name: str
    version: int
    item: dict[str, Any] | None
    sent_at: int
    acknowledged_at: int | None = None
    kind: ItemKind = ItemKind.ROUTE


class Record(msgspec.Struct):
    """Everything that was observed in one soak."""

    requests: list[ClientRequest] = []
    work: dict[str, list[BackendWork]] = {}  # by attempt
    signals: list[SignalSent] = []
    ends: list[ProcessEnd] = []
    starts: list[ProcessStart] = []
    changes: list[ItemChange] = []
    final_items: dict[str, dict[str, Any]] | None = None  # items read back at the end, by name; None: no answer
