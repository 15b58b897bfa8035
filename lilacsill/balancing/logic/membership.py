"""Membership: tracks the backends that exist and are in service, according to discovery and operators."""

from __future__ import annotations

from ..interface import Backend, BackendId, BackendsChanged, BackendState, ListKind, MaintenanceChanged
from .context import Context
from .discovery_watch import DiscoveryWatch
from .records import BackendRecord


class Membership:
    """Backends of this balancer, by their state in discovery and in maintenance.

    Attributes:
        backends: All backends by identity, including draining ones and removed ones with attempts or probes in flight.
        ready: Backends that accept work, in the order of `backends`.
        by_id_hash: Backends by the hash of their identity, which peer reports contain.
        in_maintenance: Identities of the backends that operators have taken out of service.
        maintenance_changed_at: Clock time at which a backend last entered or left maintenance, by identity,
            microseconds; a backend warms up from its return on.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.backends: dict[BackendId, BackendRecord] = {}
        self.ready: list[BackendRecord] = []
        self.by_id_hash: dict[int, BackendRecord] = {}
        self.in_maintenance: set[BackendId] = set()
        self.maintenance_changed_at: dict[BackendId, int] = {}
        self._watch = DiscoveryWatch(context)

    def on_backends_changed(self, event: BackendsChanged) -> bool:
        """Apply an update of the list of backends; return False if it reports a failure, which has no list."""
        if event.kind is ListKind.FAILED:
            self._watch.on_failed()
            return False
        if event.kind is not ListKind.CACHED:
            self._watch.on_succeeded()
        for listed in event.backends:
            self._update(listed)
        if event.kind is not ListKind.DELTA:
            self._remove_all_but({listed.id for listed in event.backends})
        self._watch.ensure(is_first=event.kind is ListKind.CACHED)
        self._rebuild_indexes()
        return True

    def on_maintenance_changed(self, event: MaintenanceChanged) -> None:
        """Take a backend out of service or return it to service."""
        if event.in_maintenance != (event.backend in self.in_maintenance):
            if event.in_maintenance:
                self.in_maintenance.add(event.backend)
            else:
                self.in_maintenance.remove(event.backend)
            self.maintenance_changed_at[event.backend] = now = self.context.now
            backend = self.backends.get(event.backend)
            if backend is not None:
                backend.in_maintenance, backend.maintenance_changed_at = event.in_maintenance, now
                # The statistics describe the process before maintenance, and discovery lists its replacement late.
                backend.reset(now)
        self._rebuild_indexes()

    def _update(self, listed: Backend) -> None:
        backend = self.backends.get(listed.id)
        if backend is None:
            backend = self.backends[listed.id] = BackendRecord(listed, self.context.now)
            backend.in_maintenance = listed.id in self.in_maintenance
            backend.maintenance_changed_at = self.maintenance_changed_at.get(listed.id, 0)
        elif listed.started_at != backend.started_at:
            backend.reset(self.context.now)  # a new process with the same identity
        backend.update_from(listed)

    def _remove_all_but(self, listed: set[BackendId]) -> None:
        for backend in self.backends.values():
            if backend.id not in listed:
                backend.state = BackendState.GONE

    def _rebuild_indexes(self) -> None:
        """Remove backends that are gone without pending work, since identities are not reused; rebuild the indexes."""
        remaining = [
            backend
            for backend in self.backends.values()
            if backend.state is not BackendState.GONE or backend.in_flight or backend.probe_waiters
        ]
        self.backends = {backend.id: backend for backend in remaining}
        self.ready = [backend for backend in remaining if backend.accepts_work]
        self.by_id_hash = {backend.id_hash: backend for backend in remaining}
