"""One soak of a shared deployment in virtual time, from the first configuration to the judges."""

from __future__ import annotations

from random import Random

import msgspec

from lilacsill.mesh.runtime import settings as runtime_settings
from lilacsill.mesh.simulation.loopback_processes import CORE_PROGRAMS, ProcessKey, Program
from lilacsill.mesh.simulation.losses import Losses
from lilacsill.mesh.simulation.network import MS, SECOND, Machine
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator, RuleBroken
from lilacsill.mesh.soak.customers import Customers
from lilacsill.mesh.soak.observations import ProcessStart, Record
from lilacsill.mesh.soak.shared_judge import SharedJudge
from lilacsill.mesh.soak.timing_bounds import TimingBounds
from lilacsill.mesh.soak.violations import Violation
from lilacsill.mesh.soak.workload import SHARED_WORK

from .addresses import core_ip, proxy_ip, proxy_settings, registry_address
from .core_host import CoreHost
from .offers import Offers
from .proxy_host import ProxyHost
from .virtual_backend import VirtualBackend
from .virtual_clients import VirtualClients
from .virtual_faults import FaultEvent, VirtualFaults, draw_events
from .virtual_operator import VirtualOperator

CORES, LOST_MACHINES, PROXIES, CLIENTS = 5, 2, 6, 18
CLOCK_DRIFT = 0.002
SYNCS_US = (1 * MS, 2 * MS, 5 * MS)
CATCH_UP_US = 6 * SECOND
FORMED_US, START_US = 5 * SECOND, 4 * SECOND  # until the chain has formed; until every proxy must be ready
TRAFFIC_US, FAULTS_UNTIL_US = 14 * SECOND, 11 * SECOND
QUIET_US, RECOVERY_US, LAST_US = 5 * SECOND, 4 * SECOND, 4 * SECOND
CLOSING_SHARE = 0.5  # of the days end with a loss of power and of as many disks as may be lost
CLOSING_OUTAGE_US = 300 * MS


class DaySettings(msgspec.Struct, frozen=True):
    """The seed and the size of one day."""

    seed: int
    faults: int = 10


class SharedDay:
    """Plays one seed.

    Attributes:
        record: What clients, backends and the operator saw.
        events: The faults.
    """

    def __init__(self, settings: DaySettings) -> None:
        """Start all processes."""
        rng = self._rng = Random(settings.seed)
        self.fleet = Fleet(settings.seed, CORES, LOST_MACHINES, rng.choice(SYNCS_US), drift=CLOCK_DRIFT)
        self.net, self.time = self.fleet.net, self.fleet.net.time
        self.fleet.rotates_seeds = True
        self.record, self.customers = Record(), Customers(Random(rng.random()))
        self.events: list[FaultEvent] = draw_events(rng, settings.faults, FAULTS_UNTIL_US)
        seeds = [core_ip(number) for number in range(3)]
        self.cores = [CoreHost(self.fleet, core_ip(number), seeds, rng) for number in range(CORES)]
        self.proxies = self._start_proxies(seeds)
        self.clients = VirtualClients(
            self.time, self.record, SHARED_WORK, self.customers, self.proxies, Random(rng.random())
        )
        self.operator = VirtualOperator(self.time, self.record, Operator(self.fleet, "a"))
        losses = Losses(lambda: self.time.now, LOST_MACHINES, 0, CATCH_UP_US)
        self.faults = VirtualFaults(
            self.net, self.record, losses, self.cores, self.proxies, self.clients, self.operator, self.customers
        )
        self._record_starts()

    def _start_proxies(self, seeds: list[str]) -> list[ProxyHost]:
        backends: dict[str, VirtualBackend] = {}
        offers = Offers(self.net, backends, Random(self._rng.random()))
        hosts = []
        for number in range(PROXIES):
            machine = Machine(self.net, registry_address(proxy_ip(number)), 1)
            machine.clock_rate = 1 + CLOCK_DRIFT * (2 * self._rng.random() - 1)
            self.net.machines[machine.address] = machine
            settings = proxy_settings(proxy_ip(number), seeds, runtime_settings.TimingBounds())
            host = ProxyHost(machine, settings, offers, Random(self._rng.random()))
            backend_rng = Random(self._rng.random())
            backends[machine.address] = VirtualBackend(self.time, self.record, SHARED_WORK, host.ip, backend_rng)
            host.start()
            hosts.append(host)
        return hosts

    def _record_starts(self) -> None:
        keys = [ProcessKey(program, core.ip) for core in self.cores for program in CORE_PROGRAMS]
        keys += [ProcessKey(Program.PROXY, host.ip) for host in self.proxies]
        self.record.starts += [ProcessStart(key, self.time.now) for key in keys]

    def play(self) -> list[Violation]:
        """Play the day and judge it.

        Raises:
            RuleBroken: The deployment does not start.
        """
        self._run(FORMED_US)
        self.operator.send_first_configuration(SHARED_WORK, self.customers)
        self._run(START_US)
        if not all(host.proxy.is_ready for host in self.proxies):
            raise RuleBroken("a proxy has no current configuration in calm times")
        self.clients.start(CLIENTS)
        for event in self.events:
            self.time.after(event.at, self.faults.bring_about, event)
        self._run(TRAFFIC_US)
        self.clients.end()
        self._run(QUIET_US)
        if self._rng.random() < CLOSING_SHARE:
            self.faults.kill_all_cores(CLOSING_OUTAGE_US, LOST_MACHINES)
            self._run(RECOVERY_US)
        self.clients.repeater.repeat_after_fault()
        self._run(LAST_US)
        return SharedJudge(self.record, SHARED_WORK, TimingBounds()).violations()

    def _run(self, duration_us: int) -> None:
        self.time.run(self.time.now + duration_us)
