"""The operations that a proxy owns or has claimed. No I/O; the caller passes the time.

A claim lets its owner run the operation, and only one claim is in force at any time. The owner may reuse the claim only
while the operation has not run and no other proxy was notified of that. A notified proxy may have replaced the claim,
so from then on the record is surrendered: the operation never runs under this claim, even if its grant arrives later.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import Enum

import msgspec

from lilacsill.mesh.runtime.messages import OperationQuery, OperationReply, OperationState
from lilacsill.mesh.runtime.records import OperationOwner, StoredResponse

RETENTION_MARGIN_US = 10_000_000  # added to the key window: a client's window starts before the record is created
# The members of the store keep a claim for the key window and a margin, counted from its first request. A run under an
# older claim would outlast it: the claim would expire before the key window of the run ends.
CLAIM_REUSE_US = 5_000_000
MAX_STORED_BYTES = 16 * 1024 * 1024  # total size of stored responses over all records
MAX_RESPONSE_BYTES = 1024 * 1024  # size of one response; larger ones are not stored
MAX_RECORDS = 16_384
RECORD_OVERHEAD_BYTES = 64  # per header line of a stored response, in addition to its text


class RecordState(Enum):
    """The state of an operation under its current claim."""

    CLAIMING = "claiming"  # a request waits for the decision on the claim
    RUNNING = "running"  # a backend may be executing it
    ANSWERED = "answered"
    RELEASED = "released"  # it has not run, and no request is running it
    UNKNOWN = "unknown"  # it may have run, and there is no response


IN_PROGRESS_STATES = (RecordState.CLAIMING, RecordState.RUNNING)


class OperationRecord:
    """One operation at this proxy.

    Attributes:
        name: See `operation_name`.
        claim: The claim of this proxy on it.
        replaces: The claim that this one replaces, whose owner never ran the operation.
        claimed_at: The time at which the claim was created, in microseconds.
        is_granted: Whether the claim is known to be in force.
        is_surrendered: Whether another proxy was notified that the operation never runs under this claim.
        response: The response of the backend, once the operation is answered.
    """

    __slots__ = (
        "name",
        "claim",
        "replaces",
        "claimed_at",
        "is_granted",
        "is_surrendered",
        "state",
        "response",
        "changed_at",
    )

    def __init__(self, name: str, claim: OperationOwner, replaces: OperationOwner | None, now: int) -> None:
        self.name, self.claim, self.replaces = name, claim, replaces
        self.claimed_at = self.changed_at = now
        self.is_granted = self.is_surrendered = False
        self.state = RecordState.CLAIMING
        self.response: StoredResponse | None = None

    @property
    def is_in_progress(self) -> bool:
        """Whether a request of this proxy is claiming or running the operation."""
        return self.state in IN_PROGRESS_STATES


class Refusal(Enum):
    """Why a request may not run its operation now."""

    IN_PROGRESS = "in progress"
    UNKNOWN = "unknown"  # it is not known whether the operation ran
    FULL = "full"  # the table has no room for another operation
    UNAVAILABLE = "unavailable"  # the members of the store or the owner did not answer in time


class Begin(msgspec.Struct, frozen=True):
    """The request may proceed: it runs the operation if the record's claim is granted, else it sends the claim."""

    record: OperationRecord


BeginResult = Begin | StoredResponse | Refusal


class OperationTable:
    """The operations of one incarnation of a proxy, by name, least recently changed first."""

    def __init__(self, address: str, incarnation: int, key_window_us: int) -> None:
        """Start without operations.

        Args:
            address: The address at which this proxy answers other proxies (host:port).
            incarnation: Identifies this process run (`runtime.incarnation.incarnation_id`).
            key_window_us: The time after its first request in which an operation must not run a second time.
        """
        self._address, self._incarnation = address, incarnation
        self._retention_us = key_window_us + RETENTION_MARGIN_US
        self._records: OrderedDict[str, OperationRecord] = OrderedDict()
        self._claims = 0
        self.stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def count_states(self) -> dict[str, int]:
        """Return the number of records in each state. Only for operators, since it iterates over all records."""
        return dict(Counter(record.state.value for record in self._records.values()))

    # Requests of this proxy

    def begin(self, name: str, now: int) -> BeginResult:
        """Decide on a request for an operation: it proceeds, gets the stored response, or is refused."""
        self._expire(now)
        record = self._records.get(name)
        if record is None:
            return self._begin_new(name, now)
        if record.is_in_progress:
            return Refusal.IN_PROGRESS
        if record.response is not None:
            return record.response
        if record.state is RecordState.UNKNOWN:
            return Refusal.UNKNOWN
        if record.is_surrendered or now - record.claimed_at >= CLAIM_REUSE_US:
            record = self._put(OperationRecord(name, self._next_claim(), record.claim, now))
        self._change(record, RecordState.CLAIMING, now)
        return Begin(record)

    def record_granted(self, name: str, claim: OperationOwner) -> None:
        """Record that a claim is in force. The grant may arrive late; the state of the record does not change."""
        record = self._records.get(name)
        if record is not None and record.claim == claim:
            record.is_granted = True

    def start(self, record: OperationRecord, now: int) -> bool:
        """Return whether the operation may run now; if so, mark it as running."""
        may_run = record.state is RecordState.CLAIMING and record.is_granted and not record.is_surrendered
        if may_run:
            self._change(record, RecordState.RUNNING, now)
        return may_run

    def answer(self, record: OperationRecord, response: StoredResponse, now: int) -> None:
        """Store the response of the operation; if there is no room for it, the outcome becomes unknown."""
        size = response_bytes(response)
        if size > MAX_RESPONSE_BYTES or self.stored_bytes + size > MAX_STORED_BYTES:
            self._change(record, RecordState.UNKNOWN, now)
            return
        record.response = response
        self.stored_bytes += size
        self._change(record, RecordState.ANSWERED, now)

    def release(self, record: OperationRecord, now: int) -> None:
        """Record that the operation has not run, and that no request is running it."""
        self._change(record, RecordState.RELEASED, now)

    def record_unknown(self, record: OperationRecord, now: int) -> None:
        """Record that the operation may have run, and that no response will arrive."""
        self._change(record, RecordState.UNKNOWN, now)

    def discard(self, record: OperationRecord) -> None:
        """Remove a record whose operation is owned by another proxy."""
        if self._records.get(record.name) is record:
            self._remove(record)

    # Queries of other proxies

    def reply_to(self, query: OperationQuery, now: int) -> OperationReply:
        """Reply to the query of another proxy. After a `RELEASED` reply the claim is permanently surrendered."""
        self._expire(now)
        record = self._records.get(query.operation)
        if record is None or record.claim != query.owner:
            return OperationReply(OperationState.UNKNOWN, None)
        if record.is_in_progress:
            return OperationReply(OperationState.IN_PROGRESS, None)
        if record.response is not None:
            return OperationReply(OperationState.ANSWERED, record.response)
        if record.state is RecordState.RELEASED:
            record.is_surrendered = True
            self._change(record, RecordState.RELEASED, now)
            return OperationReply(OperationState.RELEASED, None)
        return OperationReply(OperationState.UNKNOWN, None)

    # Records

    def _begin_new(self, name: str, now: int) -> Begin | Refusal:
        if len(self._records) >= MAX_RECORDS or self.stored_bytes > MAX_STORED_BYTES - MAX_RESPONSE_BYTES:
            return Refusal.FULL
        return Begin(self._put(OperationRecord(name, self._next_claim(), None, now)))

    def _next_claim(self) -> OperationOwner:
        self._claims += 1
        return OperationOwner(self._address, self._incarnation, self._claims)

    def _put(self, record: OperationRecord) -> OperationRecord:
        self._records[record.name] = record
        self._records.move_to_end(record.name)
        return record

    def _change(self, record: OperationRecord, state: RecordState, now: int) -> None:
        record.state, record.changed_at = state, now
        if self._records.get(record.name) is record:
            self._records.move_to_end(record.name)

    def _remove(self, record: OperationRecord) -> None:
        del self._records[record.name]
        if record.response is not None:
            self.stored_bytes -= response_bytes(record.response)

    def _expire(self, now: int) -> None:
        """Remove the records unchanged for the retention period, except those in progress. O(1) per removed record."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.changed_at < self._retention_us:
                return
            if oldest.is_in_progress:
                self._change(oldest, oldest.state, now)
            else:
                self._remove(oldest)


def response_bytes(response: StoredResponse) -> int:
    """Return the memory accounted for a stored response, in bytes."""
    headers = sum(len(name) + len(value) + RECORD_OVERHEAD_BYTES for name, value in response.headers)
    return headers + len(response.body)
