"""What a proxy knows of the operations that it owns, or tries to own. No I/O; the caller passes the time.

A claim lets its owner run the operation, and only one claim is in force at any time. The owner may run it again under
the same claim only while it has not run and no other proxy was notified of that: one that was may have replaced the
claim, so from then on the record is surrendered and its claim never runs, even if its grant comes later.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import Enum

import msgspec

from lilacsill.mesh.runtime.messages import OperationQuery, OperationReply, OperationState
from lilacsill.mesh.runtime.records import OperationOwner, StoredResponse

RETENTION_MARGIN_US = 10_000_000  # beyond the key window: the clock of a client starts earlier than a record
# The members of the store keep a claim for the key window and a margin, from its first request on. A run that begins
# under an older claim would be forgotten before its own window is over.
CLAIM_REUSE_US = 5_000_000
MAX_STORED_BYTES = 16 * 1024 * 1024  # of responses, over all records
MAX_RESPONSE_BYTES = 1024 * 1024  # of one response; a longer one is not stored
MAX_RECORDS = 16_384
RECORD_OVERHEAD_BYTES = 64  # of one header line of a stored response, beside its text


class RecordState(Enum):
    """What has become of an operation under its present claim."""

    CLAIMING = "claiming"  # a request waits for the decision on the claim
    RUNNING = "running"  # a backend may be at work on it
    ANSWERED = "answered"
    RELEASED = "released"  # it has not run
    UNKNOWN = "unknown"  # it may have run, and there is no response


IN_PROGRESS_STATES = (RecordState.CLAIMING, RecordState.RUNNING)


class OperationRecord:
    """One operation at this proxy.

    Attributes:
        name: See `operation_name`.
        claim: The claim of this proxy on it.
        replaces: The claim that this one replaces, whose owner never ran the operation.
        claimed_at: When this claim was made, in microseconds.
        is_granted: Whether the claim is known to be in force.
        is_surrendered: Whether another proxy was notified that the operation never runs under this claim.
        response: Of a backend, once the operation is answered.
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
        """Whether a request of this proxy is concerned with the operation now."""
        return self.state in IN_PROGRESS_STATES


class Refusal(Enum):
    """Why a request may not run its operation now."""

    IN_PROGRESS = "in progress"
    UNKNOWN = "unknown"  # it is not known whether the operation ran
    FULL = "full"  # no more operations can be remembered
    UNAVAILABLE = "unavailable"  # the members of the store or the owner did not answer in time


class Begin(msgspec.Struct, frozen=True):
    """The request goes on: with the operation if the record's claim is granted, else with the claim."""

    record: OperationRecord


Beginning = Begin | StoredResponse | Refusal


class OperationTable:
    """The operations of one run of one proxy, by name, the longest unchanged first."""

    def __init__(self, address: str, incarnation: int, key_window_us: int) -> None:
        """Begin without operations.

        Args:
            address: At which this proxy answers other proxies (host:port).
            incarnation: Identifies this run (`runtime.incarnation.incarnation_id`).
            key_window_us: For how long after its first request an operation may not run a second time.
        """
        self._address, self._incarnation = address, incarnation
        self._retention_us = key_window_us + RETENTION_MARGIN_US
        self._records: OrderedDict[str, OperationRecord] = OrderedDict()
        self._claims = 0
        self.stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def count_states(self) -> dict[str, int]:
        """Return how many records are in each state; for operators, since it takes a walk over all of them."""
        return dict(Counter(record.state.value for record in self._records.values()))

    # Requests of this proxy

    def begin(self, name: str, now: int) -> Beginning:
        """Decide on a request for an operation: it goes on, is answered with the stored response, or is refused."""
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
        """Note that a claim is in force. It may come late, and changes nothing else."""
        record = self._records.get(name)
        if record is not None and record.claim == claim:
            record.is_granted = True

    def start(self, record: OperationRecord, now: int) -> bool:
        """Return whether the operation may run now; then it counts as running."""
        may_run = record.state is RecordState.CLAIMING and record.is_granted and not record.is_surrendered
        if may_run:
            self._change(record, RecordState.RUNNING, now)
        return may_run

    def answer(self, record: OperationRecord, response: StoredResponse, now: int) -> None:
        """Store the response of the operation; where there is no room for it, the outcome counts as unknown."""
        size = response_bytes(response)
        if size > MAX_RESPONSE_BYTES or self.stored_bytes + size > MAX_STORED_BYTES:
            self._change(record, RecordState.UNKNOWN, now)
            return
        record.response = response
        self.stored_bytes += size
        self._change(record, RecordState.ANSWERED, now)

    def release(self, record: OperationRecord, now: int) -> None:
        """Note that the operation has not run, and that nobody runs it now."""
        self._change(record, RecordState.RELEASED, now)

    def record_unknown(self, record: OperationRecord, now: int) -> None:
        """Note that the operation may have run, and that its response will not come."""
        self._change(record, RecordState.UNKNOWN, now)

    def discard(self, record: OperationRecord) -> None:
        """Forget a record whose operation belongs to another proxy."""
        if self._records.get(record.name) is record:
            self._remove(record)

    # Questions of other proxies

    def reply_to(self, query: OperationQuery, now: int) -> OperationReply:
        """Tell another proxy what became of an operation. After `RELEASED`, the claim is surrendered for good."""
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
        """Remove the records that have not changed for long; each costs one step when it is due."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.changed_at < self._retention_us:
                return
            if oldest.is_in_progress:
                self._change(oldest, oldest.state, now)
            else:
                self._remove(oldest)


def response_bytes(response: StoredResponse) -> int:
    """Return how much memory a stored response counts for."""
    headers = sum(len(name) + len(value) + RECORD_OVERHEAD_BYTES for name, value in response.headers)
    return headers + len(response.body)
