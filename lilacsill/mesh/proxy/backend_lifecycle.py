"""What a proxy knows of the backend beside it: incarnation, state, and when its drain began. No I/O.

A backend has another identity after each start: its server name names one incarnation. The proxy learns of it by
heartbeats, or by the health check when the proxy itself was started later than the backend.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from .reasons import RejectionReason

DRAIN_SHARE = 0.5  # of the drain time: so long requests that were admitted before the drain may still start


class EndpointState(StrEnum):
    """The state of a backend as its proxy announces it; the texts go over the wire."""

    WAITING = "waiting"  # nothing was heard of it
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LEAVING = "leaving"  # the proxy itself shuts down


class BackendHeartbeat(msgspec.Struct):
    """What a backend reports of itself."""

    server: str  # the incarnation
    service: str
    slots: int
    draining: bool
    sequence: int  # higher in each later heartbeat of an incarnation
    warmup_left_ms: int


def parse_heartbeat(server: str, body: Any) -> BackendHeartbeat | None:
    """Return the heartbeat that the JSON body of a call holds; None if it is not a complete heartbeat."""
    try:
        details, condition = body["Details"], body["Condition"]
        return BackendHeartbeat(
            server,
            str(details["TargetService"]),
            int(details["FreeSlots"]),
            condition["ServerState"] != EndpointState.READY,
            int(condition["CallCount"]),
            int(condition.get("ColdLeftMs", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None


class BackendLifecycle:
    """The lifecycle of the backend of this machine."""

    def __init__(self, drain_us: int) -> None:
        """Begin without a backend. `drain_us` is how long work may reach a draining backend."""
        self.admitted_drain_us = int(drain_us * DRAIN_SHARE)  # for what was admitted before the drain
        self.server = ""  # empty: no incarnation has been heard of since this proxy started
        self.service = ""
        self.slots = 1
        self.state = EndpointState.WAITING
        self.warming_up_until = 0
        self.ended_incarnations: set[str] = set()
        self._last_sequence: int | None = None  # None: no heartbeat of this incarnation
        self._drain_started_at = 0

    def on_heartbeat(self, heartbeat: BackendHeartbeat, now: int) -> bool:
        """Take a heartbeat. Return whether other machines must be notified. A late heartbeat changes nothing."""
        if heartbeat.server in self.ended_incarnations or self._is_late(heartbeat):
            return False
        before = self._announced()
        if heartbeat.server != self.server:
            self._begin_incarnation(heartbeat, now)
        self._last_sequence = heartbeat.sequence
        self.service, self.slots = heartbeat.service, max(1, heartbeat.slots)
        if heartbeat.draining:
            self._drain(now)
        elif self.state is EndpointState.WAITING:
            self.state = EndpointState.READY
        return before != self._announced()

    def _is_late(self, heartbeat: BackendHeartbeat) -> bool:
        if heartbeat.server != self.server or self._last_sequence is None:
            return False
        return heartbeat.sequence <= self._last_sequence

    def _announced(self) -> tuple[str, str, int, EndpointState]:
        return self.server, self.service, self.slots, self.state

    def _begin_incarnation(self, heartbeat: BackendHeartbeat, now: int) -> None:
        if self.server:
            self.ended_incarnations.add(self.server)
        self.server, self.state = heartbeat.server, EndpointState.READY
        self.warming_up_until = now + heartbeat.warmup_left_ms * 1000

    def on_health_check(self, server: str, service: str, slots: int) -> bool:
        """Take a good health check that came before any heartbeat. Return whether other machines must be notified."""
        if self.server or server in self.ended_incarnations:
            return False
        self.server, self.service, self.slots = server, service, max(1, slots)
        self.state = EndpointState.READY
        return True

    def on_reported_drain(self, server: str, now: int) -> bool:
        """Take from other machines that this incarnation drains, which it told an earlier run of this proxy.

        Returns:
            Whether that is new here.
        """
        if server != self.server or self.state is not EndpointState.READY:
            return False
        self._drain(now)
        return True

    def on_stopped(self, server: str, now: int) -> bool:
        """Take that an incarnation has ended. Return whether other machines must be notified."""
        self.ended_incarnations.add(server)
        if self.server not in ("", server):
            return False
        self.server, self.state = server, EndpointState.GONE
        return True

    def _drain(self, now: int) -> None:
        if self.state is not EndpointState.DRAINING:
            self.state, self._drain_started_at = EndpointState.DRAINING, now

    def rejection_reason(self, server: str, now: int, admitted: bool = False) -> RejectionReason | None:
        """Return why a request is rejected; None: it may be passed to the backend.

        Args:
            server: The incarnation that the request is meant for.
            now: The current time in microseconds.
            admitted: Whether the request was admitted before the drain; then it has some time left to start.
        """
        state = self.state
        if server == self.server and state is EndpointState.READY:
            return None
        if server != self.server or state is not EndpointState.DRAINING:
            return RejectionReason.WRONG_INCARNATION
        if admitted and now - self._drain_started_at <= self.admitted_drain_us:
            return None
        return RejectionReason.DRAINING
