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

SECOND = 1_000_000
ASK_PAIRS = 4  # pairs asked for one request before it is given up as hopeless


class Server:
    """What this balancer knows of one backend."""

    def __init__(self, b: Backend, now: int) -> None:
        self.id, self.tag = b.id, crc32(name_of(b.id).encode())
        self.open: dict[tuple[int, int], int] = {}  # own attempts out, oldest first: when each was sent
        self.asked_at = 0  # when the probe now out was sent; 0: none is
        self.askers: list[Request] = []  # requests that wait for its echo
        self.out, self.back_at = False, 0  # by an operator; when it was let serve again
        self.adopt(b)
        self.reset(now)

    def adopt(self, b: Backend) -> None:
        self.zone, self.cell, self.state = b.zone, b.cell, b.state
        self.hint, self.started_at = max(b.capacity_hint, 1e-6), b.started_at

    @property
    def serves(self) -> bool:
        return self.state is BackendState.READY and not self.out

    def own(self, now: int) -> float:
        """Own attempts out, and what is left of those that may run on though they have ended here."""
        return len(self.open) + self.ghosts.at(now)

    def reset(self, now: int) -> None:
        """Forget what was learned of an earlier process."""
        self.news_at = now  # when it was last heard of in any way
        self.pace = self.warmth = 1.0  # as of the last look at the table
        self.ghosts, self.bounced = (
            DecayingWeight(),
            DecayingWeight(),
        )  # the second: ended at once, which makes nobody light
        self.others = self.service = self.latency = self.load = self.failing = 0.0
        self.heard_at = self.answered_at = self.ended_at = self.sent_at = self.samples = self.streak = 0
        self.out_until = self.out_us = self.allowance = 0  # allowance 0: no limit
        self.told = PeerHealthChanged(self.id, False, 0, 0)  # by others


class Request:
    """A request this balancer has taken, until its answer is given and its attempts have ended."""

    def __init__(self, e: RequestArrived, cls: RequestClass, now: int, luck: float, size: float) -> None:
        self.id, self.cls, self.deadline = e.request, cls, now + e.timeout_us
        self.aim_at = min(now + cls.latency_target_us + int(cls.target_per_cost * e.cost_hint_us), self.deadline)
        # One given up after half of its time without an attempt costs its client more than one told sooner.
        self.hold_until = min(self.aim_at, now + e.timeout_us // 2)
        self.gives_way = self.done = False
        self.luck = luck  # one for its whole life: a held request must not draw until a cold server takes it
        self.key = e.affinity_key  # what it is about; 0: nothing that others share
        self.size = size  # its work as a multiple of the mean, where a hint tells it
        self.sends = 0
        self.out: dict[int, tuple[Server, int, float]] = {}  # attempt: server, sent at, table load then
        self.may_have_run: list[tuple[int, Server, int]] = []  # attempts not proven never to have run
        self.tried: list[Server] = []
        self.pair: tuple[Server, Server] | None = None  # samples that have been asked for their load
        self.silent: list[Server] = []  # those of them that have not answered yet
        self.pairs, self.pairs_most = 0, ASK_PAIRS

    def may_refuse(self) -> bool:
        """A refusal says that trying again is harmless."""
        c = self.cls
        anywhere = c.idempotency is Idempotency.DEDUPLICATED and c.dedup_scope is DedupScope.ALL
        return not self.may_have_run or c.idempotency is Idempotency.IDEMPOTENT or anywhere


def name_of(backend: BackendId) -> str:
    return backend.hex() if isinstance(backend, bytes) else str(backend)
