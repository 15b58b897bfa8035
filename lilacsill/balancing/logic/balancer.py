"""One balancer: the rooms, wired, and the one way in."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .. import interface as q
from .admission import AdmissionControl
from .attempts import AttemptManager
from .context import Context
from .load_probing import LoadProber
from .load_table import LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .peer_reports import PeerReports
from .records import BackendRecord
from .sampling import Sampler
from .tenant_quotas import TenantQuotas
from .warm_up_budget import WarmUpBudget


class Balancer:
    """Hand every event to handle() in order; carry out the actions it returns in order."""

    def __init__(self, settings: q.Settings, seed: int) -> None:
        self.context = core = Context(settings, seed)
        self.table = LoadTable(settings)
        self.members = Membership(core)
        health = OutlierDetector(core.rng, core.log, settings.balancer_count)
        cold = WarmUpBudget(settings, Random(~seed))
        self.sampler = Sampler(self.members, self.table, health, cold)
        peers = PeerReports(core, self.members, self.table, self.sampler.peer_fanout)
        shares = TenantQuotas(settings)
        self.attempts = AttemptManager(core, self.sampler, peers, shares)
        asking = LoadProber(core, self.members, self.sampler)
        admission = AdmissionControl(self.sampler, asking, self.attempts, shares)
        self._handlers: dict[type, Callable[[Any], None]] = {
            q.BackendsChanged: self._listed,
            q.MaintenanceChanged: self._listed,
            q.TenantChanged: shares.on_tenant_changed,
            q.RequestArrived: admission.on_request_arrived,
            q.StreamStarted: self.attempts.on_progress,
            q.UploadChanged: self.attempts.on_progress,
            q.AttemptEnded: self.attempts.on_attempt_ended,
            q.ClientDisconnected: self.attempts.on_client_disconnected,
            q.TimerFired: core.on_timer_fired,
            q.ProbeEnded: asking.on_probe_ended,
            q.PeerMessageReceived: peers.on_peer_message,
            q.FleetChanged: self._fleet,
            q.PeerHealthChanged: self._hearsay,
            q.LatencyModelRestored: self.table.restore,
        }

    def handle(self, now: int, event: q.Event) -> list[q.Action]:
        """Take one event at time now; return what to do about it."""
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is no event of the interface")
        self.context.begin_event(now)
        handler(event)
        return self.context.actions

    def estimates(self, now: int) -> list[q.BackendEstimate]:
        """What is held true of each backend that may get new work, for those who explain refusals."""
        return [self._belief(s, now) for s in self.members.ready]

    def _belief(self, s: BackendRecord, now: int) -> q.BackendEstimate:
        age, admits = now - s.reported_at, self.sampler.outliers.admits(s, now, self.table.typical_latency_us)
        ghosts, others = s.abandoned.value_at(now), self.table.other_load(s, now)
        return q.BackendEstimate(
            s.id, len(s.in_flight), ghosts, others, age if s.reported_at else None, s.service_time_us, admits
        )

    def latency_model(self) -> q.LatencyModelRestored:
        """What a later life may begin with."""
        return q.LatencyModelRestored(
            self.table.service_time_us, self.table.typical_latency_us, self.table.answer_count
        )

    def _fleet(self, e: q.FleetChanged) -> None:
        self.context.balancer_count = self.attempts.window.balancer_count = e.balancer_count
        self.sampler.set_balancer_count(e.balancer_count)
        self.sampler.outliers.set_balancer_count(e.balancer_count)
        self.sampler.warm_up.set_share(e, self.context.now)

    def _hearsay(self, e: q.PeerHealthChanged) -> None:
        s = self.members.backends.get(e.backend)
        if s is not None:
            s.peer_health = e
            self.sampler.saturation.clear()

    def _listed(self, e: q.BackendsChanged | q.MaintenanceChanged) -> None:
        before = set(self.members.ready)
        if (
            self.members.on_maintenance_changed(e)
            if isinstance(e, q.MaintenanceChanged)
            else self.members.on_backends_changed(e)
        ):
            ready = self.members.ready
            if ready and before.isdisjoint(ready):
                self.attempts.window.restart(self.context.now, len(ready))
            self.sampler.affinity.set_backends(ready)
            self.sampler.saturation.clear()
            self.sampler.picks_left = 0  # the cutoffs are of another list
