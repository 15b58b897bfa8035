"""Agents, servers and clients in virtual time: the world in which a decision module is tried.

It has what a real one has and the module cannot see: connections that must be opened, answers in flight, load reports
that lag, and clients that try again when they are refused. Everything is drawn from one seed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from heapq import heappop, heappush
from random import Random

from ..models.server import FOREVER, Job, JobServer, RepeatMemory, ServerSpec, Span
from .agent import NETWORK_US, Agent
from .discovery import Discovery
from .environment import MS, SECOND, AttemptDone, LabSpec, LoadReport, Server, TryResult, TryStatus
from .module import Module

IDLE_BIN_US = 10 * MS
"""The resolution of `World.idle_refused`."""
MEMORY_US = 15 * SECOND
"""Servers drop repeats of a key for so long."""
SPEED = (0.95, 1.05)
"""Servers differ in speed, within this range."""
FOREIGN_WORK_US = 10 * MS
"""The work of a job that does not come from the agents."""
NO_REPORT: LoadReport = ()


class World:
    """The world: create it, let a script change it (`at`), `play` it, and read results, servers and counts."""

    def __init__(self, module: Module, spec: LabSpec, seed: int) -> None:
        self.module, self.spec, self.seed = module, spec, seed
        self.rng = Random(f"lab {seed}")
        self.now = SECOND
        self.start = self.now
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        """A heap of time, order and call."""
        self._order = 0
        self.memory = RepeatMemory(MEMORY_US)
        self.servers: dict[str, Server] = {}
        self.listed: dict[str, int] = {}
        """The listed servers, with the time of each one's start; 0: long ago."""
        for number in range(spec.servers):
            self.add_server(f"s{number}")
        self.results: list[TryResult] = []
        self.idle_refused: set[int] = set()
        """The times, in `IDLE_BIN_US`, in which a try was refused while no server had anything in flight."""
        self.discovery = Discovery(self, spec.list_lines_per_s)
        self._pending: dict[str, tuple[AttemptDone, bool]] = {}  # by job: who waits, and whether the answer hangs
        self.agents = [Agent(self, number) for number in range(spec.agents)]

    def at(self, seconds: float, call: Callable[[], None]) -> None:
        """Call at a time since the start."""
        self.after(self.start + int(seconds * SECOND) - self.now, call)

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Call later."""
        self._order += 1
        heappush(self.events, (self.now + max(0, delay_us), self._order, call))

    def add_server(self, name: str, cold: bool = False, spans: Sequence[Span] = ()) -> Server:
        """Start and list a server; it replaces one of the same name."""
        spec = ServerSpec(
            slots=1, queue=self.spec.queue, speed=self.rng.uniform(*SPEED), warm_up_us=self.spec.warm_up_us
        )
        rng = Random(f"{self.seed} {name}")
        server = Server(name, JobServer(spec, self.now, cold, list(spans), self.memory, rng))
        self.servers[name] = server
        self.listed[name] = self.now if cold else 0
        return server

    def pause_all(self, seconds: float, length_s: float) -> None:
        """Pause all servers for a time; to be called before `play`."""
        at = self.start + int(seconds * SECOND)
        for name in list(self.servers):
            self.add_server(name, spans=[Span(at, at + int(length_s * SECOND), 1.0)])

    def replace_all(self) -> None:
        """Replace every server by a new one, warm, and notify the agents at once."""
        replaced = list(self.listed)
        self.listed.clear()
        for name in replaced:
            self.add_server(f"{name}n")
        for agent in self.agents:
            agent.notify_list()

    def replace_oldest(self, count: int, delay_s: float) -> None:
        """End the oldest servers; their successors start cold and are listed after a delay."""
        replaced = list(self.listed)[:count]
        for name in replaced:
            del self.listed[name]
        self._end(replaced)
        self.discovery.add_revision(count)

        def add() -> None:
            for name in replaced:
                self.add_server(f"{name}n", cold=True)
            self.discovery.add_revision(count)

        self.after(int(delay_s * SECOND), add)

    def crash_oldest(self, count: int, down_s: float) -> None:
        """End the oldest servers without notice; they come back cold under their names."""
        crashed = list(self.listed)[:count]
        self._end(crashed)

        def restart() -> None:
            for name in crashed:
                self.add_server(name, cold=True)
            self.discovery.add_revision(count)

        self.after(int(down_s * SECOND), restart)

    def _end(self, names: Sequence[str]) -> None:
        for name in names:
            self.servers[name].faults.refuses_connects = True
            for agent in self.agents:
                agent.drop_connections(name)

    def add_foreign_work(self, name: str, jobs: int) -> None:
        """Give a server jobs that do not come from the agents."""
        server = self.servers[name]
        self._advance(server)
        for number in range(jobs):
            server.model.arrive(self.now, Job(f"else {self.now} {number}", FOREIGN_WORK_US))
        self._schedule(server)

    def play(self) -> World:
        """Play to the end and return the world itself."""
        for agent in self.agents:
            agent.begin()
        end = self.start + self.spec.length_us
        for agent in self.agents:
            self._schedule_arrivals(agent, self.spec.rate * self._traffic_share(agent.number), end)
        last = end + self.spec.end_margin_us
        while self.events and self.events[0][0] <= last:
            self.step()
        return self

    def step(self) -> None:
        """Advance to the next event and make its call."""
        self.now, _, call = heappop(self.events)
        call()

    def _traffic_share(self, number: int) -> float:
        agents = len(self.agents)
        if self.spec.even:
            return 1 / agents
        if agents == 1:
            return 1.0
        return self.spec.first_agent_share if number == 0 else (1 - self.spec.first_agent_share) / max(1, agents - 1)

    def _schedule_arrivals(self, agent: Agent, rate: float, end: int) -> None:
        def arrive() -> None:
            if self.now < end:
                agent.start_try(earlier=0)
                self.after(int(self.rng.expovariate(rate) * SECOND), arrive)

        self.after(int(self.rng.expovariate(rate) * SECOND), arrive)

    def deliver(self, server: Server, job: Job, done: AttemptDone) -> None:
        """Let the last byte of an attempt arrive at a server.

        Args:
            server: The server.
            job: The attempt.
            done: Gets the outcome and the load report, after the time of the network.
        """
        server.attempts += 1
        faults = server.faults
        self._advance(server)
        if server.model.warmth(self.now) < 1.0:
            server.cold_sends.append(self.now)
        if self.rng.random() < faults.error_share:
            self.after(NETWORK_US, partial(done, "error", self.report(server)))
        elif faults.refuses_connects or self.rng.random() < faults.reset_share:
            self.after(NETWORK_US, partial(done, "reset", NO_REPORT))
        elif self.now < faults.rejects_until or server.model.fallen or not server.model.arrive(self.now, job):
            self.after(NETWORK_US, partial(done, "rejected", self.report(server)))
        else:
            self._pending[job.id] = (done, self.rng.random() < faults.hang_share)
            self._schedule(server)

    def report(self, server: Server) -> LoadReport:
        """Return the load report that a server sends now."""
        if server.faults.reports_idle:
            return (0.0, 0.0, 0.0)
        report = server.model.report(self.now)
        if not self.spec.report_lag_us:
            return report
        server.reports.append((self.now, report))
        while len(server.reports) > 1 and server.reports[1][0] <= self.now - self.spec.report_lag_us:
            server.reports.popleft()
        return server.reports[0][1]

    def _advance(self, server: Server) -> None:
        for job in server.model.advance(self.now):
            if job.id not in self._pending:
                continue  # foreign work
            done, hangs = self._pending.pop(job.id)
            if not hangs:
                self.after(NETWORK_US, partial(done, "ok", self.report(server)))

    def _schedule(self, server: Server) -> None:
        due = server.model.due()
        if due < server.wake_at or server.wake_at <= self.now:
            server.wake_at = due
            if due < FOREVER:
                self.after(due - self.now, lambda: self._wake(server, due))

    def _wake(self, server: Server, due: int) -> None:
        if server.wake_at != due:
            return
        server.wake_at = FOREVER
        self._advance(server)
        self._schedule(server)

    def record_result(self, result: TryResult) -> None:
        """Record the result of a try, and whether it was refused while all servers were idle."""
        self.results.append(result)
        if result.status == TryStatus.REFUSED and all(map(self._is_idle, self.servers.values())):
            self.idle_refused.add((self.now - self.start) // IDLE_BIN_US)

    def _is_idle(self, server: Server) -> bool:
        return not server.model.in_flight and server.faults.rejects_until <= self.now

    def service(self) -> float:
        """Return the share of first tries that were served within the aim."""
        firsts = [result for result in self.results if result.first]
        served = sum(
            result.status == TryStatus.SERVED and result.ended - result.at <= self.spec.aim_us for result in firsts
        )
        return served / max(1, len(firsts))

    def refused(self, begin_s: float = 0.0, end_s: float = 1e6) -> int:
        """Return the number of tries that were refused in a time since the start."""
        low, high = self.start + int(begin_s * SECOND), self.start + int(end_s * SECOND)
        return sum(result.status == TryStatus.REFUSED and low <= result.ended < high for result in self.results)
