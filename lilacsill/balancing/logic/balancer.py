"""Balancer: connects the components and is the single entry point for events."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ..interface import (
    Action,
    AttemptEnded,
    BackendEstimate,
    BackendsChanged,
    ClientDisconnected,
    Event,
    FleetChanged,
    LatencyModelRestored,
    MaintenanceChanged,
    PeerHealthChanged,
    PeerMessageReceived,
    ProbeEnded,
    RequestArrived,
    Settings,
    StreamStarted,
    TenantChanged,
    TimerFired,
    UploadChanged,
)
from .admission import AdmissionControl
from .context import Context
from .load_table import LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .peer_reports import PeerReports, peer_fanout
from .records import BackendRecord
from .sampling import Sampler
from .tenant_quotas import TenantQuotas
from .warm_up_budget import WarmUpBudget


class Balancer:
    """A client-side load balancer. Pass all events to `handle` in order, and execute the returned actions in order.

    Attributes:
        context: State that all components share.
        table: Load and service times of the backends.
        members: Backends of the balancer.
        sampler: Draws backends for requests.
        attempts: Open requests and their attempts.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = Context(settings, seed)
        self.table = LoadTable(settings)
        self.members = Membership(self.context)
        outliers = OutlierDetector(self.context.rng, self.context.log, settings.balancer_count)
        warm_up = WarmUpBudget(settings, Random(~seed))
        fanout = peer_fanout(settings, self.table.load_column)
        self.sampler = Sampler(self.members, self.table, outliers, warm_up, has_peer_reports=fanout > 0)
        peers = PeerReports(self.context, self.members, self.table, fanout)
        quotas = TenantQuotas(settings)
        admission = AdmissionControl(self.sampler, peers, quotas)
        self.attempts = admission.attempts
        self._handlers: dict[type, Callable[[Any], None]] = {
            BackendsChanged: self._on_backends_changed,
            MaintenanceChanged: self._on_maintenance_changed,
            TenantChanged: quotas.on_tenant_changed,
            RequestArrived: admission.on_request_arrived,
            StreamStarted: self.attempts.on_stream_started,
            UploadChanged: self.attempts.on_upload_changed,
            AttemptEnded: self.attempts.on_attempt_ended,
            ClientDisconnected: self.attempts.on_client_disconnected,
            TimerFired: self.context.on_timer_fired,
            ProbeEnded: admission.prober.on_probe_ended,
            PeerMessageReceived: peers.on_peer_message,
            FleetChanged: self._on_fleet_changed,
            PeerHealthChanged: self._on_peer_health_changed,
            LatencyModelRestored: self.table.restore,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event.

        Args:
            now: Clock time of the event, microseconds; it never decreases.
            event: Event to handle.

        Returns:
            Actions to execute, in order.

        Raises:
            TypeError: The object is not an event type of the interface.
            ValueError: A request does not conform to the settings or is already open.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is not an event type of the interface")
        self.context.begin_event(now)
        handler(event)
        return self.context.actions

    def estimates(self, now: int) -> list[BackendEstimate]:
        """Return the estimates for each backend that accepts work, which explain rejections to operators."""
        return [self._estimate(backend, now) for backend in self.members.ready]

    def latency_model(self) -> LatencyModelRestored:
        """Return the learned latency model, with which a later incarnation can start."""
        return LatencyModelRestored(
            self.table.service_time_us, self.table.typical_latency_us, self.table.response_count
        )

    def _estimate(self, backend: BackendRecord, now: int) -> BackendEstimate:
        return BackendEstimate(
            backend=backend.id,
            in_flight=len(backend.in_flight),
            abandoned=backend.abandoned.value_at(now),
            other_load=self.table.other_load(backend, now),
            report_age_us=now - backend.reported_at if backend.reported_at else None,
            service_time_us=backend.service_time_us,
            healthy=self.sampler.outliers.admits(backend, now, self.table.typical_latency_us),
        )

    def _on_backends_changed(self, event: BackendsChanged) -> None:
        ready_before = set(self.members.ready)
        if self.members.on_backends_changed(event):
            self._on_ready_changed(ready_before)

    def _on_maintenance_changed(self, event: MaintenanceChanged) -> None:
        ready_before = set(self.members.ready)
        self.members.on_maintenance_changed(event)
        self._on_ready_changed(ready_before)

    def _on_ready_changed(self, ready_before: set[BackendRecord]) -> None:
        ready = self.members.ready
        if ready and ready_before.isdisjoint(ready):
            self.attempts.window.restart(self.context.now, len(ready))
        self.sampler.affinity.set_backends(ready)
        self.sampler.saturation.clear()
        self.sampler.picks_until_refresh = 0  # the cutoffs were calculated for the previous list

    def _on_fleet_changed(self, event: FleetChanged) -> None:
        self.context.balancer_count = self.attempts.window.balancer_count = event.balancer_count
        self.sampler.eligibility.set_balancer_count(event.balancer_count)
        self.sampler.outliers.set_balancer_count(event.balancer_count)
        self.sampler.warm_up.set_share(event, self.context.now)

    def _on_peer_health_changed(self, event: PeerHealthChanged) -> None:
        backend = self.members.backends.get(event.backend)
        if backend is not None:
            backend.peer_health = event
            self.sampler.saturation.clear()
