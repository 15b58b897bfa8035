"""A small driver for module tests: no clock, no network."""

from __future__ import annotations

from typing import Any, TypeVar

from lilacsill.balancing.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendsChanged,
    DedupScope,
    Event,
    Idempotency,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    TimerFired,
)
from lilacsill.balancing.logic import Balancer

A = TypeVar("A")
MS, SECOND = 1_000, 1_000_000
SAFE = RequestClass("safe", 500 * MS, 2 * SECOND)
UNSAFE = RequestClass("unsafe", 500 * MS, 2 * SECOND, Idempotency.NOT_IDEMPOTENT)


def keyed(group: DedupScope, window_us: int = SECOND) -> RequestClass:
    return RequestClass("keyed", 500 * MS, 2 * SECOND, Idempotency.DEDUPLICATED, group, window_us)


class Drive:
    """One balancer with its clock, its pending timers and the actions it has returned."""

    def __init__(
        self,
        cls: RequestClass = SAFE,
        servers: int = 4,
        seed: int = 1,
        others: tuple[RequestClass, ...] = (),
        **settings: Any,
    ) -> None:
        self.settings = Settings(classes=(cls, *others), tick_us=MS, **settings)
        self.balancer = Balancer(self.settings, seed)
        self.now = SECOND
        self.log: list[Action] = []
        self.timers: list[tuple[int, int]] = []
        self.requests = 0
        self.attempts: dict[int, int] = {}
        self.backends = [Backend(f"s{i}", zone=i % 2, cell=i % 3) for i in range(servers)]
        self.event(BackendsChanged(ListKind.CACHED, list(self.backends)))

    def event(self, event: Event) -> list[Action]:
        from lilacsill.balancing.interface import SetTimer

        actions = self.balancer.handle(self.now, event)
        for a in actions:
            if isinstance(a, SetTimer):
                self.timers.append((self.now + a.delay_us, a.token))
            if isinstance(a, Send):
                self.attempts[a.request] = self.attempts.get(a.request, -1) + 1
        self.log += actions
        return actions

    def request(self, timeout_us: int = SECOND, tenant: int = 0) -> tuple[int, list[Action]]:
        self.requests += 1
        return self.requests, self.event(RequestArrived(self.requests, 0, timeout_us, tenant))

    def end(
        self,
        send: Send,
        outcome: Outcome,
        took_us: int = 20 * MS,
        attempt: int | None = None,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        n = self.attempts[send.request] if attempt is None else attempt
        done = outcome is Outcome.OK
        return self.event(AttemptEnded(send.request, n, send.backend, outcome, took_us, done, report))

    def wait(self, us: int) -> list[Action]:
        """Let time pass, firing the timers that fall due on the way."""
        until, out = self.now + us, []
        while True:
            due = sorted(t for t in self.timers if t[0] <= until)
            if not due:
                break
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            out += self.event(TimerFired(due[0][1]))
        self.now = until
        return out

    def serve(self, count: int, took_us: int = 20 * MS) -> None:
        """Let some requests be answered, so that the table knows its servers."""
        for _ in range(count):
            _, actions = self.request()
            for s in only(actions, Send):
                self.end(s, Outcome.OK, took_us)
            self.wait(took_us)

    def list(self, *backends: Backend, kind: ListKind = ListKind.DELTA) -> list[Action]:
        return self.event(BackendsChanged(kind, list(backends)))


def only(actions: list[Action], kind: type[A]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]
