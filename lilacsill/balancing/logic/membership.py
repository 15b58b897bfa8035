"""Membership: who is there, as lists tell it, and who is forgotten."""

from __future__ import annotations

from ..interface import BackendId, BackendsChanged, BackendState, DiscoveryMode, ListKind, MaintenanceChanged, Watch
from .context import Core
from .records import SECOND, Server

# Discovery takes its callers in turn. Forty that all began at once and came back within two seconds kept it
# full by failing: for 15 s few heard anything. So they spread, and back off to what it can bear.
CALL_US = SECOND // 10  # of its time that one call may take
WATCH_MIN_US, WATCH_MAX_US = SECOND // 5, 8 * SECOND  # wait after a failed call, doubled each time


class Membership:
    """The servers by id; `ready` are those that new work may go to."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.servers: dict[BackendId, Server] = {}
        self.ready: list[Server] = []
        self.tags: dict[int, Server] = {}
        self.out: set[BackendId] = set()  # by operators
        self.back: dict[BackendId, int] = {}  # when that last changed; who comes back is cold
        self.watching = self.watch_planned = False
        self.spread_us = min((core.settings.balancer_count - 1) * CALL_US, WATCH_MAX_US // 2)
        self.watch_wait = self.watch_first = max(WATCH_MIN_US, self.spread_us)

    def changed(self, e: BackendsChanged) -> bool:
        """Whether it told of anybody: a failed call does not."""
        now = self.core.now
        if e.kind is ListKind.FAILED:
            self.watching = False
            self._watch_in(int(self.watch_wait * (0.5 + self.core.rng.random())))
            self.watch_wait = min(2 * self.watch_wait, WATCH_MAX_US)
            return False
        if e.kind is not ListKind.CACHED:
            self.watch_wait = self.watch_first
        for b in e.backends:
            s = self.servers.get(b.id)
            if s is None:
                s = self.servers[b.id] = Server(b, now)
                s.out, s.back_at = b.id in self.out, self.back.get(b.id, 0)
            elif b.started_at != s.started_at:
                s.reset(now)  # a new process under the same id
            s.adopt(b)
        if e.kind is not ListKind.DELTA:
            named = {b.id for b in e.backends}
            for server in self.servers.values():
                if server.id not in named:
                    server.state = BackendState.GONE
        if self.core.settings.discovery is DiscoveryMode.POLL and not self.watching:
            first = e.kind is ListKind.CACHED and self.spread_us
            self._watch_in(int(self.spread_us * self.core.rng.random()) if first else 0)
        return self._settle()

    def maintained(self, e: MaintenanceChanged) -> bool:
        if e.in_maintenance != (e.backend in self.out):
            (self.out.add if e.in_maintenance else self.out.remove)(e.backend)
            self.back[e.backend] = now = self.core.now
            s = self.servers.get(e.backend)
            if s is not None:
                s.out, s.back_at = e.in_maintenance, now
                s.reset(now)  # what is known is of the process before, and lists tell of the next one late
        return self._settle()

    def _settle(self) -> bool:
        """Drop who is gone: ids are ever new. One with attempts or askers out goes when they have ended."""
        kept = [s for s in self.servers.values() if s.state is not BackendState.GONE or s.open or s.askers]
        self.servers = {s.id: s for s in kept}
        self.ready = [s for s in self.servers.values() if s.serves]
        self.tags = {s.tag: s for s in self.servers.values()}
        return True

    def _watch_in(self, us: int) -> None:
        if not us:
            return self._watch(None)
        if not self.watch_planned:
            self.watch_planned = True
            self.core.later(self.core.now + us, self._watch, None)

    def _watch(self, _: None) -> None:
        self.watch_planned = False
        if not self.watching:
            self.watching = True
            self.core.actions.append(Watch())
