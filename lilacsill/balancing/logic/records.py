"""What is known of one backend, and of one request in hand."""

from __future__ import annotations

from zlib import crc32

from ..interface import (
    Backend,
    BackendId,
    BackendState,
    DedupScope,
    Idempotency,
    PeerHealthChanged,
    RequestArrived,
    RequestClass,
)
from ..mechanisms.decay import DecayingWeight

SECOND_US = 1_000_000
ASK_PAIRS = 4  # pairs asked for one request before it is given up as hopeless


class BackendRecord:
    """What this balancer knows of one backend."""

    def __init__(self, b: Backend, now: int) -> None:
        self.id, self.tag = b.id, crc32(backend_name(b.id).encode())
        self.in_flight: dict[tuple[int, int], int] = {}  # own attempts out, oldest first: when each was sent
        self.probe_sent_at = 0  # when the probe now out was sent; 0: none is
        self.probe_waiters: list[RequestRecord] = []  # requests that wait for its echo
        self.in_maintenance, self.returned_at = False, 0  # by an operator; when it was let serve again
        self.update_from(b)
        self.reset(now)

    def update_from(self, b: Backend) -> None:
        self.zone, self.cell, self.state = b.zone, b.cell, b.state
        self.capacity_hint, self.started_at = max(b.capacity_hint, 1e-6), b.started_at

    @property
    def accepts_work(self) -> bool:
        return self.state is BackendState.READY and not self.in_maintenance

    def own_load(self, now: int) -> float:
        """Own attempts out, and what is left of those that may run on though they have ended here."""
        return len(self.in_flight) + self.abandoned.value_at(now)

    def reset(self, now: int) -> None:
        """Forget what was learned of an earlier process."""
        self.updated_at = now  # when it was last heard of in any way
        self.service_time_us = self.capacity_fraction = 1.0  # as of the last look at the table
        self.abandoned, self.immediate_failures = (
            DecayingWeight(),
            DecayingWeight(),
        )  # the second: ended at once, which makes nobody light
        self.other_load = self.reported_service_ms = self.mean_latency_us = self.mean_load = self.failure_rate = 0.0
        self.reported_at = self.answered_at = self.ended_at = self.sent_at = self.sample_count = (
            self.consecutive_failures
        ) = 0
        self.ejected_until = self.ejection_us = self.trial_limit = 0  # allowance 0: no limit
        self.peer_health = PeerHealthChanged(self.id, False, 0, 0)  # by others


class RequestRecord:
    """A request this balancer has taken, until its answer is given and its attempts have ended."""

    def __init__(self, e: RequestArrived, cls: RequestClass, now: int, luck: float, size: float) -> None:
        self.id, self.request_class, self.deadline = e.request, cls, now + e.timeout_us
        self.target_at = min(now + cls.latency_target_us + int(cls.target_per_cost * e.cost_hint_us), self.deadline)
        # One given up after half of its time without an attempt costs its client more than one told sooner.
        self.queue_until = min(self.target_at, now + e.timeout_us // 2)
        self.low_priority = self.is_answered = False
        self.uniform_draw = luck  # one for its whole life: a held request must not draw until a cold server takes it
        self.affinity_key = e.affinity_key  # what it is about; 0: nothing that others share
        self.relative_cost = size  # its work as a multiple of the mean, where a hint tells it
        self.attempt_count = 0
        self.in_flight: dict[int, tuple[BackendRecord, int, float]] = {}  # attempt: server, sent at, table load then
        self.may_have_run: list[tuple[int, BackendRecord, int]] = []  # attempts not proven never to have run
        self.tried: list[BackendRecord] = []
        self.sampled_pair: tuple[BackendRecord, BackendRecord] | None = (
            None  # samples that have been asked for their load
        )
        self.awaiting_report: list[BackendRecord] = []  # those of them that have not answered yet
        self.pairs_drawn, self.max_pairs = 0, ASK_PAIRS

    def may_reject(self) -> bool:
        """A refusal says that trying again is harmless."""
        c = self.request_class
        anywhere = c.idempotency is Idempotency.DEDUPLICATED and c.dedup_scope is DedupScope.ALL
        return not self.may_have_run or c.idempotency is Idempotency.IDEMPOTENT or anywhere


def backend_name(backend: BackendId) -> str:
    return backend.hex() if isinstance(backend, bytes) else str(backend)
