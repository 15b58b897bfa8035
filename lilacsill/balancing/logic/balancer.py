"""One balancer: the rooms, wired, and the one way in."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .. import interface as q
from .admission import AdmissionControl
from .attempts import AttemptManager
from .context import Core
from .load_probing import LoadProber
from .load_table import LoadTable
from .membership import Membership
from .outlier_detection import OutlierDetector
from .peer_reports import PeerReports
from .records import Server
from .sampling import Sampler
from .tenant_quotas import TenantQuotas
from .warm_up_budget import WarmUpBudget


class Balancer:
    """Hand every event to handle() in order; carry out the actions it returns in order."""

    def __init__(self, settings: q.Settings, seed: int) -> None:
        self.core = core = Core(settings, seed)
        self.table = LoadTable(settings)
        self.members = Membership(core)
        health = OutlierDetector(core.rng, core.log, settings.balancer_count)
        cold = WarmUpBudget(settings, Random(~seed))
        self.sampler = Sampler(self.members, self.table, health, cold)
        peers = PeerReports(core, self.members, self.table, self.sampler.tells)
        shares = TenantQuotas(settings)
        self.attempts = AttemptManager(core, self.sampler, peers, shares)
        asking = LoadProber(core, self.members, self.sampler)
        admission = AdmissionControl(self.sampler, asking, self.attempts, shares)
        self._handlers: dict[type, Callable[[Any], None]] = {
            q.BackendsChanged: self._listed,
            q.MaintenanceChanged: self._listed,
            q.TenantChanged: shares.changed,
            q.RequestArrived: admission.arrived,
            q.StreamStarted: self.attempts.streaming,
            q.UploadChanged: self.attempts.streaming,
            q.AttemptEnded: self.attempts.ended,
            q.ClientDisconnected: self.attempts.gone,
            q.TimerFired: core.timer,
            q.ProbeEnded: asking.probed,
            q.PeerMessageReceived: peers.told,
            q.FleetChanged: self._fleet,
            q.PeerHealthChanged: self._hearsay,
            q.LatencyModelRestored: self.table.remember,
        }

    def handle(self, now: int, event: q.Event) -> list[q.Action]:
        """Take one event at time now; return what to do about it."""
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is no event of the interface")
        self.core.begin(now)
        handler(event)
        return self.core.actions

    def estimates(self, now: int) -> list[q.BackendEstimate]:
        """What is held true of each backend that may get new work, for those who explain refusals."""
        return [self._belief(s, now) for s in self.members.ready]

    def _belief(self, s: Server, now: int) -> q.BackendEstimate:
        age, admits = now - s.heard_at, self.sampler.health.admits(s, now, self.table.typical)
        ghosts, others = s.ghosts.at(now), self.table.others(s, now)
        return q.BackendEstimate(s.id, len(s.open), ghosts, others, age if s.heard_at else None, s.pace, admits)

    def latency_model(self) -> q.LatencyModelRestored:
        """What a later life may begin with."""
        return q.LatencyModelRestored(self.table.pace, self.table.typical, self.table.answers)

    def _fleet(self, e: q.FleetChanged) -> None:
        self.core.siblings = self.attempts.start.siblings = e.balancer_count
        self.sampler.among(e.balancer_count)
        self.sampler.health.among(e.balancer_count)
        self.sampler.cold.granted(e, self.core.now)

    def _hearsay(self, e: q.PeerHealthChanged) -> None:
        s = self.members.servers.get(e.backend)
        if s is not None:
            s.told = e
            self.sampler.full.news()

    def _listed(self, e: q.BackendsChanged | q.MaintenanceChanged) -> None:
        before = set(self.members.ready)
        if self.members.maintained(e) if isinstance(e, q.MaintenanceChanged) else self.members.changed(e):
            ready = self.members.ready
            if ready and before.isdisjoint(ready):
                self.attempts.start.begin(self.core.now, len(ready))
            self.sampler.homes.listed(ready)
            self.sampler.full.news()
            self.sampler.picks_left = 0  # the cutoffs are of another list
