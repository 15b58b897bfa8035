"""Faults of a virtual soak, drawn by seed. All are recorded as what a judge of real processes would see.

An isolated machine is recorded like one that is frozen: it is out of touch.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from random import Random
from signal import Signals

import msgspec

from lilacsill.mesh.simulation.loopback_processes import CORE_PROGRAMS, ProcessKey, Program
from lilacsill.mesh.simulation.losses import Losses
from lilacsill.mesh.simulation.network import MS, SECOND, Net
from lilacsill.mesh.soak.customers import Customers, Tenant
from lilacsill.mesh.soak.observations import ClientRequest, ProcessEnd, ProcessStart, Record, RequestEnd, SignalSent

from .addresses import host_of
from .core_host import CoreHost
from .proxy_host import ProxyHost
from .virtual_clients import VirtualClients
from .virtual_operator import VirtualOperator

SHORTEST_US, LONGEST_US = 200 * MS, 4 * SECOND
SHORT_RESTART_US = 100 * MS


class VirtualFault(StrEnum):
    """What may happen."""

    KILL_CORE = "kill core machine"
    WIPE_CORE = "lose a core disk"
    FREEZE_CORE = "freeze core machine"
    PARTITION_CORE = "partition core machine"
    PARTITION_CORE_ONE_WAY = "partition core machine one way"
    KILL_ALL_CORES = "power loss of all core machines"
    KILL_PROXY = "kill proxy"
    KILL_OWNER = "kill the proxy of an operation in flight"
    FREEZE_PROXY = "freeze proxy"
    FREEZE_OWNER = "freeze the proxy of an operation in flight"
    PARTITION_PROXY = "partition proxy"
    PARTITION_PROXY_FROM_CORES = "partition proxy from core machines"
    SPLIT = "partition with proxies and core machines on both sides"
    HOT_TENANT = "hot tenant"
    LOWER_HOT_LIMIT = "lower the limit of a hot tenant"
    REVOKE_KEY = "revoke key"
    ADD_KEY = "add key"
    LOWER_LIMIT = "lower limit"
    RAISE_LIMIT = "raise limit"


CORE_FAULTS = (
    VirtualFault.KILL_CORE,
    VirtualFault.WIPE_CORE,
    VirtualFault.FREEZE_CORE,
    VirtualFault.PARTITION_CORE,
    VirtualFault.PARTITION_CORE_ONE_WAY,
)
TENANT_FAULTS = (
    VirtualFault.HOT_TENANT,
    VirtualFault.LOWER_HOT_LIMIT,
    VirtualFault.REVOKE_KEY,
    VirtualFault.ADD_KEY,
    VirtualFault.LOWER_LIMIT,
    VirtualFault.RAISE_LIMIT,
)


class FaultEvent(msgspec.Struct, frozen=True):
    """One fault; times in microseconds from the begin of traffic. The number picks what it strikes."""

    at: int
    fault: VirtualFault
    for_us: int
    number: int


def draw_events(rng: Random, count: int, until_us: int) -> list[FaultEvent]:
    """Return the faults of one soak in the order of time; half of them come close behind another one."""
    events: list[FaultEvent] = []
    for _ in range(count):
        at = rng.randrange(until_us)
        if events and rng.random() < 0.5:
            at = min(until_us, rng.choice(events).at + rng.randrange(SECOND))
        kinds = TENANT_FAULTS if rng.random() < 0.4 else tuple(VirtualFault)
        for_us = rng.randrange(SHORTEST_US, LONGEST_US)
        events.append(FaultEvent(at, rng.choice(kinds), for_us, rng.getrandbits(16)))
    return sorted(events, key=lambda event: event.at)


class VirtualFaults:
    """Brings events about. Core machines are lost only as far as `Losses` allows."""

    def __init__(
        self,
        net: Net,
        record: Record,
        losses: Losses,
        cores: list[CoreHost],
        proxies: list[ProxyHost],
        clients: VirtualClients,
        operator: VirtualOperator,
        customers: Customers,
    ) -> None:
        self._net, self._time, self._record, self._losses = net, net.time, record, losses
        self._cores, self._proxies = cores, proxies
        self._clients, self._operator, self._customers = clients, operator, customers

    def bring_about(self, event: FaultEvent) -> None:
        """Bring an event about, unless too many core machines would be lost with it."""
        tenant_changes: dict[VirtualFault, Callable[[int], Tenant]] = {
            VirtualFault.REVOKE_KEY: self._customers.revoke,
            VirtualFault.ADD_KEY: self._customers.add_key,
            VirtualFault.LOWER_LIMIT: self._customers.lower_limit,
            VirtualFault.RAISE_LIMIT: self._customers.raise_limit,
        }
        if event.fault in tenant_changes:
            self._operator.send_tenant(tenant_changes[event.fault](event.number))
        elif event.fault in (VirtualFault.HOT_TENANT, VirtualFault.LOWER_HOT_LIMIT):
            name = self._clients.start_hot_tenant(event.number)
            if event.fault is VirtualFault.LOWER_HOT_LIMIT:
                self._time.after(event.for_us // 4, self._lower_limit, name)
        elif event.fault is VirtualFault.KILL_ALL_CORES:
            self.kill_all_cores(event.for_us)
        elif event.fault is VirtualFault.SPLIT:
            self._split(event)
        elif event.fault in CORE_FAULTS:
            self._strike_core(event)
        else:
            self._strike_proxy(event)

    def _lower_limit(self, name: str) -> None:
        names = [tenant.name for tenant in self._customers.tenants]
        self._operator.send_tenant(self._customers.lower_limit(names.index(name)))

    # Core machines

    def _strike_core(self, event: FaultEvent) -> None:
        core = self._cores[event.number % len(self._cores)]
        if not core.is_up or not self._lose([core], event.for_us):
            return
        if event.fault is VirtualFault.FREEZE_CORE:
            core.freeze(event.for_us)
            self._record_outage(core.ip, CORE_PROGRAMS, event.for_us)
        elif event.fault in (VirtualFault.PARTITION_CORE, VirtualFault.PARTITION_CORE_ONE_WAY):
            self._isolate({core.ip}, event.for_us, event.fault is VirtualFault.PARTITION_CORE_ONE_WAY)
        else:
            self._kill_core(core, event.for_us, event.fault is VirtualFault.WIPE_CORE, power=event.number % 2 == 0)

    def _kill_core(self, core: CoreHost, for_us: int, is_wiped: bool, power: bool) -> None:
        core.kill(power=power or is_wiped, is_wiped=is_wiped)
        self._record_kill(core.ip, CORE_PROGRAMS, for_us)
        self._time.after(for_us, core.start)

    def _lose(self, cores: list[CoreHost], for_us: int) -> bool:
        addresses = [core.ip for core in cores]
        if not self._losses.allow(addresses):
            return False
        self._losses.lose(addresses)
        for address in addresses:
            self._time.after(for_us, self._losses.back, address)
        return True

    def kill_all_cores(self, for_us: int, wiped: int = 0) -> None:
        """Cut the power of all core machines at once; so many of those that are complete lose their disks."""
        lost = self._losses.lost()
        running = [core for core in self._cores if core.is_up]
        for core in running:
            is_wiped = wiped > 0 and core.ip not in lost and self._lose([core], for_us)
            wiped -= is_wiped
            self._kill_core(core, for_us, is_wiped, power=True)

    # Proxies

    def _strike_proxy(self, event: FaultEvent) -> None:
        host = self._proxies[event.number % len(self._proxies)]
        if event.fault in (VirtualFault.KILL_OWNER, VirtualFault.FREEZE_OWNER):
            host = self._owner() or host
        if not host.is_up:
            return
        if event.fault in (VirtualFault.KILL_PROXY, VirtualFault.KILL_OWNER):
            host.kill()
            for_us = SHORT_RESTART_US if event.number % 2 else event.for_us
            self._record_kill(host.ip, (Program.PROXY,), for_us)
            self._time.after(for_us, host.start)
        elif event.fault in (VirtualFault.FREEZE_PROXY, VirtualFault.FREEZE_OWNER):
            host.machine.frozen_until = self._time.now + event.for_us
            self._record_outage(host.ip, (Program.PROXY,), event.for_us)
        elif event.fault is VirtualFault.PARTITION_PROXY:
            self._isolate({host.ip}, event.for_us, event.number % 3 == 0)
        else:
            cores = {core.ip for core in self._cores[: 1 + event.number % len(self._cores)]}
            partition = self._net.partition(self._addresses({host.ip}), self._addresses(cores))
            self._time.after(event.for_us, self._net.heal, partition)
            self._record_outage(host.ip, (Program.PROXY,), event.for_us)

    def _owner(self) -> ProxyHost | None:
        """Return the proxy at which the newest operation is in flight."""
        pending: list[ClientRequest] = [
            request
            for request in self._record.requests[-200:]
            if request.operation_key and request.end is RequestEnd.PENDING
        ]
        ip = pending[-1].ip if pending else ""
        return next((host for host in self._proxies if host.ip == ip), None)

    # Partitions

    def _split(self, event: FaultEvent) -> None:
        core = self._cores[event.number % len(self._cores)]
        if not core.is_up or not self._lose([core], event.for_us):
            return
        half = {host.ip for number, host in enumerate(self._proxies) if (event.number >> number) & 1}
        self._isolate({core.ip, *half}, event.for_us, False)

    def _isolate(self, ips: set[str], for_us: int, is_one_way: bool) -> None:
        inside = self._addresses(ips)
        outside = {address for address in self._net.machines if not address.startswith("operator")} - inside
        sides = (inside, outside) if for_us % 2 else (outside, inside)
        partition = self._net.partition(*sides, one_way=is_one_way)
        self._time.after(for_us, self._net.heal, partition)
        for ip in ips:
            is_core = any(core.ip == ip for core in self._cores)
            self._record_outage(ip, CORE_PROGRAMS if is_core else (Program.PROXY,), for_us)

    def _addresses(self, ips: set[str]) -> set[str]:
        return {address for address in self._net.machines if host_of(address) in ips}

    # The record

    def _record_outage(self, ip: str, programs: tuple[Program, ...], for_us: int) -> None:
        for program in programs:
            key = ProcessKey(program, ip)
            self._record.signals.append(SignalSent(key, Signals.SIGSTOP, self._time.now))
            self._record.signals.append(SignalSent(key, Signals.SIGCONT, self._time.now + for_us))

    def _record_kill(self, ip: str, programs: tuple[Program, ...], for_us: int) -> None:
        now = self._time.now
        for program in programs:
            key = ProcessKey(program, ip)
            self._record.signals.append(SignalSent(key, Signals.SIGKILL, now))
            self._record.ends.append(ProcessEnd(key, -Signals.SIGKILL, now, now, True))
            self._record.starts.append(ProcessStart(key, now + for_us))
