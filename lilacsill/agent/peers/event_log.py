"""What happened between agents. Each entry has the id of its cause, so that the logs of all processes can be joined."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .records import Cause

MAX_EVENTS = 256  # the newest ones


class EventKind(StrEnum):
    """The kinds of events, by their names in the admin API and in the exports."""

    MEMBER = "member"  # a member changed its state
    FLEET_SIZE = "siblings"  # the number of agents in use changed
    LEASE_GRANTED = "lent"
    LEASE_RECEIVED = "held"
    LEASE_RETURNED = "given_back"
    REPORT_SENT = "said"  # on the health of a backend
    REPORT_RECEIVED = "heard"
    VERDICT_APPLIED = "acted"  # the decision module was told of the peers' verdict
    STALLED = "stood_still"  # this process did not run for a while


@dataclass(slots=True, frozen=True)
class PeerEvent:
    """One entry."""

    at: int
    kind: EventKind
    cause: Cause
    facts: dict[str, Any]  # by names that the admin API and the exports show


@dataclass(slots=True)
class EventLog:
    """The newest events; `listener` gets each, where the operator file turns exports on."""

    own_number: int
    events: deque[PeerEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    listener: Callable[[PeerEvent], None] | None = None
    _causes: int = 0

    def new_cause(self) -> Cause:
        """Return the id for a chain of events that begins in this process."""
        self._causes = (self._causes + 1) % 2**32
        return self.own_number, self._causes

    def add(self, at: int, kind: EventKind, cause: Cause, **facts: Any) -> None:
        """Add an event that happened at `at`, in microseconds."""
        event = PeerEvent(at, kind, cause, facts)
        self.events.append(event)
        if self.listener is not None:
            self.listener(event)
