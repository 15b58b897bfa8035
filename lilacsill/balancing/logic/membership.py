"""Membership: who is there, as lists tell it, and who is forgotten."""

from __future__ import annotations

from ..interface import BackendId, BackendsChanged, BackendState, DiscoveryMode, ListKind, MaintenanceChanged, Watch
from .context import Context
from .records import SECOND_US, BackendRecord

# Discovery takes its callers in turn. Forty that all began at once and came back within two seconds kept it
# full by failing: for 15 s few heard anything. So they spread, and back off to what it can bear.
CALL_US = SECOND_US // 10  # of its time that one call may take
WATCH_MIN_US, WATCH_MAX_US = SECOND_US // 5, 8 * SECOND_US  # wait after a failed call, doubled each time


class Membership:
    """The servers by id; `ready` are those that new work may go to."""

    def __init__(self, core: Context) -> None:
        self.context = core
        self.backends: dict[BackendId, BackendRecord] = {}
        self.ready: list[BackendRecord] = []
        self.by_tag: dict[int, BackendRecord] = {}
        self.in_maintenance: set[BackendId] = set()  # by operators
        self.maintenance_changed_at: dict[BackendId, int] = {}  # when that last changed; who comes back is cold
        self.watching = self.watch_planned = False
        self.spread_us = min((core.settings.balancer_count - 1) * CALL_US, WATCH_MAX_US // 2)
        self.watch_wait = self.watch_first = max(WATCH_MIN_US, self.spread_us)

    def on_backends_changed(self, e: BackendsChanged) -> bool:
        """Whether it told of anybody: a failed call does not."""
        now = self.context.now
        if e.kind is ListKind.FAILED:
            self.watching = False
            self._watch_in(int(self.watch_wait * (0.5 + self.context.rng.random())))
            self.watch_wait = min(2 * self.watch_wait, WATCH_MAX_US)
            return False
        if e.kind is not ListKind.CACHED:
            self.watch_wait = self.watch_first
        for b in e.backends:
            s = self.backends.get(b.id)
            if s is None:
                s = self.backends[b.id] = BackendRecord(b, now)
                s.in_maintenance, s.returned_at = b.id in self.in_maintenance, self.maintenance_changed_at.get(b.id, 0)
            elif b.started_at != s.started_at:
                s.reset(now)  # a new process under the same id
            s.update_from(b)
        if e.kind is not ListKind.DELTA:
            named = {b.id for b in e.backends}
            for server in self.backends.values():
                if server.id not in named:
                    server.state = BackendState.GONE
        if self.context.settings.discovery is DiscoveryMode.POLL and not self.watching:
            first = e.kind is ListKind.CACHED and self.spread_us
            self._watch_in(int(self.spread_us * self.context.rng.random()) if first else 0)
        return self._settle()

    def on_maintenance_changed(self, e: MaintenanceChanged) -> bool:
        if e.in_maintenance != (e.backend in self.in_maintenance):
            (self.in_maintenance.add if e.in_maintenance else self.in_maintenance.remove)(e.backend)
            self.maintenance_changed_at[e.backend] = now = self.context.now
            s = self.backends.get(e.backend)
            if s is not None:
                s.in_maintenance, s.returned_at = e.in_maintenance, now
                s.reset(now)  # what is known is of the process before, and lists tell of the next one late
        return self._settle()

    def _settle(self) -> bool:
        """Drop who is gone: ids are ever new. One with attempts or askers out goes when they have ended."""
        kept = [s for s in self.backends.values() if s.state is not BackendState.GONE or s.in_flight or s.probe_waiters]
        self.backends = {s.id: s for s in kept}
        self.ready = [s for s in self.backends.values() if s.accepts_work]
        self.by_tag = {s.tag: s for s in self.backends.values()}
        return True

    def _watch_in(self, us: int) -> None:
        if not us:
            return self._watch(None)
        if not self.watch_planned:
            self.watch_planned = True
            self.context.call_at(self.context.now + us, self._watch, None)

    def _watch(self, _: None) -> None:
        self.watch_planned = False
        if not self.watching:
            self.watching = True
            self.context.actions.append(Watch())
