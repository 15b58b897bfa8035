"""The log of events between agents. Each has the id of its cause, by which the logs of all processes can be joined."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .records import Cause

MAX_EVENTS = 256  # kept in memory


class EventKind(StrEnum):
    """The kinds of events, by their names in the admin API and in the exports."""

    MEMBER = "member"  # the state of a member changed
    FLEET_SIZE = "siblings"  # the number of agents in use changed
    LEASE_GRANTED = "lent"
    LEASE_RECEIVED = "held"
    LEASE_RETURNED = "given_back"
    REPORT_SENT = "said"  # about the health of a backend
    REPORT_RECEIVED = "heard"
    VERDICT_APPLIED = "acted"  # the peers' verdict was posted to the decision module
    STALLED = "stood_still"  # this process did not run for a while


@dataclass(slots=True, frozen=True)
class PeerEvent:
    """One event."""

    at: int  # microseconds on the agent's clock
    kind: EventKind
    cause: Cause
    facts: dict[str, Any]  # by names that the admin API and the exports show


@dataclass(slots=True)
class EventLog:
    """The newest events; `listener` is called with each event if the operator file enables an export."""

    own_number: int
    events: deque[PeerEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    listener: Callable[[PeerEvent], None] | None = None
    _causes: int = 0

    def new_cause(self) -> Cause:
        """Return the id for a chain of events that starts in this process."""
        self._causes = (self._causes + 1) % 2**32
        return self.own_number, self._causes

    def add(self, at: int, kind: EventKind, cause: Cause, **facts: Any) -> None:
        """Add an event that happened at `at`, in microseconds."""
        event = PeerEvent(at, kind, cause, facts)
        self.events.append(event)
        if self.listener is not None:
            self.listener(event)
