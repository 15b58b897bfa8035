"""The four rules under adversarial orders of events.

A state machine plays a legal but hostile world to one balancer; Checker judges the actions from the interface
alone and shares no code with the module. One balancer broken on purpose for each rule shows that it sees it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lilacsill.balancing.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendsChanged,
    BackendState,
    Cancel,
    ClientDisconnected,
    DedupScope,
    DiscoveryMode,
    Event,
    Fail,
    Fetch,
    Idempotency,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    TimerFired,
    Watch,
)
from lilacsill.balancing.logic import Balancer

MS, SECOND = 1_000, 1_000_000
PROVEN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass
class Attempt:
    backend: Backend
    sent_at: int
    ends_by: int
    ended: Outcome | None = None
    cancelled: bool = False


@dataclass
class Taken:
    cls: RequestClass
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # by us, by an attempt, or no longer owed


class Checker:
    """Judges each action when it is taken, and each deadline when it has passed."""

    def __init__(self, told: Settings) -> None:
        self.told = told
        self.listed: dict[Any, Backend] = {}
        self.requests: dict[int, Taken] = {}
        self.arrivals: list[int] = []
        self.cold_sends: dict[Any, list[int]] = {}
        self.fewest_ready = 0  # since the last list event the share of each server has been at most 1 / this

    def send(self, now: int, a: Send) -> None:
        r, told = self.requests[a.request], self.told
        assert not r.answered, "rule 1: sent after the final answer"
        assert now < r.deadline, "rule 1: sent after the client's time"
        assert now + a.timeout_us <= r.deadline + told.answer_grace_us, "rule 1: may outlast the client"
        assert len(r.attempts) < told.max_attempts, "more attempts than allowed"
        b = self.listed.get(a.backend)
        assert b is not None, "sent to a server that no list has named"
        assert b.state is BackendState.READY, "rule 3: sent to a server that drains or is gone"
        maybe = [x for x in r.attempts if x.ended not in PROVEN]
        if r.cls.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not maybe, "rule 2: unsafe sent again though it may have run"
        if r.cls.idempotency is Idempotency.DEDUPLICATED and maybe:
            assert now <= maybe[0].sent_at + r.cls.dedup_window_us, "rule 2: keyed sent again after its window"
            for x in maybe:
                same = {
                    DedupScope.ALL: True,
                    DedupScope.ZONE: x.backend.zone == b.zone,
                    DedupScope.CELL: x.backend.cell == b.cell,
                }
                assert same[r.cls.dedup_scope], "rule 2: keyed sent outside its group"
        if not told.can_hedge:
            assert all(x.ended for x in r.attempts), "rule 2: two attempts out at once"
        r.attempts.append(Attempt(replace(b), now, now + a.timeout_us))
        if b.started_at and now < b.started_at + told.warm_up_us:
            self.cold(now, b)

    def cold(self, now: int, b: Backend) -> None:
        sends = self.cold_sends.setdefault((b.id, b.started_at), [])
        sends.append(now)
        told, ramp = self.told, (now - b.started_at) / self.told.warm_up_us
        warm = told.warm_up_start_fraction + (1 - told.warm_up_start_fraction) * ramp
        window = [t for t in sends if t > now - told.overload_window_us]
        seen = sum(t > now - told.overload_window_us for t in self.arrivals)
        part = seen / self.fewest_ready  # what a warm server would have been sent of this balancer's requests
        assert len(window) <= told.overload_multiple * part * warm + 3, "rule 4: pushes over a cold server"

    def final(self, a: Reject | Fail) -> None:
        r = self.requests[a.request]
        assert not r.answered, "rule 1: a second final answer"
        if isinstance(a, Reject):
            assert 0 <= a.retry_after_us <= self.told.max_retry_after_us
            if any(x.ended not in PROVEN for x in r.attempts):
                safe = r.cls.idempotency is Idempotency.IDEMPOTENT
                assert safe or (
                    r.cls.idempotency is Idempotency.DEDUPLICATED and r.cls.dedup_scope is DedupScope.ALL
                ), "rule 2: refused"
        r.answered = True

    def passed(self, now: int) -> None:
        for r in self.requests.values():
            assert r.answered or now <= r.deadline + self.told.answer_grace_us, "rule 1: no answer in time"


class Orders(RuleBasedStateMachine):
    """A legal world: time-outs end on time, timers fire on time, all else comes in any order."""

    @staticmethod
    def make(told: Settings, seed: int) -> Balancer:
        return Balancer(told, seed)

    @initialize(data=st.data())
    def start(self, data: st.DataObject) -> None:
        draw = data.draw
        cls = st.builds(
            RequestClass,
            name=st.uuids().map(str),
            latency_target_us=st.sampled_from([1, 20 * MS, 300 * MS]),
            deadline_us=st.just(SECOND),
            idempotency=st.sampled_from(Idempotency),
            dedup_scope=st.sampled_from(DedupScope),
            dedup_window_us=st.sampled_from([0, 1, 50 * MS, SECOND]),
            value=st.sampled_from([0.0, 1.0, 8.0]),
            late_value=st.sampled_from([0.0, 0.5]),
            target_per_cost=st.sampled_from([0.0, 2.0]),
        )
        tick = draw(st.sampled_from([0, MS, 5 * MS]))
        self.told = Settings(
            classes=tuple(draw(st.lists(cls, min_size=1, max_size=3))),
            tick_us=tick,
            answer_grace_us=draw(st.sampled_from([0, 4 * tick])),
            discovery=draw(st.sampled_from(DiscoveryMode)),
            balancer_count=draw(st.sampled_from([1, 3, 500])),
            can_hedge=draw(st.booleans()),
            can_cancel=draw(st.booleans()),
            can_probe=draw(st.booleans()),
            max_attempts=draw(st.integers(1, 4)),
            can_advise_retry=draw(st.booleans()),
            capacity_hints=False,
            report_fields=("inflight",),
            warm_up_start_fraction=draw(st.sampled_from([0.05, 0.5, 1.0])),
            warm_up_us=draw(st.sampled_from([0, SECOND, 10 * SECOND])),
            overload_multiple=draw(st.sampled_from([0.5, 3.0])),
        )
        self.tick, self.now, self.count = tick or 1, 100 * SECOND, 0
        self.timers: list[tuple[int, int]] = []
        self.probes: list[Any] = []  # probes not answered yet
        self.calls = 0  # list calls not answered yet
        self.checker = Checker(self.told)
        self.balancer = self.make(self.told, 1)
        n = draw(st.sampled_from([0, 1, 2, 7, 30]))
        self.lists(ListKind.CACHED, [Backend(i, zone=i % 2, cell=i % 3) for i in range(n)])

    def event(self, e: Event) -> None:
        for a in self.balancer.handle(self.now, e):
            self.act(a)

    def act(self, a: Action) -> None:
        if isinstance(a, Send):
            self.checker.send(self.now, a)
        elif isinstance(a, Reject | Fail):
            self.checker.final(a)
        elif isinstance(a, Cancel):
            assert self.told.can_cancel
            self.checker.requests[a.request].attempts[a.attempt].cancelled = True
        elif isinstance(a, SetTimer):
            self.timers.append((self.now + a.delay_us, a.token))
        elif isinstance(a, Probe):
            assert self.told.can_probe and a.backend in self.checker.listed
            self.probes.append(a.backend)
        elif isinstance(a, Watch | Fetch):
            self.calls += 1
        else:
            assert isinstance(a, Log)

    def lists(self, kind: ListKind, backends: list[Backend]) -> None:
        known = self.checker.listed
        if kind in (ListKind.FULL, ListKind.CACHED):
            for b in known.values():
                b.state = BackendState.GONE
        for b in backends:
            known[b.id] = replace(b)
        ready = sum(b.state is BackendState.READY for b in known.values())
        self.checker.fewest_ready = min(self.checker.fewest_ready or ready, ready) or 1
        self.event(BackendsChanged(kind, backends))

    def out(self) -> list[tuple[int, int, Attempt]]:
        return [
            (q, i, x) for q, r in self.checker.requests.items() for i, x in enumerate(r.attempts) if x.ended is None
        ]

    def end(self, request: int, attempt: int, outcome: Outcome) -> None:
        r = self.checker.requests[request]
        x = r.attempts[attempt]
        x.ended = outcome
        finished = outcome is Outcome.OK and not r.answered
        r.answered = r.answered or finished
        took = self.now - x.sent_at
        self.event(AttemptEnded(request, attempt, x.backend.id, outcome, took, finished, (3.0,)))

    @rule(many=st.integers(1, 12), cls=st.integers(0, 2), patience=st.sampled_from([0, 1, 30 * MS, SECOND]))
    def arrive(self, many: int, cls: int, patience: int) -> None:
        for _ in range(many):
            self.count += 1
            cls %= len(self.told.classes)
            self.checker.requests[self.count] = Taken(self.told.classes[cls], self.now + patience)
            self.checker.arrivals.append(self.now)
            self.event(RequestArrived(self.count, cls, patience, cost_hint_us=10 * MS))

    @precondition(lambda self: self.out())
    @rule(data=st.data(), many=st.integers(1, 8), outcome=st.sampled_from(Outcome))
    def some_end(self, data: st.DataObject, many: int, outcome: Outcome) -> None:
        for _ in range(many):
            if not (out := self.out()):
                return
            request, attempt, x = data.draw(st.sampled_from(out))
            if outcome is Outcome.CANCELLED and not x.cancelled:
                outcome = Outcome.RESET
            self.end(request, attempt, outcome)

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def stream(self, data: st.DataObject) -> None:
        request, attempt, _ = data.draw(st.sampled_from(self.out()))
        if not self.checker.requests[request].answered:
            self.checker.requests[request].answered = True
            self.event(StreamStarted(request, attempt))

    @precondition(lambda self: self.checker.requests)
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.checker.requests)))
        self.checker.requests[request].answered = True
        self.event(ClientDisconnected(request))

    @rule(data=st.data(), state=st.sampled_from(BackendState), fresh=st.booleans(), whole=st.booleans())
    def list_changes(self, data: st.DataObject, state: BackendState, fresh: bool, whole: bool) -> None:
        server = data.draw(st.sampled_from([0, 1, 2, 6, 31]))
        b = Backend(server, state, server % 2, server % 3, started_at=self.now - 5 * MS if fresh else 0)
        kept = [replace(x) for x in self.checker.listed.values() if x.id not in (server, 3)]
        self.lists(ListKind.FULL if whole else ListKind.DELTA, [*kept, b] if whole else [b])

    @precondition(lambda self: self.probes)
    @rule(
        outcome=st.sampled_from([Outcome.OK, Outcome.OK, Outcome.TIMEOUT, Outcome.CONNECT_FAILED]),
        many=st.integers(1, 6),
        held=st.sampled_from([0.0, 1.0, 40.0]),
    )
    def echo(self, outcome: Outcome, many: int, held: float) -> None:
        for _ in range(min(many, len(self.probes))):
            report = (held,) if outcome is Outcome.OK else ()
            self.event(ProbeEnded(self.probes.pop(0), outcome, 0, report))

    @precondition(lambda self: self.calls)
    @rule(fails=st.booleans())
    def call_answered(self, fails: bool) -> None:
        self.calls -= 1
        self.lists(ListKind.FAILED if fails else ListKind.DELTA, [])

    @rule(us=st.sampled_from([1, MS, 10 * MS, 100 * MS, 700 * MS, 5 * SECOND]))
    def time_passes(self, us: int) -> None:
        until = self.now + max(self.tick, us // self.tick * self.tick)
        while True:
            due = [(t, token, -1) for t, token in self.timers] + [
                (x.ends_by, request, i) for request, i, x in self.out()
            ]
            if not due or min(due)[0] > until:
                break
            at, what, attempt = min(due)
            after = (at // self.tick + 1) * self.tick if self.told.tick_us else at  # the round after it
            self.now = max(self.now, after)
            self.checker.passed(self.now)
            if attempt < 0:
                self.timers.remove((at, what))
                self.event(TimerFired(what))
            else:
                self.end(what, attempt, Outcome.TIMEOUT)
        self.now = max(self.now, until)
        self.checker.passed(self.now)


LIMITS = settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)


def test_the_rules_hold_in_any_order() -> None:
    run_state_machine_as_test(Orders, settings=LIMITS)


class Silent(Balancer):
    """Breaks rule 1: forgets to answer what it would refuse."""

    def handle(self, now: int, event: Event) -> list[Action]:
        return [a for a in super().handle(now, event) if not isinstance(a, Reject)]


class Trusting(Balancer):
    """Breaks rule 2: takes an error for proof that nothing ran."""

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.ERROR:
            event = replace(event, outcome=Outcome.REJECTED)
        return super().handle(now, event)


class Deaf(Balancer):
    """Breaks rule 3: does not hear of drains."""

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, BackendsChanged):
            event = replace(event, backends=[b for b in event.backends if b.state is BackendState.READY])
        return super().handle(now, event)


class Eager(Balancer):
    """Breaks rule 4: takes every server for warm, and one for the only one."""

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, BackendsChanged):
            fresh = [b for b in event.backends if b.started_at]
            event = replace(
                event,
                backends=[replace(b, started_at=0) for b in fresh or event.backends],
                kind=ListKind.FULL if fresh else event.kind,
            )
        return super().handle(now, event)


@pytest.mark.parametrize(
    "faulty, said", [(Silent, "rule 1"), (Trusting, "rule 2"), (Deaf, "rule 3"), (Eager, "rule 4")]
)
def test_the_checker_sees_each_rule_broken(faulty: type[Balancer], said: str) -> None:
    machine = type("Faulty", (Orders,), {"make": staticmethod(faulty)})
    with pytest.raises(AssertionError, match=said):
        run_state_machine_as_test(machine, settings=settings(LIMITS, max_examples=4000))
