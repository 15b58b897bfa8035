"""Endpoints and configuration that this proxy lacks, pulled from registries by a vector of versions: one for each
registry's directory, one for the configuration.

It hangs on two registries, named by rendezvous hashing; one that gives no answer is left for the next.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from lilacsill.address import Address, parse_address
from lilacsill.mesh.runtime.freshness import Evidence
from lilacsill.mesh.runtime.hashing import chosen
from lilacsill.mesh.runtime.incarnation import Incarnation
from lilacsill.mesh.runtime.messages import Endpoint, Message, Poll, PollReply
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import Peers
from lilacsill.mesh.runtime.settings import Settings

from .backend_lifecycle import BackendLifecycle
from .failure_detector import with_incarnations
from .forwarder import Forwarder

REGISTRIES = 2
WAIT_MS = 700
LATE_US = 500_000  # beyond the wait
REST_US = 150_000
SHUN_US = 2_000_000  # one that gave no answer
BEHIND_US = 150_000
CURRENT_US = 1_900_000  # a proof of a tail's that is younger, over whatever hops, counts


class DiscoveryClient:
    """Keeps routes and tables up to date, and tells registries of the own endpoint."""

    def __init__(self, settings: Settings, reactor: Reactor, carrier: Forwarder, life: BackendLifecycle) -> None:
        self._settings, self._reactor, self._carrier, self._life = settings, reactor, carrier, life
        self._peers = Peers(reactor)
        self._registries = {f"{seed.host}:{settings.ports[0]}" for seed in settings.seeds}
        self.vector: dict[str, tuple[int, int]] = {}  # of each registry: its life, version of its directory
        self._hanging: dict[str, int] = {}  # registry: number of the question that is out
        self._shunned: dict[str, int] = {}
        self._asks = 0
        self._newest = 0  # number of the configuration that is known to be there
        self._behind: set[str] = set()  # registries to be asked for items out of turn
        self._incarnation = Incarnation(time.time_ns() // 1000)
        self.evidence = Evidence(CURRENT_US)  # that the configuration here is the one in force
        self.leaving = False
        self.endpoints: dict[str, Endpoint] = {}
        self._others: dict[str, str] | None = None  # None: to be made anew
        self.accused: set[str] = set()  # neighbours that cannot be seen
        self.on_news: Callable[[], None] = lambda: None
        carrier.is_config_current = self.sure

    def sure(self) -> bool:
        """Whether the configuration here is the one that stands."""
        return self.evidence.is_current(self._reactor.now())

    def start(self) -> None:
        self._turn()

    def changed(self) -> None:
        """The own endpoint has: tell at once."""
        self._incarnation.changed()
        self.tell()

    def tell(self) -> None:
        for registry in list(self._hanging):
            self._ask(registry, 0)

    def endpoint(self) -> Endpoint:
        life, settings = self._life, self._settings
        cold_us = life.warming_up_until - self._reactor.now()
        state = "leaving" if self.leaving else life.state
        return Endpoint(
            settings.node,
            self._incarnation.number,
            self._incarnation.version,
            settings.ip,
            settings.ports[0],
            settings.zone,
            life.service or settings.service,
            life.server,
            state,
            life.slots,
            max(0, cold_us // 1000),
        )

    def others(self) -> dict[str, str]:
        """Addresses of the other proxies, by node: the same dict while none comes, moves or goes."""
        if self._others is None:
            self._others = {
                n: f"{s.host}:{s.port}"
                for n, s in self.endpoints.items()
                if n != self._settings.node and s.state != "leaving"
            }
        return self._others

    def _turn(self) -> None:
        now = self._reactor.now()
        self._reactor.after(REST_US, self._turn)
        self._shunned = {c: until for c, until in self._shunned.items() if until > now}
        open_to = self._registries - self._shunned.keys() or self._registries
        for registry in chosen(self._settings.node, open_to, REGISTRIES):
            if registry not in self._hanging:
                self._ask(registry, WAIT_MS)

    def _ask(self, registry: str, wait_ms: int) -> None:
        self._asks += 1
        number = self._asks
        self._hanging[registry] = number
        life, directory = self.vector.get(registry, (0, 0))
        # One registry brings the configuration; the others say that there is more, and are asked if that one fails.
        wants = registry == self._first() or registry in self._behind
        self._behind.discard(registry)
        ask = Poll(
            self.endpoint(),
            life,
            directory,
            self._carrier.config.seq if wants else -1,
            self._newest,
            wait_ms,
            with_incarnations(
                self.accused, {n: self.endpoints[n].incarnation for n in self.accused if n in self.endpoints}
            ),
        )
        self._peers.to(parse_address(registry)).ask(
            ask, wait_ms * 1000 + LATE_US, partial(self._answered, registry, number, self._reactor.now())
        )

    def _first(self) -> str:
        open_to = self._registries - self._shunned.keys() or self._registries
        return next(iter(chosen(self._settings.node, open_to, 1)), "")

    def _answered(self, registry: str, number: int, asked_at: int, m: Message | None) -> None:
        current = self._hanging.get(registry) == number
        if current:
            del self._hanging[registry]
        if not isinstance(m, PollReply):
            if current:
                self._shunned[registry] = self._reactor.now() + SHUN_US
                self._turn_now()
            return
        self._take(registry, asked_at, m)
        if not current:
            return
        if m.freshness is None:
            # Cut off, or just started: its directory is of use, its configuration is not.
            self._shunned[registry] = self._reactor.now() + SHUN_US // 4
            return self._turn_now()
        if registry in chosen(self._settings.node, self._registries - self._shunned.keys(), REGISTRIES):
            self._ask(registry, WAIT_MS)

    def _turn_now(self) -> None:
        now = self._reactor.now()
        open_to = self._registries - {c for c, until in self._shunned.items() if until > now}
        for registry in chosen(self._settings.node, open_to, REGISTRIES):
            if registry not in self._hanging:
                self._ask(registry, WAIT_MS)

    def _take(self, registry: str, asked_at: int, m: PollReply) -> None:
        now = self._reactor.now()
        self.vector[registry] = (m.registry_incarnation, m.directory_version)
        for endpoint in m.endpoints:
            self._endpoint_told(endpoint, now)
        for node in m.removed:
            gone = self.endpoints.pop(node, None)
            if gone is not None:
                self._others = None
            self._drop_links(gone)
            for table in self._carrier.upstreams.tables.values():
                table.remove(node)
        routes = self._carrier.config
        if m.items or m.config_seq > routes.seq:
            routes.apply(m.items, m.config_seq)
        self._newest = max(self._newest, m.newest_seq)
        if m.freshness is not None and routes.seq >= m.newest_seq:
            self.evidence.heard(m.freshness, asked_at)
        elif m.freshness is not None and not m.items:
            self._reactor.after(BEHIND_US, self._still_behind, registry)
        if m.registry_addresses:
            self._registries = set(m.registry_addresses)
        self._carrier.upstreams.proxies = max(1, len(self.endpoints))
        self.on_news()
        self._refute(m.endpoints)

    def _refute(self, endpoints: list[Endpoint]) -> None:
        """A record of a run of this proxy that is over, with a higher number than this one's, would hide this one."""
        own = (e for e in endpoints if e.node == self._settings.node)
        if any(self._incarnation.refute(e.incarnation, e.version) for e in own):
            self.changed()

    def _drop_links(self, endpoint: Endpoint | None) -> None:
        """The process at its far end is over; a request that went out on one would have an unknown outcome."""
        if endpoint is not None:
            self._carrier.upstreams.links.close_idle(Address(endpoint.host, endpoint.port))

    def _still_behind(self, registry: str) -> None:
        """That registry knows of more, and the one that should bring it has not."""
        if self._carrier.config.seq < self._newest:
            self._behind.add(registry)
            self._ask(registry, WAIT_MS)

    def _endpoint_told(self, endpoint: Endpoint, now: int) -> None:
        held = self.endpoints.get(endpoint.node)
        if held is not None and held.incarnation == endpoint.incarnation and held.version >= endpoint.version:
            return
        self.endpoints[endpoint.node] = endpoint
        if held is None or address_and_departure(held) != address_and_departure(endpoint):
            self._others = None
        if held is not None and held.incarnation != endpoint.incarnation:
            self._drop_links(held)
        if held is not None and held.service != endpoint.service:
            self._carrier.upstreams.table(held.service).remove(endpoint.node)
        self._carrier.upstreams.table(endpoint.service).update(endpoint, now)


def address_and_departure(endpoint: Endpoint) -> tuple[str, int, bool]:
    """What neighbours need to know of it: its address, and whether it leaves."""
    return endpoint.host, endpoint.port, endpoint.state == "leaving"
