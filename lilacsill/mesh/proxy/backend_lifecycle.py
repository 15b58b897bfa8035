"""The lifecycle of the backend of a proxy: its incarnation, its state, and the start of its drain. No I/O.

A backend has a new server name after each start: the name identifies one incarnation. The proxy learns it from
heartbeats, or from a health check if the proxy itself was started later than the backend.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from .reasons import RejectionReason

# A replaced incarnation becomes the current one again after this many heartbeats in a row: then the heartbeat that
# replaced it was late, and the backend that sent it has ended.
RETURN_AFTER_HEARTBEATS = 2
# A successful health check does not prove that the backend is not draining: without a heartbeat it expires after this.
HEALTH_CHECK_VALID_US = 3_000_000
MAX_REPORTED_NUMBER = 2**53  # larger JSON numbers are no longer exact when decoded as floats
DRAIN_SHARE = 0.5  # of the drain time: requests admitted before the drain may start during this part of it


class EndpointState(StrEnum):
    """The state of a backend as announced by its proxy; the texts are sent over the wire."""

    WAITING = "waiting"  # no heartbeat and no valid health check
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LEAVING = "leaving"  # the proxy itself is shutting down


class BackendHeartbeat(msgspec.Struct):
    """A backend's report on itself."""

    server: str  # the incarnation
    service: str
    slots: int
    draining: bool
    sequence: int  # increases with each heartbeat of an incarnation
    warmup_left_ms: int


class ReplacedIncarnation(msgspec.Struct):
    """An incarnation that another one has replaced."""

    sequence: int  # of its latest heartbeat
    heartbeats: int = 0  # received since the latest heartbeat of the current incarnation


def parse_heartbeat(server: str, body: Any) -> BackendHeartbeat | None:
    """Parse the JSON body of a heartbeat call. Return None if it is not a complete heartbeat."""
    try:
        details, condition = body["Details"], body["Condition"]
        return BackendHeartbeat(
            server,
            str(details["TargetService"]),
            _reported_number(details["FreeSlots"]),
            condition["ServerState"] != EndpointState.READY,
            _reported_number(condition["CallCount"]),
            _reported_number(condition.get("ColdLeftMs", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _reported_number(value: Any) -> int:
    """Return a number of a heartbeat. Raises ValueError if it is not one, or is larger than a message may carry."""
    number = int(value)
    if abs(number) > MAX_REPORTED_NUMBER:
        raise ValueError
    return number


class BackendLifecycle:
    """The lifecycle of the backend of this machine."""

    def __init__(self, drain_us: int) -> None:
        """Start without a known backend. `drain_us` is how long requests may reach a draining backend."""
        self.admitted_drain_us = int(drain_us * DRAIN_SHARE)  # for requests admitted before the drain
        self.server = ""  # empty: no incarnation is known since this proxy started
        self.service = ""
        self.slots = 1
        self.state = EndpointState.WAITING
        self.warming_up_until = 0
        self.ended_incarnations: set[str] = set()  # those that reported their end
        self._replaced: dict[str, ReplacedIncarnation] = {}
        self._health_checked_at: int | None = None  # None: known from heartbeats, or not at all
        self._last_sequence: int | None = None  # None: no heartbeat of this incarnation yet
        self._drain_started_at = 0

    def on_heartbeat(self, heartbeat: BackendHeartbeat, now: int) -> bool:
        """Process a heartbeat; a late one is ignored. Return whether other machines must be notified."""
        if heartbeat.server in self.ended_incarnations or self._is_late(heartbeat):
            return False
        before = self._announced()
        if heartbeat.server != self.server:
            if not self._may_take_over(heartbeat):
                return False
            self._begin_incarnation(heartbeat, now)
        for replaced in self._replaced.values():
            replaced.heartbeats = 0
        self._health_checked_at = None
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

    def _may_take_over(self, heartbeat: BackendHeartbeat) -> bool:
        """Return whether the sender, which is not the current incarnation, may replace it."""
        replaced = self._replaced.get(heartbeat.server)
        if replaced is None:
            return True
        if heartbeat.sequence <= replaced.sequence:
            return False
        replaced.sequence = heartbeat.sequence
        replaced.heartbeats += 1
        return replaced.heartbeats >= RETURN_AFTER_HEARTBEATS

    def _announced(self) -> tuple[str, str, int, EndpointState]:
        return self.server, self.service, self.slots, self.state

    def _begin_incarnation(self, heartbeat: BackendHeartbeat, now: int) -> None:
        if self.server and self.server not in self.ended_incarnations:
            self._replaced[self.server] = ReplacedIncarnation(self._last_sequence or 0)
        self._replaced.pop(heartbeat.server, None)
        self.server, self.state = heartbeat.server, EndpointState.READY
        self.warming_up_until = now + heartbeat.warmup_left_ms * 1000

    def on_health_check(self, server: str, service: str, slots: int, now: int) -> bool:
        """Process a successful health check before any heartbeat. Return whether other machines must be notified."""
        if self.server or server in self.ended_incarnations:
            return False
        self.server, self.service, self.slots = server, service, max(1, slots)
        self.state = EndpointState.READY
        self._health_checked_at = now
        return True

    def expire_health_check(self, now: int) -> bool:
        """Expire a health check that was not followed by a heartbeat in time.

        Returns:
            Whether other machines must be notified.
        """
        checked_at = self._health_checked_at
        if checked_at is None or now - checked_at < HEALTH_CHECK_VALID_US or self.state is not EndpointState.READY:
            return False
        self.state = EndpointState.WAITING
        return True

    def on_reported_drain(self, server: str, now: int) -> bool:
        """Start the drain that other machines report; the backend announced it to an earlier run of this proxy.

        Returns:
            Whether this proxy did not know of the drain.
        """
        if server != self.server or self.state is not EndpointState.READY:
            return False
        self._drain(now)
        return True

    def on_stopped(self, server: str, now: int) -> bool:
        """Record that an incarnation has ended. Return whether other machines must be notified."""
        self.ended_incarnations.add(server)
        if self.server not in ("", server):
            return False
        self.server, self.state = server, EndpointState.GONE
        return True

    def _drain(self, now: int) -> None:
        if self.state is not EndpointState.DRAINING:
            self.state, self._drain_started_at = EndpointState.DRAINING, now

    def rejection_reason(self, server: str, now: int, admitted: bool = False) -> RejectionReason | None:
        """Return why a request is rejected; None if it may be passed to the backend.

        Args:
            server: The incarnation that the request is addressed to.
            now: The current time in microseconds.
            admitted: Whether the request was admitted before the drain; then it may start within `admitted_drain_us`.
        """
        state = self.state
        if server == self.server and state is EndpointState.READY:
            return None
        if server != self.server or state is not EndpointState.DRAINING:
            return RejectionReason.WRONG_INCARNATION
        if admitted and now - self._drain_started_at <= self.admitted_drain_us:
            return None
        return RejectionReason.DRAINING
