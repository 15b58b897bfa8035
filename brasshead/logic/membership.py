"""Membership: who is there, as lists tell it, and who is forgotten."""
from __future__ import annotations

from zlib import crc32

from ..interface import BackendId, BackendsChanged, Discovery, ListKind, State, Watch
from .core import Core
from .entities import SECOND, Server, name_of

WATCH_FIRST_US, WATCH_MAX_US = SECOND // 5, 2 * SECOND  # wait after a failed list call, doubled each time


class Membership:
    """The servers by id; `ready` are those that new work may go to."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.servers: dict[BackendId, Server] = {}
        self.ready: list[Server] = []
        self.tags: dict[int, Server] = {}
        self.watching, self.watch_wait = False, WATCH_FIRST_US

    def changed(self, e: BackendsChanged) -> bool:
        """Whether it told of anybody: a failed call does not."""
        now = self.core.now
        if e.kind is ListKind.FAILED:
            self.watching = False
            self.core.later(now + int(self.watch_wait * (0.5 + self.core.rng.random())), self._watch, None)
            self.watch_wait = min(2 * self.watch_wait, WATCH_MAX_US)
            return False
        if e.kind is not ListKind.CACHED:
            self.watch_wait = WATCH_FIRST_US
        named = set()
        for b in e.backends:
            named.add(b.id)
            old = self.servers.get(b.id)
            if old is None:
                self.servers[b.id] = self.tags[crc32(name_of(b.id).encode())] = Server(b, now)
                continue
            if b.started_at != old.started_at:
                old.reset(now)  # a new process under the same id
            old.adopt(b)
        if e.kind is not ListKind.DELTA:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = State.GONE
        self._forget()
        self.ready = [x for x in self.servers.values() if x.state is State.READY]
        if self.core.settings.discovery is Discovery.ASK and not self.watching:
            self._watch(None)
        return True

    def _forget(self) -> None:
        """Drop who is gone: ids are ever new. One with attempts or askers out goes when they have ended."""
        for s in [s for s in self.servers.values() if s.state is State.GONE and not s.open and not s.askers]:
            del self.servers[s.id]
            tag = crc32(name_of(s.id).encode())
            if self.tags.get(tag) is s:
                del self.tags[tag]

    def _watch(self, _: None) -> None:
        if not self.watching:
            self.watching = True
            self.core.actions.append(Watch())
