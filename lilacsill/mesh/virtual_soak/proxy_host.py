"""The machine of one proxy: its runs, one after the other, and the connections of clients to the present one."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lilacsill.mesh.proxy.request_permits import LocalResponse
from lilacsill.mesh.runtime.settings import Settings
from lilacsill.mesh.simulation.network import MS, Machine
from lilacsill.mesh.soak.observations import ClientRequest
from lilacsill.mesh.soak.workload import RouteWork

from .addresses import host_of
from .exchange import Exchange
from .offers import Offers
from .virtual_proxy import VirtualProxy

CLOSE_US = 1 * MS  # from the end of a process until its clients see it
ARRIVAL_US = MS // 2  # from a client to the proxy of its machine


class ProxyHost:
    """Starts and ends a proxy."""

    def __init__(self, machine: Machine, settings: Settings, offers: Offers, rng: Random) -> None:
        self.machine, self._settings, self._offers, self._rng = machine, settings, offers, rng
        self.ip = host_of(machine.address)
        self._on_closed: list[Callable[[], None]] = []
        self.proxy: VirtualProxy

    @property
    def is_up(self) -> bool:
        """Whether a process listens."""
        return self.machine.up

    def start(self) -> None:
        """Start a run of the proxy."""
        self.machine.begin()
        self.proxy = VirtualProxy(self.machine, self._settings, Random(self._rng.random()))

    def kill(self) -> None:
        """End the run; its clients see their connections close."""
        self.machine.end(power=False)
        closed, self._on_closed = self._on_closed, []
        for on_closed in closed:
            self.machine.net.time.after(CLOSE_US, on_closed)

    def open(self, on_closed: Callable[[], None], on_arrival: Callable[[], None]) -> None:
        """Connect a client: `on_arrival` comes on the machine, `on_closed` if the run ends; it may come late."""
        self._on_closed.append(on_closed)
        self.machine.net.time.after(ARRIVAL_US, self.machine.here(on_arrival))

    def run(self, call: Callable[[], None]) -> None:
        """Call something on the machine: at once, once it is no longer frozen, or never."""
        self.machine.here(call)()

    def exchange(self, request: ClientRequest, route: RouteWork, respond: Callable[[LocalResponse], None]) -> Exchange:
        """Return the exchange of a request that has come to the present run."""
        return Exchange(self.proxy, self._offers, request, route, respond)
