"""The agent of the lab, which carries out what a decision module decides, as the real one does, and its clients.

The decision module may be that of an earlier commit, so that its interface is only known at run time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from ..models.server import Job
from .environment import MS, SECOND, Environment, LoadReport, ProbeFault, Server, TryResult, TryStatus

NETWORK_US = 150
"""The time of the network, one way."""
REST_US = 2 * MS
"""A connection rests so long after an answer."""
CONNECT_TIMEOUT_US, PROBE_TIMEOUT_US = 250 * MS, 50 * MS
LATE_PROBE_US = 40 * MS
PATIENCE_US = 100 * MS
"""A client waits for so long beyond its deadline."""
MIN_WORK_US = 1_000
DEDUPLICATED_SHARE = 0.75
"""The share of requests with an idempotency key."""
RESTART_SEED_STEP = 7919
"""From the seed of one incarnation of an agent's module to the next."""
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
"""The outcomes of exchanges, and their names in the module's interface."""
NO_REPORT: LoadReport = ()


@dataclass(slots=True)
class Try:
    """One try of a client."""

    number: int
    at: int
    earlier: int
    """The number of tries before it."""
    deduplicated: bool
    sends: int = 0
    over: bool = False
    exchanges: dict[int, Exchange] = field(default_factory=dict)
    """The attempts in flight, by their number."""


class Exchange:
    """An attempt or a probe, which ends once."""

    def __init__(
        self, agent: Agent, server: str, timeout_us: int, done: Callable[[str, int, LoadReport], None]
    ) -> None:
        """Create an exchange and start its time-out.

        Args:
            agent: Whose exchange it is.
            server: The name of the server.
            timeout_us: After which it ends by itself.
            done: Gets the outcome, the latency in microseconds and the load report.
        """
        self.agent, self.server, self._done = agent, server, done
        self.began = agent.world.now
        self.ended = self.sent = False
        agent.world.after(timeout_us, lambda: self.end("timeout" if self.sent else "connect", NO_REPORT))

    def start(self, deliver: Callable[[Server], None]) -> None:
        """Connect if need be and send; `deliver` is called when the last byte arrives."""
        world, agent = self.agent.world, self.agent
        server = world.servers.get(self.server)
        if server is None or self.server not in world.listed:
            world.after(0, lambda: self.end("not_sent", NO_REPORT))
            return

        def write() -> None:
            if not self.ended:
                self.sent = True
                world.after(NETWORK_US, lambda: deliver(server))

        if agent.acquire_connection(self.server):
            write()
        elif server.faults.refuses_connects:
            world.after(2 * NETWORK_US, lambda: self.end("connect", NO_REPORT))
        else:
            server.connects += 1
            slow = world.now < world.start + world.spec.slow_connects_until
            world.after(world.spec.slow_connect_us if slow else world.spec.connect_us, write)

    def end(self, outcome: str, report: LoadReport) -> None:
        """End the exchange, at the latest when the agent is no longer stalled; only the first call counts."""
        if self.ended or self.agent.defer_while_stalled(lambda: self.end(outcome, report)):
            return
        self.ended = True
        if outcome in ("ok", "rejected", "error"):
            self.agent.release_connection(self.server)
        self._done(outcome, self.agent.world.now - self.began, report)


class Agent:
    """One decision module with its connections, its requests in flight, and the clients before it."""

    def __init__(self, world: Environment, number: int) -> None:
        self.world, self.number = world, number
        self.interface = world.module.interface
        self.rng = Random(f"clients {world.seed} {number}")
        self.settings = self._settings()
        self.balancer = world.module.balancer(self.settings, world.seed * 1000 + number)
        self.tries: dict[int, Try] = {}
        self.count = 0
        """The tries of all clients so far."""
        self.probes = 0
        self._idle: dict[str, list[int]] = {}  # by server: from when on each connection may be used
        self._stalled_until = 0
        self._watching = False
        self._revision = 0
        self._incarnation = 0
        self._first_list: list[Any] = []
        self._events: list[Any] = []
        self._handling = False
        self.log: list[str] = []

    def _settings(self) -> Any:
        spec, interface = self.world.spec, self.interface
        return interface.Settings(
            classes=(
                interface.RequestClass(
                    "keyed",
                    spec.aim_us,
                    spec.deadline_us,
                    interface.Idempotency.DEDUPLICATED,
                    interface.DedupScope.ALL,
                    15 * SECOND,
                    10.0,
                ),
                interface.RequestClass(
                    "unsafe", spec.aim_us, spec.deadline_us, interface.Idempotency.NOT_IDEMPOTENT, value=3.0
                ),
            ),
            tenants=tuple(interface.Tenant(f"t{index}", quota) for index, quota in enumerate(spec.quotas)),
            balancer_count=spec.agents,
            balancer_index=self.number,
            report_fields=("inflight", "queue", "util"),
            discovery=interface.DiscoveryMode.POLL,
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
            prices=interface.Prices(waste=0.1, late_fail=0.05, probe=spec.probe_price),
        )

    def stall(self, length_us: int) -> None:
        """Give the process no CPU for a time; it reads what arrives when it continues."""
        self._stalled_until = self.world.now + length_us

    def defer_while_stalled(self, call: Callable[[], None]) -> bool:
        """Return whether the process is stalled; if so, make the call when it continues."""
        remaining_us = self._stalled_until - self.world.now
        if remaining_us > 0:
            self.world.after(remaining_us, call)
        return remaining_us > 0

    def begin(self) -> None:
        """Give the module its first list of servers."""
        self._first_list = self._list_servers()
        self._post_list(self.interface.ListKind.CACHED, self._first_list)

    def kill(self) -> None:
        """Kill the process and start it again, with the list that it had at first."""
        self._incarnation += 1
        for client_try in list(self.tries.values()):
            client_try.over = True
            for exchange in list(client_try.exchanges.values()):
                exchange.ended = True
        self.tries.clear()
        self._idle.clear()
        self._revision, self._watching = 0, False
        seed = self.world.seed * 1000 + self.number + RESTART_SEED_STEP * self._incarnation
        self.balancer = self.world.module.balancer(self.settings, seed)
        self._post_list(self.interface.ListKind.CACHED, self._first_list)

    def notify_list(self) -> None:
        """Give the module the present list, if this agent watches."""
        if self._watching:
            self._post_list(self.interface.ListKind.FULL, self._list_servers())

    def _watch(self) -> None:
        """Call discovery again after each answer, as the real agent does, until a call fails."""
        self._watching, incarnation = True, self._incarnation

        def done(answered: bool) -> None:
            if incarnation != self._incarnation:
                return
            if answered:
                self._revision = self.world.discovery.revision
                self.notify_list()
                self._watch()
            else:
                self._watching = False
                self._post_list(self.interface.ListKind.FAILED, [])

        self.world.discovery.watch(min(self._revision, self.world.discovery.revision), done)

    def _list_servers(self) -> list[Any]:
        return [self.interface.Backend(name, started_at=at) for name, at in self.world.listed.items()]

    def _post_list(self, kind: Any, servers: list[Any]) -> None:
        self.post(self.interface.BackendsChanged(kind, servers))

    def start_try(self, earlier: int) -> None:
        """Let a client try a request, after so many earlier tries."""
        self.count += 1
        spec = self.world.spec
        deduplicated = self.rng.random() < DEDUPLICATED_SHARE
        client_try = self.tries[self.count] = Try(self.count, self.world.now, earlier, deduplicated)
        self.world.after(spec.deadline_us + PATIENCE_US, lambda: self._disconnect(client_try))
        tenant = 0 if self.rng.random() < spec.first_tenant_share else 1
        request_class = 0 if deduplicated else 1
        self.post(self.interface.RequestArrived(client_try.number, request_class, spec.deadline_us, tenant))

    def _disconnect(self, client_try: Try) -> None:
        if not client_try.over:
            self._finish(client_try, TryStatus.NO_ANSWER)
            self.post(self.interface.ClientDisconnected(client_try.number))

    def post(self, event: Any) -> None:
        """Let the module handle an event, and carry out what it decides."""
        if self.defer_while_stalled(lambda: self.post(event)):
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self.balancer.handle(self.world.now, self._events.pop(0)):
                self._carry_out(action)
        self._handling = False

    def _carry_out(self, action: Any) -> None:
        interface = self.interface
        if isinstance(action, interface.Send):
            self._send(action)
        elif isinstance(action, interface.Reject):
            self._finish(self.tries[action.request], TryStatus.REFUSED, action.retry_after_us)
        elif isinstance(action, interface.Fail):
            self._finish(self.tries[action.request], TryStatus.FAILED)
        elif isinstance(action, interface.SetTimer):
            self._set_timer(action)
        elif isinstance(action, interface.Probe):
            self._probe(action.backend)
        elif isinstance(action, interface.Cancel):
            self._cancel(action)
        elif isinstance(action, interface.Watch):
            self._watch()
        elif isinstance(action, interface.Log):
            self.log.append(action.text)

    def _set_timer(self, action: Any) -> None:
        incarnation = self._incarnation

        def fire() -> None:
            if incarnation == self._incarnation:
                self.post(self.interface.TimerFired(action.token))

        self.world.after(action.delay_us, fire)

    def _cancel(self, action: Any) -> None:
        client_try = self.tries.get(action.request)
        exchange = client_try.exchanges.get(action.attempt) if client_try is not None else None
        if exchange is not None:
            exchange.end("cancelled", NO_REPORT)

    def _send(self, action: Any) -> None:
        world, client_try = self.world, self.tries[action.request]
        attempt, client_try.sends = client_try.sends, client_try.sends + 1

        def done(outcome: str, latency_us: int, report: LoadReport) -> None:
            client_try.exchanges.pop(attempt, None)
            if outcome == "ok":
                self._finish(client_try, TryStatus.SERVED)
            named_outcome = self.interface.Outcome[OUTCOMES[outcome]]
            self.post(
                self.interface.AttemptEnded(
                    client_try.number, attempt, action.backend, named_outcome, latency_us, client_try.over, report
                )
            )
            self._forget(client_try)

        def deliver(server: Server) -> None:
            work_us = int(self.rng.lognormvariate(0.0, world.spec.work_spread) * world.spec.work_us)
            key = f"{self.number} {client_try.number}" if client_try.deduplicated else ""
            job = Job(f"{self.number} {client_try.number} {attempt}", max(MIN_WORK_US, work_us), key)
            world.deliver(server, job, exchange.end)

        if action.backend in world.servers:
            world.servers[action.backend].selected += 1
        exchange = client_try.exchanges[attempt] = Exchange(self, action.backend, action.timeout_us, done)
        exchange.start(deliver)

    def _probe(self, backend: str) -> None:
        world = self.world
        self.probes += 1
        incarnation = self._incarnation

        def done(outcome: str, latency_us: int, report: LoadReport) -> None:
            if incarnation == self._incarnation:
                named_outcome = self.interface.Outcome[OUTCOMES[outcome]]
                self.post(self.interface.ProbeEnded(backend, named_outcome, latency_us, report))

        def deliver(server: Server) -> None:
            fault = server.faults.probes
            if server.faults.refuses_connects:
                world.after(NETWORK_US, lambda: exchange.end("reset", NO_REPORT))
                return
            half_rejected = fault == ProbeFault.HALF_REJECTED and self.rng.random() < 0.5
            if fault == ProbeFault.REJECTED or half_rejected:
                world.after(NETWORK_US, lambda: exchange.end("rejected", NO_REPORT))
                return
            delay_us = LATE_PROBE_US if fault == ProbeFault.DELAYED else 0
            world.after(delay_us, lambda: world.after(NETWORK_US, partial(exchange.end, "ok", world.report(server))))

        exchange = Exchange(self, backend, PROBE_TIMEOUT_US, done)
        exchange.start(deliver)

    def _finish(self, client_try: Try, status: TryStatus, retry_after_us: int = 0) -> None:
        """Answer a try; its client may try again."""
        if client_try.over:
            return
        client_try.over = True
        self.world.record_result(TryResult(client_try.at, self.world.now, status, client_try.earlier == 0))
        for exchange in list(client_try.exchanges.values()):
            exchange.end("cancelled", NO_REPORT)
        spec = self.world.spec
        if status != TryStatus.SERVED and client_try.earlier < spec.retries:
            wait_us = self.rng.randint(*spec.backoff_us)
            if retry_after_us and self.rng.random() < spec.obedient_share:
                wait_us = retry_after_us
            # A client outlives the agent, so that a kill does not cancel this.
            self.world.after(wait_us, lambda: self.start_try(client_try.earlier + 1))
        self._forget(client_try)

    def _forget(self, client_try: Try) -> None:
        if client_try.over and not client_try.exchanges:
            self.tries.pop(client_try.number, None)

    def acquire_connection(self, server: str) -> bool:
        """Use a connection that has rested, the latest one first; return False where there is none."""
        idle = self._idle.get(server, [])
        for index in range(len(idle) - 1, -1, -1):
            if idle[index] <= self.world.now:
                del idle[index]
                return True
        return False

    def release_connection(self, server: str) -> None:
        """Keep a connection for the next exchange."""
        self._idle.setdefault(server, []).append(self.world.now + REST_US)

    def drop_connections(self, server: str) -> None:
        """Forget all idle connections to a server."""
        self._idle.pop(server, None)
