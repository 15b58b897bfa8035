"""A soak of a shared deployment of the mesh whose processes are started from both trees.

Half of the stores, registries and proxies begin from each tree. While clients, keyed writes and changes of the
configuration go on, all processes are restarted from the new tree on their folders, then all from the old one. The end
of the soak kills everything and starts it from the new tree, which reads the configuration back and gets the newest
operations again.
"""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec

from lilacsill.mesh.runtime.client import RequestFailed, fetch_status
from lilacsill.mesh.simulation.loopback_processes import (
    CORE_PROGRAMS,
    INTERNAL_PORTS,
    LoopbackProcesses,
    ProcessKey,
    Program,
)
from lilacsill.mesh.soak.fault_plan import ClosingFault, Fault, FaultEvent, FaultPlan
from lilacsill.mesh.soak.observations import ClientRequest
from lilacsill.mesh.soak.soak_run import SoakRun, SoakSettings

from .checks import Check
from .mesh_judge import (
    Census,
    Phase,
    ProxyRun,
    ProxyRuns,
    Status,
    StoreHistory,
    count_forwarded,
    count_phases,
    count_replayed,
    judge_decoding,
    judge_directions,
    judge_mixture,
    judge_phases,
    judge_rollout,
    judge_rules,
    judge_statuses,
    judge_stores,
)
from .source_trees import SourceTree, TreePair

US_PER_S = 1_000_000
POLL_US = 50_000
READY_US = 1_000_000  # from the start of a process to the restart of the next one
MIXED_US = 4 * US_PER_S  # before the first rolling change
PROXIES_AT_ONCE = 2  # restarted together
DATABASE = "store.db"
MIXED, TO_NEW, TO_OLD = "half old, half new", "old to new", "new to old"
PHASES = (MIXED, TO_NEW, TO_OLD)
# What the operator does, each with its interval; nothing but the rolling changes ends a process.
OPERATOR_INTERVALS_US = {
    Fault.CHANGE: 600_000,
    Fault.RACING_CHANGES: 2_900_000,
    Fault.REVOKE_KEY: 4_700_000,
    Fault.ADD_KEY: 5_300_000,
    Fault.LOWER_LIMIT: 7_100_000,
    Fault.RAISE_LIMIT: 8_300_000,
    Fault.HOT_TENANT: 5_900_000,
}
NUMBER_BITS = 32  # of an event


def plan_changes(rng: Random, duration_us: int) -> FaultPlan:
    """Return a plan of changes of the configuration, of tenants and of their load."""
    events = [
        FaultEvent(at, fault, rng.getrandbits(NUMBER_BITS))
        for fault, interval_us in OPERATOR_INTERVALS_US.items()
        for at in range(interval_us, duration_us, interval_us)
    ]
    return FaultPlan(tuple(sorted(events, key=lambda event: event.at)), ClosingFault.KILL_ALL)


def initial_trees(trees: TreePair, core_ips: list[str], proxy_ips: list[str]) -> dict[ProcessKey, SourceTree]:
    """Return the tree of each process at first; store and registry of one machine are of different trees."""
    both = (trees.old, trees.new)
    assigned = {ProcessKey(Program.STORE, ip): both[number % 2] for number, ip in enumerate(core_ips)}
    assigned |= {ProcessKey(Program.REGISTRY, ip): both[(number + 1) % 2] for number, ip in enumerate(core_ips)}
    return assigned | {ProcessKey(Program.PROXY, ip): both[number % 2] for number, ip in enumerate(proxy_ips)}


def rollout_lanes(core_ips: list[str], proxy_ips: list[str]) -> list[list[list[ProcessKey]]]:
    """Return the groups of processes that are restarted one after the other, in lanes that go on side by side."""
    core = [[ProcessKey(program, ip) for program in CORE_PROGRAMS] for ip in core_ips]
    starts = range(0, len(proxy_ips), PROXIES_AT_ONCE)
    proxies = [[ProcessKey(Program.PROXY, ip) for ip in proxy_ips[start : start + PROXIES_AT_ONCE]] for start in starts]
    return [core, proxies]


def read_statuses(core_ips: list[str], proxy_ips: list[str]) -> list[Status]:
    """Return the statuses of all processes that answer; store and registry of a machine listen on its first ports."""
    first_port = INTERNAL_PORTS[0]
    addresses = [f"{ip}:{first_port + number}" for ip in core_ips for number in range(len(CORE_PROGRAMS))]
    addresses += [f"{ip}:{first_port}" for ip in proxy_ips]
    statuses: list[Status] = []
    for address in addresses:
        with suppress(RequestFailed):
            statuses.append(msgspec.json.decode(fetch_status(address)))
    return statuses


class ProcessWatch:
    """Observes which tree each process really runs from, by the kernel's account of its working folder."""

    def __init__(self, processes: LoopbackProcesses, trees: TreePair) -> None:
        self._processes, self._trees = processes, trees
        self._pids: dict[ProcessKey, int] = {}
        self._running: dict[ProcessKey, tuple[SourceTree, int]] = {}  # with the time it was first seen
        self.stores: dict[str, StoreHistory] = {}  # by core machine
        self.proxies: ProxyRuns = {}

    def observe(self, now: int) -> None:
        """Take note of processes that are new."""
        for key in self._processes.known_keys():
            pid = self._processes.pid(key)
            if self._pids.get(key) != pid:
                self._on_started(key, pid, now)
            if key.program is Program.STORE:
                with suppress(OSError):
                    database = self._processes.data_folder(key) / DATABASE
                    self.stores[key.ip].files.add(database.stat().st_ino)

    def _on_started(self, key: ProcessKey, pid: int, now: int) -> None:
        tree = None
        with suppress(OSError):
            tree = self._trees.tree_of(Path("/proc", str(pid), "cwd").readlink())
        if key.program is Program.STORE:
            self.stores.setdefault(key.ip, StoreHistory())
        if tree is None:
            return  # it has ended already
        self._pids[key], self._running[key] = pid, (tree, now)
        if key.program is Program.STORE:
            self.stores[key.ip].trees.append(tree.name)
        if key.program is Program.PROXY:
            self.proxies.setdefault(key.ip, []).append(ProxyRun(tree.name, now))

    def is_ready(self, key: ProcessKey, tree: SourceTree, now: int) -> bool:
        """Return whether a process has run from a tree for a while."""
        running = self._running.get(key)
        return running is not None and running[0] == tree and now - running[1] >= READY_US

    def runs_from(self, key: ProcessKey, tree: SourceTree) -> bool:
        """Return whether a process was last seen to run from a tree."""
        running = self._running.get(key)
        return running is not None and running[0] == tree

    def census(self) -> Census:
        """Return how many processes of each program run from each tree."""
        return Counter((key.program.value, tree.name) for key, (tree, _) in self._running.items())


class RolloutLane:
    """Restarts groups of processes from a tree, each once the group before is ready."""

    def __init__(
        self,
        groups: list[list[ProcessKey]],
        tree: SourceTree,
        watch: ProcessWatch,
        restart: Callable[[ProcessKey, SourceTree], None],
    ) -> None:
        self._groups, self._tree, self._watch, self._restart = list(groups), tree, watch, restart
        self._restarting: list[ProcessKey] = []

    def advance(self, now: int) -> bool:
        """Restart the next group if the one before is ready; return whether all are."""
        if not all(self._watch.is_ready(key, self._tree, now) for key in self._restarting):
            return False
        self._restarting = []
        while self._groups and not self._restarting:
            group = self._groups.pop(0)
            self._restarting = [key for key in group if not self._watch.runs_from(key, self._tree)]
        for key in self._restarting:
            self._restart(key, self._tree)
        return not self._restarting


class MixedSoakRun(SoakRun):
    """A soak with processes of two trees; rolling changes take the place of its faults."""

    def __init__(self, settings: SoakSettings, trees: TreePair) -> None:
        super().__init__(settings)
        self._trees = trees
        self.plan = plan_changes(Random(settings.seed), int(settings.seconds * US_PER_S))
        self.watch = ProcessWatch(self.processes, trees)
        self.phases: list[Phase] = []
        self.statuses: list[Status] = []  # at the end of the first phase
        self._reader = ThreadPoolExecutor(1, "statuses")  # the event loop serves clients and backends meanwhile
        self._reading: Future[list[Status]] | None = None
        self._lanes: list[RolloutLane] = []
        for key, tree in initial_trees(trees, self.core_ips, self.proxy_ips).items():
            self.processes.source_folders[key] = tree.folder
        self._poll()

    def on_request_sent(self, request: ClientRequest) -> None:
        """Begin the first phase with the first request."""
        if not self.phases:
            self._begin_phase(MIXED)
            self.after(MIXED_US, self._read_statuses)
        super().on_request_sent(request)

    def _poll(self) -> None:
        now = self.reactor.now()
        self.watch.observe(now)
        if self._reading is not None and self._reading.done():
            self.statuses, self._reading = self._reading.result(), None
            self._reader.shutdown()
            self._begin_rollout(TO_NEW, self._trees.new)
        if self._lanes:
            self._lanes = [lane for lane in self._lanes if not lane.advance(now)]
            if not self._lanes:
                self._on_rollout_completed()
        self.after(POLL_US, self._poll)

    def _read_statuses(self) -> None:
        self._reading = self._reader.submit(read_statuses, self.core_ips, self.proxy_ips)

    def _begin_phase(self, name: str) -> None:
        now = self.reactor.now()
        if self.phases:
            self.phases[-1].ended_at = now
        self.phases.append(Phase(name, now))

    def _begin_rollout(self, name: str, tree: SourceTree) -> None:
        if name == TO_NEW:
            self.phases[-1].census = self.watch.census()
        self._begin_phase(name)
        remaining = [ip for ip in self.proxy_ips if not self.watch.runs_from(ProcessKey(Program.PROXY, ip), tree)]
        lanes = rollout_lanes(self.core_ips, remaining)
        self._lanes = [RolloutLane(groups, tree, self.watch, self._restart_from) for groups in lanes]

    def _restart_from(self, key: ProcessKey, tree: SourceTree) -> None:
        self.processes.source_folders[key] = tree.folder
        self._supervisor.send(key, signal.SIGTERM)

    def _on_rollout_completed(self) -> None:
        phase = self.phases[-1]
        if self.is_over:
            return  # there is no traffic any more: it does not count
        phase.completed_at, phase.census = self.reactor.now(), self.watch.census()
        if phase.name == TO_NEW:
            self._begin_rollout(TO_OLD, self._trees.old)
            return
        for key in self.processes.known_keys():  # the next start is that after the kill of everything
            self.processes.source_folders[key] = self._trees.new.folder


def check_mesh(trees: TreePair, seed: int, seconds: float) -> list[Check]:
    """Play a soak with `seconds` of traffic, and judge it."""
    soak = MixedSoakRun(SoakSettings(seed, seconds, shared=True), trees)
    with soak:
        report = soak.play()
        logs = {f"{key.program} at {key.ip}": soak.processes.log_text(key) for key in soak.processes.known_keys()}
        counts = count_phases(soak.record, soak.phases, soak.reactor.now())
        return [
            judge_rules(report.violations, report.requests, report.operations_repeated),
            judge_decoding(logs),
            *judge_phases(counts, PHASES),
            judge_mixture(soak.phases[0].census),
            *judge_statuses(soak.statuses, len(soak.core_ips), len(soak.proxy_ips)),
            judge_directions("requests served across builds", count_forwarded(soak.record, soak.watch.proxies)),
            judge_directions("responses repeated across builds", count_replayed(soak.record, soak.watch.proxies)),
            judge_rollout(soak.phases, TO_NEW, trees.new.name),
            judge_rollout(soak.phases, TO_OLD, trees.old.name),
            *judge_stores(soak.watch.stores, soak.core_ips),
        ]
