"""One soak: the processes, the world round them, the faults of the plan, and the end of the day."""

from __future__ import annotations

import shutil
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import TracebackType
from typing import Any

import msgspec

from lilacsill.mesh.runtime.client import RequestFailed, fetch_status
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_network import LoopbackNetwork
from lilacsill.mesh.simulation.loopback_processes import (
    DEFAULT_BOUNDS,
    INTERNAL_PORTS,
    LoopbackProcesses,
    ProcessKey,
    Program,
)
from lilacsill.net import reactor as watchers

from .backend import Backend
from .client import Client
from .customers import Customers
from .delay_monitor import DelayMonitor
from .fault_injector import FaultInjector
from .fault_plan import SERIES, SHARED_SERIES, ClosingFault, FaultPlan, draw_plan
from .judge import Judge
from .observations import ClientRequest, Record
from .operator_client import OperatorClient
from .process_supervisor import ProcessSupervisor
from .repeats import OperationRepeater, SingleRequest
from .shared_judge import SharedJudge
from .tenant_faults import TenantFaults
from .timing_bounds import TimingBounds, draw_bounds
from .violations import Violation
from .workload import SHARED_WORK, WORKLOADS, Workload, choose_habit

US_PER_S = 1_000_000
CORE_GROUP, PROXY_GROUP = 1, 2  # the third part of addresses
GRACE_US = 6 * US_PER_S
START_TIMEOUT_S, END_TIMEOUT_S = 20.0, 20.0
WARM_UP_S = 1.5
RECOVERY_S = 4.0  # from the configuration that was read back to the operations that are repeated


class SoakSettings(msgspec.Struct, frozen=True):
    """The size of one soak."""

    seed: int
    seconds: float = 30.0  # of traffic
    core_machines: int = 3
    proxies: int = 6
    clients: int = 24
    shared: bool = False  # a deployment with tenants, keys, quotas and operations


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
    statuses: dict[int, int] = {}  # how many responses had each; 0: there was none
    operations_repeated: int = 0  # operations of which more than one attempt was sent
    delays: dict[str, str] = {}  # by attempt of a violation: how late the soak itself and the proxy were meanwhile


class SoakRun:
    """Plays one seed; the `ClientWorld` of its clients, and the `RepeatWorld` of their repeats."""

    def __init__(self, settings: SoakSettings) -> None:
        self.settings = settings
        rng = Random(settings.seed)
        self._rng = rng
        self._network = LoopbackNetwork(Random())
        self.core_ips = [self._network.address(CORE_GROUP, number + 1) for number in range(settings.core_machines)]
        self.proxy_ips = [self._network.address(PROXY_GROUP, number + 1) for number in range(settings.proxies)]
        drawn: Workload = rng.choice(WORKLOADS)
        self.workload = SHARED_WORK if settings.shared else drawn
        series = SHARED_SERIES if settings.shared else SERIES
        self.plan: FaultPlan = draw_plan(rng, int(settings.seconds * US_PER_S), series)
        self.bounds = draw_bounds(Random(rng.random())) if settings.shared else TimingBounds()
        self.customers = Customers(Random(rng.random())) if settings.shared else None
        self.record = Record()
        self.reactor = Reactor()
        self.is_over = False
        bounds = (*DEFAULT_BOUNDS, *self.bounds.settings()) if settings.shared else DEFAULT_BOUNDS
        self._lost_machines = (settings.core_machines - 1) // 2 if settings.shared else 1
        self.processes = LoopbackProcesses(
            self.core_ips, lost_machines=self._lost_machines, bounds=bounds, is_logged=True
        )
        self._delay_monitor = DelayMonitor(self.reactor, self.processes)
        self._attempts = 0
        self._supervisor = ProcessSupervisor(self.reactor, self.record, self.processes, self._restart)
        self.backends: dict[str, Backend] = {}
        self._operator = OperatorClient(
            self.reactor, self.record, self.workload, self.core_ips, Random(rng.random()), self.customers
        )
        self._repeater = OperationRepeater(self, self.proxy_ips, Random(rng.random()))

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

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> object:
        """Call something later."""
        return self.reactor.after(delay_us, call, *arguments)

    def send_single(self, request: ClientRequest) -> None:
        """Send a request on a connection of its own."""
        SingleRequest(self, request)

    def on_request_sent(self, request: ClientRequest) -> None:
        """Let some operations go to several proxies at once."""
        self._repeater.on_sent(request)

    def on_request_ended(self, request: ClientRequest) -> None:
        """Let operations be sent again."""
        self._repeater.on_ended(request)

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
        self._supervisor.start()
        self._delay_monitor.start()
        self._operator.send_first_configuration()
        if not self._run_until(lambda: not self._operator.pending, START_TIMEOUT_S) or not self._acknowledged():
            raise RuntimeError("the first configuration is not acknowledged")
        self._run_for(WARM_UP_S)
        started_at = self.reactor.now()
        for number in range(self.settings.clients):
            round_number, position = divmod(number, len(self.proxy_ips))
            habit = choose_habit(round_number + position)  # each machine has other habits, and all come up
            Client(self, self.proxy_ips[position], habit, Random(self._rng.random()))
        injector = FaultInjector(
            self.reactor,
            self._supervisor,
            self.record,
            self._operator,
            self.core_ips,
            self.backends,
            self._tenant_faults(),
        )
        for event in self.plan.events:
            self.reactor.after(event.at, injector.bring_about, event)
        self._run_for(self.settings.seconds)
        self.is_over = self._repeater.is_over = True
        self._run_for(max(route.patience_ms for route in self.workload.routes) / 1000 + 1)
        running_logs = self._fetch_logs()
        self._close_day()
        logs = [*running_logs, *(self.processes.log_text(ProcessKey(Program.PROXY, ip)) for ip in self.proxy_ips)]
        return self._report(started_at, "\n".join(logs).splitlines())

    def _tenant_faults(self) -> TenantFaults | None:
        if self.customers is None:
            return None
        return TenantFaults(self, self.customers, self._operator, self.proxy_ips, Random(self._rng.random()))

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

    def _restart(self, key: ProcessKey) -> None:
        self.processes.start(key.program, key.ip, self.service_of(key.ip) if key.program is Program.PROXY else "")

    # The end of the day

    def _close_day(self) -> None:
        """Kill everything right after an acknowledgement, start it again, and read the configuration back."""
        acknowledged = self._acknowledged()
        self._operator.send_change()
        self._run_until(lambda: self._acknowledged() > acknowledged, END_TIMEOUT_S)
        self._supervisor.stop()
        self._operator.is_over = True
        for key in self.processes.known_keys():
            self.processes.kill(key)
        if self.plan.closing is ClosingFault.KILL_ALL_WIPE_ONE:
            for wiped_ip in self._rng.sample(self.core_ips, self._lost_machines):
                shutil.rmtree(self.processes.data_folder(ProcessKey(Program.STORE, wiped_ip)))
        self._start_all(fresh=False)
        read: list[dict[str, dict[str, Any]]] = []
        self._operator.read_back(read.append)
        if self._run_until(lambda: bool(read), END_TIMEOUT_S):
            self.record.final_items = read[0]
        if self.customers is not None:
            self._repeat_operations()

    def _repeat_operations(self) -> None:
        """Send the newest operations again: none of them may run twice, also after the loss of all processes."""
        self._run_for(RECOVERY_S)
        self._repeater.repeat_after_fault()
        self._run_for(max(route.patience_ms for route in self.workload.routes if route.is_keyed) / 1000 + 1)

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
        if self.settings.shared:
            violations += SharedJudge(self.record, self.workload, self.bounds).violations()
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
            dict(sorted(Counter(request.status for request in requests).items())),
            self._operations_repeated(),
            self._delays(violations),
        )

    def _delays(self, violations: list[Violation]) -> dict[str, str]:
        wanted = {violation.attempt_id for violation in violations}
        return {
            request.attempt_id: self._delay_monitor.describe(request.ip, request.begun_at, request.ended_at)
            for request in self.record.requests
            if request.attempt_id in wanted
        }

    def _operations_repeated(self) -> int:
        attempts = Counter(request.operation for request in self.record.requests if request.operation_key)
        return sum(count > 1 for count in attempts.values())
