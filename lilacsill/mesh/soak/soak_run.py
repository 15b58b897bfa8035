"""One soak: the processes, the world round them, the faults of the plan, and the end of the day."""

from __future__ import annotations

import shutil
import signal
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from types import TracebackType
from typing import Any

import msgspec

from lilacsill.mesh.runtime.client import RequestFailed, fetch_status
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_processes import (
    CORE_PROGRAMS,
    INTERNAL_PORTS,
    LoopbackProcesses,
    ProcessKey,
    Program,
)
from lilacsill.net import reactor as watchers

from .backend import Backend
from .client import Client
from .fault_plan import ClosingFault, Fault, FaultEvent, FaultPlan, draw_plan
from .judge import Judge, Violation
from .loopback_network import LoopbackNetwork
from .observations import ProcessEnd, Record, SignalSent
from .operator_client import OperatorClient
from .workload import WORKLOADS, Workload, choose_habit

US_PER_S = 1_000_000
CORE_GROUP, PROXY_GROUP = 1, 2  # the third part of addresses
GRACE_US = 6 * US_PER_S
WATCH_US = 20_000  # between two looks at the processes
RESTART_DELAY_US = 150_000
START_TIMEOUT_S, END_TIMEOUT_S = 20.0, 20.0
WARM_UP_S = 1.5
SLOW_FACTOR, SLOW_US = 6.0, 4 * US_PER_S
DRAIN_US = 2_600_000
RACING_CHANGES = 3
FREEZE_US = 1_200_000
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
MAX_EARLY_SIGNAL_US = 300_000  # after a start, some reloads come before the process is ready


class SoakSettings(msgspec.Struct, frozen=True):
    """The size of one soak."""

    seed: int
    seconds: float = 30.0  # of traffic
    core_machines: int = 3
    proxies: int = 6
    clients: int = 24


class SoakReport(msgspec.Struct):
    """What came of one soak."""

    settings: SoakSettings
    workload: str
    closing: str
    requests: int
    served: int
    refused: int
    changes_acknowledged: int
    violations: list[Violation]
    started_at: int  # the clock of the violations at the begin of traffic
    log_lines: list[str]  # of the proxies, on the requests of the violations


class SoakRun:
    """Plays one seed; the `ClientWorld` of its clients."""

    def __init__(self, settings: SoakSettings) -> None:
        self.settings = settings
        rng = Random(settings.seed)
        self._rng = rng
        self._network = LoopbackNetwork(Random())
        self.core_ips = [self._network.address(CORE_GROUP, number + 1) for number in range(settings.core_machines)]
        self.proxy_ips = [self._network.address(PROXY_GROUP, number + 1) for number in range(settings.proxies)]
        self.workload: Workload = rng.choice(WORKLOADS)
        self.plan: FaultPlan = draw_plan(rng, int(settings.seconds * US_PER_S))
        self.record = Record()
        self.reactor = Reactor()
        self.is_over = False
        self.processes = LoopbackProcesses(self.core_ips, is_logged=True)
        self._attempts = 0
        self._signalled_at: dict[ProcessKey, int] = {}
        self._killed: set[ProcessKey] = set()
        self._signalled_early: set[ProcessKey] = set()
        self._is_closing = False
        self.backends: dict[str, Backend] = {}
        self._operator = OperatorClient(self.reactor, self.record, self.workload, self.core_ips, Random(rng.random()))

    def __enter__(self) -> SoakRun:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.processes.close()
        for backend in self.backends.values():
            backend.close()
        self.reactor.close()
        self._network.close()
        watchers.install(None)

    def next_attempt_id(self) -> str:
        """Return an id that no other request has."""
        self._attempts += 1
        return f"{self.settings.seed}-{self._attempts}"

    def service_of(self, ip: str) -> str:
        """Return the service of the backend on a machine."""
        return self.workload.services[self.proxy_ips.index(ip) % len(self.workload.services)]

    # The day

    def play(self) -> SoakReport:
        """Play the whole plan and judge it. Raises RuntimeError if the mesh does not start."""
        self._start_all(fresh=True)
        for ip in self.proxy_ips:
            rng = Random(self._rng.random())
            self.backends[ip] = Backend(self.reactor, self.record, self.workload, ip, self.service_of(ip), rng)
        self._watch()
        self._operator.send_first_configuration()
        if not self._run_until(lambda: not self._operator.pending, START_TIMEOUT_S):
            raise RuntimeError("the first configuration is not acknowledged")
        self._run_for(WARM_UP_S)
        started_at = self.reactor.now()
        for number in range(self.settings.clients):
            round_number, position = divmod(number, len(self.proxy_ips))
            habit = choose_habit(round_number + position)  # each machine has other habits, and all come up
            Client(self, self.proxy_ips[position], habit, Random(self._rng.random()))
        for event in self.plan.events:
            self.reactor.after(event.at, self._bring_about, event)
        self._run_for(self.settings.seconds)
        self.is_over = True
        self._run_for(max(route.patience_ms for route in self.workload.routes) / 1000 + 1)
        running_logs = self._fetch_logs()
        self._close_day()
        logs = [*running_logs, *(self.processes.log_text(ProcessKey(Program.PROXY, ip)) for ip in self.proxy_ips)]
        return self._report(started_at, "\n".join(logs).splitlines())

    def _start_all(self, fresh: bool) -> None:
        for ip in self.core_ips:
            self.processes.start_core(ip, fresh)
        for ip in self.proxy_ips:
            self.processes.start(Program.PROXY, ip, self.service_of(ip), fresh)

    def _run_for(self, seconds: float) -> None:
        self._run_until(lambda: False, seconds)

    def _run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        ends_at = self.reactor.now() + int(seconds * US_PER_S)
        self.reactor.after(int(seconds * US_PER_S), lambda: None)
        while not condition() and self.reactor.now() < ends_at:
            self.reactor.run_once()
        return condition()

    # Processes

    def _watch(self) -> None:
        """Record ends of processes, and start what has ended again."""
        if self._is_closing:
            return
        self.reactor.after(WATCH_US, self._watch)
        now = self.reactor.now()
        for key in self.processes.known_keys():
            status = self.processes.exit_status(key)
            if status is None:
                continue
            self.processes.release(key)
            signalled_at, is_early = self._signalled_at.pop(key, None), key in self._signalled_early
            self.record.ends.append(ProcessEnd(key, status, now, signalled_at, key in self._killed, is_early))
            self._killed.discard(key)
            self._signalled_early.discard(key)
            self.reactor.after(RESTART_DELAY_US, self._restart, key)

    def _restart(self, key: ProcessKey) -> None:
        if not self._is_closing and not self.processes.is_known(key):
            service = self.service_of(key.ip) if key.program is Program.PROXY else ""
            self.processes.start(key.program, key.ip, service)

    def _signal(self, key: ProcessKey, number: signal.Signals) -> None:
        if not self.processes.is_known(key):
            return
        now = self.reactor.now()
        self.record.signals.append(SignalSent(key, number, now))
        if number in ENDING_SIGNALS:
            self._signalled_at.setdefault(key, now)
        if number is signal.SIGKILL:
            self._killed.add(key)
        if number in HANDLED_SIGNALS and not self.processes.handles(key, number):
            self._signalled_early.add(key)
        self.processes.signal(key, number)

    # Faults

    def _bring_about(self, event: FaultEvent) -> None:
        proxy = ProcessKey(Program.PROXY, self.proxy_ips[event.number % len(self.proxy_ips)])
        core_ip = self.core_ips[event.number % len(self.core_ips)]
        actions: dict[Fault, Callable[[], None]] = {
            Fault.RESTART_PROXY: partial(self._signal, proxy, signal.SIGTERM),
            Fault.TERMINATE_TWICE: partial(self._terminate_twice, proxy, event.number),
            Fault.RELOAD: partial(self._reload, proxy, core_ip, event.number),
            Fault.KILL_PROXY: partial(self._signal, proxy, signal.SIGKILL),
            Fault.RESTART_ALL_PROXIES: self._terminate_all,
            Fault.FREEZE_PROXY: partial(self._freeze, [proxy]),
            Fault.FREEZE_CORE: partial(self._freeze, [ProcessKey(program, core_ip) for program in CORE_PROGRAMS]),
            Fault.KILL_CORE: partial(self._signal_core, core_ip, signal.SIGKILL),
            Fault.RESTART_CORE: partial(self._signal_core, core_ip, signal.SIGTERM),
            Fault.SLOW_BACKEND: partial(self._slow_down, self.backends[proxy.ip]),
            Fault.REPLACE_BACKEND: partial(self._replace, self.backends[proxy.ip]),
            Fault.CHANGE: self._operator.send_change,
            Fault.RACING_CHANGES: self._send_racing_changes,
        }
        actions[event.fault]()

    def _send_racing_changes(self) -> None:
        for _ in range(RACING_CHANGES):
            self._operator.send_change()

    def _terminate_twice(self, key: ProcessKey, number: int) -> None:
        self._signal(key, signal.SIGTERM)
        self.reactor.after(number % US_PER_S, self._signal, key, signal.SIGHUP)
        self.reactor.after(2 * (number % US_PER_S), self._signal, key, signal.SIGTERM)

    def _terminate_all(self) -> None:
        for ip in self.proxy_ips:
            self._signal(ProcessKey(Program.PROXY, ip), signal.SIGTERM)

    def _freeze(self, keys: list[ProcessKey]) -> None:
        """Suspend processes for a while; one that is about to end is left alone."""
        for key in keys:
            if key not in self._signalled_at:
                self._signal(key, signal.SIGSTOP)
                self.reactor.after(FREEZE_US, self._signal, key, signal.SIGCONT)

    def _reload(self, proxy: ProcessKey, core_ip: str, number: int) -> None:
        keys = [proxy, *(ProcessKey(program, core_ip) for program in CORE_PROGRAMS)]
        for key in keys:
            self._signal(key, signal.SIGHUP)
            self.reactor.after(number % MAX_EARLY_SIGNAL_US, self._signal, key, signal.SIGHUP)

    def _signal_core(self, core_ip: str, number: signal.Signals) -> None:
        for program in CORE_PROGRAMS:
            self._signal(ProcessKey(program, core_ip), number)

    def _slow_down(self, backend: Backend) -> None:
        backend.slow_factor = SLOW_FACTOR
        self.reactor.after(SLOW_US, setattr, backend, "slow_factor", 1.0)

    def _replace(self, backend: Backend) -> None:
        backend.drain()
        self.reactor.after(DRAIN_US, backend.begin_incarnation)

    # The end of the day

    def _close_day(self) -> None:
        """Kill everything right after an acknowledgement, start it again, and read the configuration back."""
        acknowledged = self._acknowledged()
        self._operator.send_change()
        self._run_until(lambda: self._acknowledged() > acknowledged, END_TIMEOUT_S)
        self._is_closing = self._operator.is_over = True
        for key in self.processes.known_keys():
            self.processes.kill(key)
        if self.plan.closing is ClosingFault.KILL_ALL_WIPE_ONE:
            wiped_ip = self._rng.choice(self.core_ips)
            shutil.rmtree(self.processes.data_folder(ProcessKey(Program.STORE, wiped_ip)))
        self._start_all(fresh=False)
        read: list[dict[str, dict[str, Any]]] = []
        self._operator.read_back(read.append)
        if self._run_until(lambda: bool(read), END_TIMEOUT_S):
            self.record.final_items = read[0]

    def _acknowledged(self) -> int:
        return sum(change.acknowledged_at is not None for change in self.record.changes)

    def _fetch_logs(self) -> list[str]:
        """Return the log lines that running proxies keep in memory; one that does not answer has none."""
        logs = []
        for ip in self.proxy_ips:
            with suppress(RequestFailed):
                logs += msgspec.json.decode(fetch_status(f"{ip}:{INTERNAL_PORTS[0]}"))["log"]
        return logs

    def _report(self, started_at: int, log_lines: list[str]) -> SoakReport:
        requests = self.record.requests
        violations = Judge(self.record, GRACE_US).violations()
        return SoakReport(
            self.settings,
            self.workload.name,
            self.plan.closing,
            len(requests),
            sum(request.status == 200 for request in requests),
            sum(request.status == 503 for request in requests),
            self._acknowledged(),
            violations,
            started_at,
            [line for line in log_lines if any(violation.attempt_id in line.split() for violation in violations)],
        )
