"""The process: directory, proxies, other registries, the configuration from the store, and the calls from outside."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec

from lilacsill.address import Address, parse_address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import ControlServer, Respond
from lilacsill.mesh.runtime.freshness import FreshnessTracker
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import (
    Follow,
    FollowReply,
    Gossip,
    GossipReply,
    Item,
    Message,
    Patch,
    Poll,
    PollReply,
    Read,
    Reply,
    Status,
    StatusReply,
)
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import RequestHandler, RpcClientPool, RpcServer
from lilacsill.mesh.runtime.settings import Settings

from .config_cache import ConfigCache
from .directory import PIECE, Directory
from .pacing import Pacing

STORE = 1  # its port between agents, from the first
FOLLOW_MS = 400
GOSSIP_MS = 300
TURN_US = 250_000
AGAIN_US = 100_000
LATE_US = 1_500_000  # heard itself within this counts for others
CURRENT_US = 900_000  # a proof of the store's that is younger counts
CALL_US = 950_000
STOOD_US = 400_000
ANOTHER_US = 300_000  # time left in which another store may be asked


@dataclass(slots=True, eq=False)
class WaitingPoll:
    """A proxy's question that waits for news."""

    poll: Poll
    reply: Callable[[Message], None]
    asked_at: int


class Process:
    """One registry."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Raises OSError."""
        self._settings, self._reactor = settings, reactor
        self._life = incarnation_id(os.urandom(INCARNATION_ID_BYTES))  # other lives count their own versions
        self._peers = RpcClientPool(reactor)
        self._directory = Directory()
        self._store = Address(settings.ip, settings.internal_ports[0] + STORE)
        self._copy = ConfigCache()
        self._evidence = FreshnessTracker(CURRENT_US)
        self._cores = {seed.host for seed in settings.seeds} | {settings.ip}
        self._gossips: dict[str, tuple[int, int]] = {}  # other registries: life and version of their directories
        self._asks = 0
        self._waiting: dict[int, WaitingPoll] = {}  # proxies, by number of the question
        self._listening: dict[int, tuple[Gossip, Callable[[Message], None]]] = {}  # other registries
        self._turned_at = reactor.now()
        self._telling = False
        self._pacing = Pacing()
        handlers: dict[type, RequestHandler] = {Poll: self._asked, Gossip: self._gossip, Status: self._status}
        self._desk = RpcServer(reactor, Address(settings.ip, settings.internal_ports[0]), handlers)
        self._door = ControlServer(reactor, settings.listen["ControlPort"], self._called)
        reactor.on_signal(signal.SIGTERM, self._terminated)
        reactor.on_signal(signal.SIGHUP, lambda: None)
        self._follow()
        self._turn()

    @property
    def _sure(self) -> bool:
        return self._evidence.is_current(self._reactor.now())

    # The configuration, from the store

    def _follow(self) -> None:
        self._peers.client(self._store).request(
            Follow(self._copy.seq, FOLLOW_MS, 0),
            FOLLOW_MS * 1000 + 500_000,
            partial(self._followed, self._reactor.now()),
        )

    def _followed(self, asked_at: int, m: Message | None) -> None:
        if not isinstance(m, FollowReply) or m.update is None:
            if isinstance(m, FollowReply):
                self._learn_cores(m.core_addresses)
            self._reactor.after(AGAIN_US, self._follow)
            return
        self._evidence.record(m.update.freshness, asked_at)
        self._learn_cores(m.core_addresses)
        if m.update.seq > self._copy.seq:
            self._copy.take(m.update.items, m.update.seq)
            self._tell()
        self._follow()

    def _learn_cores(self, members: list[str]) -> None:
        self._cores = {parse_address(m).host for m in members} | {self._settings.ip}
        self._gossips = {h: v for h, v in self._gossips.items() if h in self._cores}

    # Proxies

    def _asked(self, m: Poll, reply: Callable[[Message], None]) -> None:
        now = self._reactor.now()
        if self._directory.heard(m.endpoint, now):
            self._tell()
        self._missing([(node, life, m.endpoint.node) for node, life in m.suspects], now, itself=True)
        if m.wait_ms <= 0 or (self._lacks(m) and not self._is_told_soon(m)):
            return reply(self._news(m, now))
        self._asks += 1
        self._waiting[self._asks] = WaitingPoll(m, reply, now)
        self._reactor.after(m.wait_ms * 1000, self._waited, self._asks)

    def _missing(self, accusations: list[tuple[str, int, str]], now: int, itself: bool) -> None:
        """Others are told, and two accusers are believed, unless this registry itself is in doubt."""
        new = False
        for node, life, by in accusations:
            new = self._directory.accused(node, life, by, now, itself) or new
        if not new:
            return
        if self._sure and self._directory.look(now):
            self._tell()
        if itself:
            listeners, self._listening = self._listening, {}
            for g, reply in listeners.values():
                reply(self._heard(g))

    def _lacks(self, m: Poll) -> bool:
        if m.registry_incarnation != self._life or m.directory_version < self._directory.version:
            return True
        return self._lacks_config(m)

    def _lacks_config(self, m: Poll) -> bool:
        return self._sure and (m.newest_seq < self._copy.seq or 0 <= m.config_seq < self._copy.seq)

    def _is_told_soon(self, m: Poll) -> bool:
        """It lacks a few changes of the directory, of which all are about to be told."""
        few = m.registry_incarnation == self._life and self._directory.version - m.directory_version < PIECE
        return self._telling and few and not self._lacks_config(m)

    def _news(self, m: Poll, asked_at: int) -> PollReply:
        changes = self._directory.since(m.directory_version if m.registry_incarnation == self._life else 0)
        items: list[Item] = []
        config_seq = m.config_seq
        if self._sure and 0 <= m.config_seq < self._copy.seq:
            items, config_seq = self._copy.piece(m.config_seq)
        registries = [f"{host}:{self._settings.internal_ports[0]}" for host in sorted(self._cores)]
        return PollReply(
            self._life,
            changes.version,
            changes.endpoints,
            changes.gone,
            config_seq,
            items,
            self._copy.seq,
            self._evidence.freshness_of_reply(asked_at, self._reactor.now()),
            registries,
        )

    def _waited(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            self._answer(waiting)

    def _answer(self, waiting: WaitingPoll) -> None:
        waiting.reply(self._news(waiting.poll, waiting.asked_at))

    def _tell(self) -> None:
        """Something changed: answer all who lack it, soon."""
        if not self._telling:
            self._telling = True
            self._reactor.after(self._pacing.delay_us(self._reactor.now()), self._told_all)

    def _told_all(self) -> None:
        self._telling = False
        due = [number for number, waiting in self._waiting.items() if self._lacks(waiting.poll)]
        for number in due:  # each is judged once: what is in force may change with the time
            self._answer(self._waiting.pop(number))
        self._pacing.told(len(due), self._reactor.now())
        for number in [n for n, (g, _) in self._listening.items() if g.directory_version < self._directory.version]:
            g, reply = self._listening.pop(number)
            reply(self._heard(g))

    # Other registries

    def _gossip(self, m: Gossip, reply: Callable[[Message], None]) -> None:
        if m.registry_incarnation != self._life or m.directory_version < self._directory.version:
            return reply(self._heard(m))
        self._asks += 1
        self._listening[self._asks] = (m, reply)
        self._reactor.after(m.wait_ms * 1000, self._listened, self._asks)

    def _heard(self, m: Gossip) -> GossipReply:
        changes = self._directory.since(m.directory_version if m.registry_incarnation == self._life else 0)
        now = self._reactor.now()
        return GossipReply(
            self._life,
            changes.version,
            changes.endpoints,
            self._directory.heard_of_late(now, LATE_US),
            self._directory.accusations(now),
        )

    def _listened(self, number: int) -> None:
        listener = self._listening.pop(number, None)
        if listener is not None:
            listener[1](self._heard(listener[0]))

    def _ask_other(self, host: str) -> None:
        life, version = self._gossips.get(host, (0, 0))
        self._gossips[host] = (life, version)
        address = Address(host, self._settings.internal_ports[0])
        self._peers.client(address).request(
            Gossip(life, version, GOSSIP_MS), GOSSIP_MS * 1000 + 500_000, partial(self._told, host)
        )

    def _told(self, host: str, m: Message | None) -> None:
        if host not in self._gossips:
            return
        if not isinstance(m, GossipReply):
            self._reactor.after(GOSSIP_MS * 1000, self._ask_again, host)
            return
        now, news = self._reactor.now(), False
        self._gossips[host] = (m.registry_incarnation, m.directory_version)
        for endpoint in m.endpoints:
            news = self._directory.heard(endpoint, now, itself=False) or news
        self._directory.alive(m.alive, now)
        self._missing(m.suspects, now, itself=False)
        if news:
            self._tell()
        self._ask_other(host)

    def _ask_again(self, host: str) -> None:
        if host in self._gossips:
            self._ask_other(host)

    def _turn(self) -> None:
        now = self._reactor.now()
        if now - self._turned_at > TURN_US + STOOD_US or not self._sure:
            self._directory.silent_since = now  # cut off, or stood still: others' silence is perhaps its own
        self._turned_at = now
        self._reactor.after(TURN_US, self._turn)
        for host in self._cores - self._gossips.keys() - {self._settings.ip}:
            self._ask_other(host)
        if self._directory.look(now):
            self._tell()

    # The door

    def _called(self, request: Request, respond: Respond) -> None:
        path = request.target.partition(b"?")[0]
        if path == b"/api/config" and request.method in (b"PATCH", b"GET"):
            message: Message = Patch(bytes(request.body), 0) if request.method == b"PATCH" else Read(0)
            self._ask_store(message, respond, [self._store.host, *sorted(self._cores - {self._store.host})])
        elif path == b"/api/config":
            respond(405, b'{"Message":"PATCH or GET"}')
        elif path.startswith(b"/api/servers/"):
            # The proxy beside the backend takes its beats; here nobody can hold what a drain promises.
            respond(503, b'{"Message":"beats go to the proxy beside the backend"}')
        else:
            respond(404, b'{"Message":"no such call"}')

    def _ask_store(self, message: Message, respond: Respond, hosts: list[str]) -> None:
        until = self._reactor.now() + CALL_US

        def ask(at: int) -> None:
            left = until - self._reactor.now()
            if at == len(hosts) or left < ANOTHER_US:
                return respond(503, b'{"Message":"the store gives no answer"}')
            self._peers.client(Address(hosts[at], self._store.port)).request(message, left, lambda m: answered(at, m))

        def answered(at: int, m: Message | None) -> None:
            if isinstance(m, Reply):
                return respond(m.status, m.body)
            ask(at + 1)  # a call that is given twice is one call

        ask(0)

    def _terminated(self) -> None:
        log.info("leaves")
        self._door.draining = True
        self._door.listener.close()
        self._reactor.after(1_000_000, self._reactor.stop)

    def _status(self, m: Message, reply: Callable[[Message], None]) -> None:
        now = self._reactor.now()
        reply(
            StatusReply(
                msgspec.json.encode(
                    {
                        "life": self._life,
                        "directory": self._directory.version,
                        "state": self._copy.seq,
                        "sure": self._sure,
                        "why_unsure": self._evidence.stale_reason(now),
                        "age_ms": self._evidence.age_ms(now),
                        "cores": sorted(self._cores),
                        "vector": self._gossips,
                        "endpoints": [
                            {
                                "stall": e.endpoint,
                                "heard_ms": (now - e.heard_at) // 1000,
                                "accusers": sorted(e.accusers),
                            }
                            for e in self._directory.entries.values()
                        ],
                        "log": log.tail(),
                    }
                )
            )
        )
