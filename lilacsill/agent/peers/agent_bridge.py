"""The bridge between an agent and its fleet.

It converts what the agent observes into counts and health reports, and the results of the fleet into events for the
decision module. It does no I/O and never blocks.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from lilacsill.balancing import interface as balancing
from lilacsill.clock import Clock

from ..discovery.listing import Listing
from ..inbound.validation import DownstreamRequest
from .counts import ATTEMPTS, REJECTIONS, REQUESTS, ZONE_CROSSINGS
from .fleet import BUDGETS, Fleet
from .membership import StateChange
from .records import MemberState

log = logging.getLogger("lilacsill.agent.peers.feed")  # the former module name, kept because logs show it

COLD = BUDGETS.index("cold")
CHECK_INTERVAL_US = 100_000  # between checks for unhealthy backends while errors are seen
IDLE_CHECK_INTERVAL_US = 1_000_000  # while no errors are seen: the bridge is not notified of failed health checks
CLAIM_LIFETIME_US = 4_000_000  # a health report expires after this time unless it is renewed
GOOD_OUTCOMES = (balancing.Outcome.OK, balancing.Outcome.CANCELLED)  # any other outcome causes a check soon
REJECTED_STATUS = 503  # HTTP status of a request that the agent rejects
MAX_TRACKED_REQUESTS = 4096  # whose tenant and class are remembered
HEADROOM = 1.25  # the need for a budget, as a multiple of this agent's share of all traffic
MIN_REQUESTS_FOR_SHARE = 100  # counted by all agents; with fewer, this agent's share of the traffic is unknown
MAX_COUNT_KEY = 255  # greatest tenant and class number in counts
MAX_LOG_LINES_PER_MINUTE = 20  # for state changes of agents; further ones are only counted
MINUTE_US = 60_000_000


class AgentBridge:
    """An observer of the agent that updates the fleet and notifies the decision module of the fleet's results.

    Args:
        clock: The agent's clock.
        fleet: This agent's part in the fleet.
        zone: The zone of this agent.
        warm_up_us: How long a backend counts as cold after its start, in microseconds.
        post: Delivers an event to the decision module.
        estimates: Returns the decision module's estimates of the backends.

    Attributes:
        is_channel_open: Whether this process participates in the fleet, that is, its socket is bound.
        wake: Makes the channel process what has happened in the agent.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        zone: int,
        warm_up_us: int,
        post: Callable[[balancing.FleetChanged | balancing.PeerHealthChanged], None],
        estimates: Callable[[], list[balancing.BackendEstimate]],
    ) -> None:
        self._clock, self._fleet, self._zone, self._warm_up_us = clock, fleet, zone, warm_up_us
        self._post, self._estimates = post, estimates
        # Tenant and class of the newest requests, by number.
        self._requests: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self._zones: dict[str, int] = {}
        self._started_at: dict[str, int] = {}
        self._unhealthy: set[str] = set()
        self._has_errors = False  # since the last check
        self._checked_at = 0
        self._last_fleet_event: balancing.FleetChanged | None = None
        # As last posted to the decision module, by backend.
        self._peer_health: dict[str, balancing.PeerHealthChanged] = {}
        self._log_lines, self._log_minute_at, self._suppressed_lines = 0, 0, 0
        self.is_channel_open = False
        self.wake: Callable[[], None] = lambda: None

    # Observer

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Count a request."""
        self._requests[call.number] = min(call.tenant, MAX_COUNT_KEY), min(call.request_class, MAX_COUNT_KEY)
        # Entries are not removed when the request is answered, since an attempt may end after its request.
        if len(self._requests) > MAX_TRACKED_REQUESTS:
            self._requests.popitem(last=False)
        self._count(REQUESTS, call.number)

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: balancing.BackendId,
        outcome: balancing.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Count an attempt and record its outcome."""
        self._count(ATTEMPTS, number)
        if self._zones.get(str(backend), self._zone) != self._zone:
            self._count(ZONE_CROSSINGS, number)
        if outcome is balancing.Outcome.OK:
            self._fleet.peer_health.backend_answered(str(backend), self._clock.now())
        elif outcome not in GOOD_OUTCOMES and not self._has_errors:
            self._has_errors = True
            self._clock.after(CHECK_INTERVAL_US, self.wake)  # no datagram may arrive in time to trigger the check

    def request_answered(self, number: int, status: int) -> None:
        """Count a request that was rejected."""
        if status == REJECTED_STATUS:
            self._count(REJECTIONS, number)

    def backends_listed(self, listing: Listing) -> None:
        """Record the zones and the start times of listed backends."""
        if listing.complete:
            self._zones.clear()
            self._started_at.clear()
        for member in listing.members:
            name = str(member.backend.id)
            if member.backend.state is balancing.BackendState.GONE:
                self._zones.pop(name, None)
                self._started_at.pop(name, None)
            else:
                self._zones[name], self._started_at[name] = member.backend.zone, member.backend.started_at
        self._fleet.peer_health.set_backends(self._started_at, self._clock.now())

    def _count(self, kind: int, number: int) -> None:
        key = self._requests.get(number)
        if key is not None:
            self._fleet.counts.count(kind, *key)

    # From the fleet to the decision module

    def on_fleet_event(self) -> None:
        """Check the backends if a check is due, and post what has changed in the fleet."""
        now = self._clock.now()
        has_problems = self._has_errors or self._unhealthy
        if now - self._checked_at >= (CHECK_INTERVAL_US if has_problems else IDLE_CHECK_INTERVAL_US):
            self._checked_at = now
            self._check_backends(now)
        self._post_fleet(now)
        self._post_peer_health(now)
        self._log_changes(now)

    def _check_backends(self, now: int) -> None:
        self._has_errors = False
        self._unhealthy = {str(estimate.backend) for estimate in self._estimates() if not estimate.healthy}
        if self._unhealthy or self._fleet.peer_health.own_claims:
            self._fleet.set_unhealthy(self._unhealthy, now, CLAIM_LIFETIME_US)
        has_cold = any(started and now - started < self._warm_up_us for started in self._started_at.values())
        self._fleet.set_need(COLD, HEADROOM * self._traffic_share() if has_cold else 0.0)

    def _traffic_share(self) -> float:
        """Return this agent's share of all requests as a multiple of an equal share; 1 with too few requests."""
        total = self._fleet.counts.total()[REQUESTS]
        own = self._fleet.counts.total(self._fleet.settings.own_number)[REQUESTS]
        return own * self._fleet.size.number / total if total >= MIN_REQUESTS_FOR_SHARE else 1.0

    def _post_fleet(self, now: int) -> None:
        share, until, after = self._fleet.share(COLD, now) if self.is_channel_open else (0.0, 2**62, 0.0)
        event = balancing.FleetChanged(self._fleet.size.number, share, until, after)
        if event != self._last_fleet_event:
            self._last_fleet_event = event
            self._post(event)

    def _post_peer_health(self, now: int) -> None:
        if not self._peer_health and not self._fleet.peer_health.peer_claims:
            return  # the usual case: no verdicts are posted, and peers have no claims
        current: dict[str, balancing.PeerHealthChanged] = {}
        for verdict in self._fleet.verdicts(now):
            event = balancing.PeerHealthChanged(verdict.backend, verdict.ejected, verdict.observed_at, verdict.until)
            current[verdict.backend] = event
            previous = self._peer_health.get(verdict.backend)
            if previous != event:
                self._post(event)
            if previous is None or previous.ejected != event.ejected:
                self._fleet.note_applied(now, verdict)
        for backend in self._peer_health.keys() - current.keys():
            self._post(balancing.PeerHealthChanged(backend, False, 0, 0))
        self._peer_health = current

    # The log

    def _log_changes(self, now: int) -> None:
        changes, self._fleet.changes = self._fleet.changes, []
        if now - self._log_minute_at > MINUTE_US:
            if self._suppressed_lines:
                log.info(
                    "%d further state changes of agents were not logged: more than the limit per minute",
                    self._suppressed_lines,
                )
            self._log_minute_at, self._log_lines, self._suppressed_lines = now, 0, 0
        for change in changes:
            if change.before is MemberState.UNKNOWN:
                continue
            self._log_lines += 1
            if self._log_lines > MAX_LOG_LINES_PER_MINUTE:
                self._suppressed_lines += 1
            else:
                _log_change(change)


def _log_change(change: StateChange) -> None:
    log.info(
        "agent %d is %s, was %s (reported by agent %d, cause %d.%d)",
        change.member,
        change.after.name.lower(),
        change.before.name.lower(),
        change.by,
        *change.cause,
    )
