"""Brings the faults of a plan about."""

from __future__ import annotations

import signal
from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_processes import CORE_PROGRAMS, ProcessKey, Program

from .backend import Backend
from .fault_plan import Fault, FaultEvent
from .observations import Record, RequestEnd
from .operator_client import OperatorClient
from .process_supervisor import ProcessSupervisor
from .tenant_faults import TENANT_FAULTS, TenantFaults

SLOW_FACTOR, SLOW_US = 6.0, 4_000_000
DRAIN_US = 2_600_000
RACING_CHANGES = 3
FREEZE_US = 1_200_000
THROTTLE_PERIOD_US, THROTTLE_STOP_US, THROTTLE_PERIODS = 100_000, 60_000, 40
MAX_SECOND_SIGNAL_US = 600_000  # after the first one; some come to a process that has just been started


class FaultInjector:
    """Knows the machines of one soak; an event picks one by its number."""

    def __init__(
        self,
        reactor: Reactor,
        supervisor: ProcessSupervisor,
        record: Record,
        operator: OperatorClient,
        core_ips: list[str],
        backends: dict[str, Backend],
        tenant_faults: TenantFaults | None = None,
    ) -> None:
        """Prepare.

        Args:
            reactor: Its clock is that of all faults.
            supervisor: Sends the signals.
            record: What clients have sent so far, for the faults that go by it.
            operator: Sends the changes.
            core_ips: The core machines.
            backends: Those of the machines with a proxy, by address.
            tenant_faults: Brings about what happens to tenants; None where there are none.
        """
        self._record, self._tenant_faults = record, tenant_faults
        self._reactor, self._supervisor, self._operator = reactor, supervisor, operator
        self._core_ips, self._backends = core_ips, backends
        self._proxies = [ProcessKey(Program.PROXY, ip) for ip in backends]

    def bring_about(self, event: FaultEvent) -> None:
        """Bring one fault about; what of it comes later is scheduled."""
        if event.fault in TENANT_FAULTS:
            if self._tenant_faults is not None:
                self._tenant_faults.bring_about(event)
            return
        proxy = self._proxies[event.number % len(self._proxies)]
        core_ip = self._core_ips[event.number % len(self._core_ips)]
        core = [ProcessKey(program, core_ip) for program in CORE_PROGRAMS]
        backend = self._backends[proxy.ip]
        delay_us = event.number % MAX_SECOND_SIGNAL_US
        actions: dict[Fault, Callable[[], None]] = {
            Fault.RESTART_PROXY: partial(self._signal_all, [proxy], signal.SIGTERM),
            Fault.TERMINATE_TWICE: partial(self._terminate_twice, proxy, delay_us),
            Fault.RELOAD: partial(self._reload, [proxy, *core], delay_us),
            Fault.KILL_PROXY: partial(self._signal_all, [proxy], signal.SIGKILL),
            Fault.RESTART_ALL_PROXIES: partial(self._signal_all, self._proxies, signal.SIGTERM),
            Fault.FREEZE_PROXY: partial(self._freeze, [proxy]),
            Fault.FREEZE_CORE: partial(self._freeze, core),
            Fault.THROTTLE_PROXY: partial(self._throttle, proxy, THROTTLE_PERIODS),
            Fault.KILL_CORE: partial(self._signal_all, core, signal.SIGKILL),
            Fault.RESTART_CORE: partial(self._signal_all, core, signal.SIGTERM),
            Fault.KILL_ALL_CORES: partial(self._signal_all, self._all_cores(), signal.SIGKILL),
            Fault.KILL_OWNER: partial(self._signal_all, [self._owner(proxy)], signal.SIGKILL),
            Fault.FREEZE_OWNER: partial(self._freeze, [self._owner(proxy)]),
            Fault.SLOW_BACKEND: partial(self._slow_down, backend),
            Fault.REPLACE_BACKEND: partial(self._replace, backend),
            Fault.CHANGE: self._operator.send_change,
            Fault.RACING_CHANGES: self._send_racing_changes,
        }
        actions[event.fault]()

    def _owner(self, default: ProcessKey) -> ProcessKey:
        """Return the proxy of the newest operation in flight."""
        for request in reversed(self._record.requests):
            if request.operation_key and request.end is RequestEnd.PENDING:
                return ProcessKey(Program.PROXY, request.ip)
        return default

    def _all_cores(self) -> list[ProcessKey]:
        return [ProcessKey(program, ip) for ip in self._core_ips for program in CORE_PROGRAMS]

    def _send_racing_changes(self) -> None:
        for _ in range(RACING_CHANGES):
            self._operator.send_change()

    def _signal_all(self, keys: list[ProcessKey], number: signal.Signals) -> None:
        for key in keys:
            self._supervisor.send(key, number)

    def _terminate_twice(self, key: ProcessKey, delay_us: int) -> None:
        self._supervisor.send(key, signal.SIGTERM)
        self._reactor.after(delay_us, self._supervisor.send, key, signal.SIGHUP)
        self._reactor.after(2 * delay_us, self._supervisor.send, key, signal.SIGTERM)

    def _reload(self, keys: list[ProcessKey], delay_us: int) -> None:
        self._signal_all(keys, signal.SIGHUP)
        self._reactor.after(delay_us, self._signal_all, keys, signal.SIGHUP)

    def _freeze(self, keys: list[ProcessKey]) -> None:
        """Suspend processes for a while; one that is about to end is left alone."""
        frozen = [key for key in keys if not self._supervisor.is_ending(key)]
        self._signal_all(frozen, signal.SIGSTOP)
        self._reactor.after(FREEZE_US, self._signal_all, frozen, signal.SIGCONT)

    def _throttle(self, key: ProcessKey, periods: int) -> None:
        """Suspend a process for a part of each period, as a processor quota does."""
        if not periods:
            return
        self._supervisor.send_unrecorded(key, signal.SIGSTOP)
        self._reactor.after(THROTTLE_STOP_US, self._supervisor.send_unrecorded, key, signal.SIGCONT)
        self._reactor.after(THROTTLE_PERIOD_US, self._throttle, key, periods - 1)

    def _slow_down(self, backend: Backend) -> None:
        backend.slow_factor = SLOW_FACTOR
        self._reactor.after(SLOW_US, setattr, backend, "slow_factor", 1.0)

    def _replace(self, backend: Backend) -> None:
        backend.drain()
        self._reactor.after(DRAIN_US, backend.begin_incarnation)
