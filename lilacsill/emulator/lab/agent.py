"""The agent of the lab: carries out what a decision module decides, as the real one does, and its clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from ..models.server import Job
from .stage import MS, SECOND, Final, Server, Stage

NET_US = 150
SETTLE_US = 2 * MS  # a connection rests after an answer
CONNECT_TIMEOUT_US, PROBE_TIMEOUT_US = 250 * MS, 50 * MS
OUTCOMES = {
    "ok": "OK",
    "error": "ERROR",
    "rejected": "REJECTED",
    "reset": "RESET",
    "connect": "CONNECT_FAILED",
    "timeout": "TIMEOUT",
    "cancelled": "CANCELLED",
    "not_sent": "NOT_SENT",
}


@dataclass(slots=True)
class Try:
    """One try of a client."""

    number: int
    at: int
    tries: int  # before it
    keyed: bool
    sends: int = 0
    over: bool = False
    out: dict[int, Exchange] = field(default_factory=dict)


class Exchange:
    """An attempt or a probe; ends once."""

    def __init__(
        self, agent: Agent, server: str, timeout_us: int, done: Callable[[str, int, tuple[float, ...]], None]
    ) -> None:
        self.agent, self.server, self._done = agent, server, done
        self.began = agent.world.now
        self.ended = self.sent = False
        agent.world.after(timeout_us, lambda: self.end("timeout" if self.sent else "connect", ()))

    def start(self, deliver: Callable[[Server], None]) -> None:
        world, agent = self.agent.world, self.agent
        s = world.servers.get(self.server)
        if s is None or self.server not in world.listed:
            return world.after(0, lambda: self.end("not_sent", ()))

        def write() -> None:
            if not self.ended:
                self.sent = True
                world.after(NET_US, lambda: deliver(s))

        if agent.take_connection(self.server):
            return write()
        if s.faults.refuses_connects:
            return world.after(2 * NET_US, lambda: self.end("connect", ()))
        s.connects += 1
        slow = world.now < world.start + world.spec.slow_connects_until
        world.after(world.spec.slow_connect_us if slow else world.spec.connect_us, write)

    def end(self, outcome: str, report: tuple[float, ...]) -> None:
        if self.ended or self.agent.asleep(lambda: self.end(outcome, report)):
            return
        self.ended = True
        if outcome in ("ok", "rejected", "error"):
            self.agent.keep_connection(self.server)
        self._done(outcome, self.agent.world.now - self.began, report)


class Agent:
    """One decision module with its connections, its requests in hand, and the clients before it."""

    def __init__(self, world: Stage, number: int) -> None:
        self.world, self.number = world, number
        spec, q = world.spec, world.module.interface
        self.q = q
        self.rng = Random(f"clients {world.seed} {number}")
        self.settings = q.Settings(
            classes=(
                q.RequestClass(
                    "keyed",
                    spec.aim_us,
                    spec.deadline_us,
                    q.Idempotency.DEDUPLICATED,
                    q.DedupScope.ALL,
                    15 * SECOND,
                    10.0,
                ),
                q.RequestClass("unsafe", spec.aim_us, spec.deadline_us, q.Idempotency.NOT_IDEMPOTENT, value=3.0),
            ),
            tenants=tuple(q.Tenant(f"t{i}", quota) for i, quota in enumerate(spec.quotas)),
            balancer_count=spec.agents,
            balancer_index=number,
            report_fields=("inflight", "queue", "util"),
            discovery=q.DiscoveryMode.POLL,
            can_probe=True,
            can_hedge=False,
            max_attempts=5,
            can_advise_retry=True,
            answer_grace_us=50 * MS,
            max_retry_after_us=2 * SECOND,
            warm_up_start_fraction=0.13,
            warm_up_us=24 * SECOND,
            overload_multiple=2.5,
            overload_window_us=3 * SECOND,
            prices=q.Prices(waste=0.1, late_fail=0.05, probe=spec.probe_price),
        )
        self.balancer = world.module.balancer(self.settings, world.seed * 1000 + number)
        self.tries: dict[int, Try] = {}
        self.count = self.probes = 0
        self._idle: dict[str, list[int]] = {}
        self.stands_until = 0
        self._watching = False
        self._revision, self._life = 0, 0
        self._queue: list[Any] = []
        self._handling = False
        self.log: list[str] = []

    # What comes in

    def stand_still(self, us: int) -> None:
        """The process gets no CPU for so long: what comes is read when it goes on."""
        self.stands_until = self.world.now + us

    def asleep(self, then: Callable[[], None]) -> bool:
        """Whether the process stands still; `then` is done as it goes on."""
        left = self.stands_until - self.world.now
        if left > 0:
            self.world.after(left, then)
        return left > 0

    def begin(self) -> None:
        self._first = self._listing()
        self.post(self.q.BackendsChanged(self.q.ListKind.CACHED, self._first))

    def kill(self) -> None:
        """The process is killed and starts anew, with the list it had at first."""
        self._life += 1
        for t in list(self.tries.values()):
            t.over = True
            for exchange in list(t.out.values()):
                exchange.ended = True
        self.tries.clear()
        self._idle.clear()
        self._revision, self._watching = 0, False
        seed = self.world.seed * 1000 + self.number + 7919 * self._life
        self.balancer = self.world.module.balancer(self.settings, seed)
        self.post(self.q.BackendsChanged(self.q.ListKind.CACHED, self._first))

    def tell(self) -> None:
        """A new list, if this agent watches."""
        if self._watching:
            self.post(self.q.BackendsChanged(self.q.ListKind.FULL, self._listing()))

    def _watch(self) -> None:
        """Call after call, as the real agent does, until one fails."""
        self._watching, life, revision = True, self._life, self.world.discovery.revision

        def answered(news: bool) -> None:
            if life != self._life:
                return
            if news:
                self._revision = self.world.discovery.revision
                self.tell()
                self._watch()
            else:
                self._watching = False
                self.post(self.q.BackendsChanged(self.q.ListKind.FAILED, []))

        self.world.discovery.watch(min(self._revision, revision), answered)

    def _listing(self) -> list[Any]:
        return [self.q.Backend(name, started_at=at) for name, at in self.world.listed.items()]

    def take(self, tries: int) -> None:
        """A client's try."""
        self.count += 1
        spec = self.world.spec
        t = self.tries[self.count] = Try(self.count, self.world.now, tries, self.rng.random() < 0.75)
        self.world.after(spec.deadline_us + 100 * MS, lambda: self._leave(t))
        tenant = 0 if self.rng.random() < spec.first_tenant else 1
        self.post(self.q.RequestArrived(t.number, 0 if t.keyed else 1, spec.deadline_us, tenant))

    def _leave(self, t: Try) -> None:
        if not t.over:
            self._final(t, "no answer", 0)
            self.post(self.q.ClientDisconnected(t.number))

    def post(self, event: Any) -> None:
        if self.asleep(lambda: self.post(event)):
            return
        self._queue.append(event)
        if self._handling:
            return
        self._handling = True
        while self._queue:
            for action in self.balancer.handle(self.world.now, self._queue.pop(0)):
                self._carry(action)
        self._handling = False

    # What goes out

    def _carry(self, a: Any) -> None:
        q, world = self.q, self.world
        if isinstance(a, q.Send):
            self._send(a)
        elif isinstance(a, (q.Reject, q.Fail)):
            t = self.tries[a.request]
            advice = a.retry_after_us if isinstance(a, q.Reject) else 0
            self._final(t, "refused" if isinstance(a, q.Reject) else "failed", advice)
        elif isinstance(a, q.SetTimer):
            life = self._life
            world.after(a.delay_us, lambda: self.post(q.TimerFired(a.token)) if life == self._life else None)
        elif isinstance(a, q.Probe):
            self._probe(a.backend)
        elif isinstance(a, q.Cancel):
            exchange = self.tries[a.request].out.get(a.attempt) if a.request in self.tries else None
            if exchange is not None:
                exchange.end("cancelled", ())
        elif isinstance(a, q.Watch):
            self._watch()
        elif isinstance(a, q.Log):
            self.log.append(a.text)

    def _send(self, a: Any) -> None:
        world, t = self.world, self.tries[a.request]
        attempt, t.sends = t.sends, t.sends + 1

        def done(outcome: str, latency: int, report: tuple[float, ...]) -> None:
            t.out.pop(attempt, None)
            if outcome == "ok":
                self._final(t, "served", 0)
            self.post(
                self.q.AttemptEnded(
                    t.number, attempt, a.backend, self.q.Outcome[OUTCOMES[outcome]], latency, t.over, report
                )
            )
            self._forget(t)

        def deliver(s: Server) -> None:
            work = max(1000, int(self.rng.lognormvariate(0.0, world.spec.work_spread) * world.spec.work_us))
            key = f"{self.number} {t.number}" if t.keyed else ""
            job = Job(f"{self.number} {t.number} {attempt}", work, key)
            world.reach(s, job, lambda outcome, report: exchange.end(outcome, report))

        if a.backend in world.servers:
            world.servers[a.backend].drawn += 1
        exchange = t.out[attempt] = Exchange(self, a.backend, a.timeout_us, done)
        exchange.start(deliver)

    def _probe(self, backend: str) -> None:
        world = self.world
        self.probes += 1
        life = self._life

        def done(outcome: str, latency: int, report: tuple[float, ...]) -> None:
            if life == self._life:
                self.post(self.q.ProbeEnded(backend, self.q.Outcome[OUTCOMES[outcome]], latency, report))

        def deliver(s: Server) -> None:
            if s.faults.refuses_connects:
                return world.after(NET_US, lambda: exchange.end("reset", ()))
            capped = s.faults.probes == "capped" and self.rng.random() < 0.5
            if s.faults.probes == "refused" or capped:
                return world.after(NET_US, lambda: exchange.end("rejected", ()))
            late = 40 * MS if s.faults.probes == "late" else 0
            world.after(late, lambda: world.after(NET_US, partial(exchange.end, "ok", world.report(s))))

        exchange = Exchange(self, backend, PROBE_TIMEOUT_US, done)
        exchange.start(deliver)

    def _final(self, t: Try, status: str, advice_us: int) -> None:
        if t.over:
            return
        t.over = True
        self.world.final(Final(t.at, self.world.now, status, t.tries == 0))
        for exchange in list(t.out.values()):
            exchange.end("cancelled", ())
        spec = self.world.spec
        if status != "served" and t.tries < spec.retries:
            wait = self.rng.randint(*spec.backoff_us)
            if advice_us and self.rng.random() < spec.honour:
                wait = advice_us
            self.world.after(wait, lambda: self.take(t.tries + 1))  # its client outlives the agent
        self._forget(t)

    def _forget(self, t: Try) -> None:
        if t.over and not t.out:
            self.tries.pop(t.number, None)

    # Connections

    def take_connection(self, server: str) -> bool:
        idle = self._idle.get(server, [])
        for i in range(len(idle) - 1, -1, -1):
            if idle[i] <= self.world.now:
                del idle[i]
                return True
        return False

    def keep_connection(self, server: str) -> None:
        self._idle.setdefault(server, []).append(self.world.now + SETTLE_US)

    def drop_connections(self, server: str) -> None:
        self._idle.pop(server, None)
