"""Choice of a backend: the power of two choices, compared by load band.

Two ready endpoints are drawn uniformly with replacement, and the one in the lower load band wins; `cutoffs` of
`lilacsill.balancing` computes the bands. For each endpoint the table holds the load that its proxy reported last, and
the own attempts since then. The score of an endpoint estimates how long its slots are occupied, including the request
to be placed: requests per slot, times the slowdown of the backend, since backends of one service differ in speed. A
backend whose requests fail counts as more loaded.

No I/O; the caller passes the time.
"""

from __future__ import annotations

from random import Random

from lilacsill.balancing.mechanisms.bands import cutoffs, prefers_first
from lilacsill.mesh.runtime.messages import Endpoint, Load

FRESH_REPORT_US = 500_000  # a newer report has full weight; an older one decays to the mean of all reports
FRESH_FAILURE_RATE_US = 3_000_000  # the same for the failure rate, which changes more slowly
MIN_EJECTION_US = 300_000  # after the first failure to connect; doubles with each further one
MAX_EJECTION_US = 4_000_000
MIN_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN = 0.4, 2.5  # multiples of the mean; they bound wrong estimates
WARM_UP_SLOWDOWN = 2.0  # assumed for a backend that has just started and has no measured slowdown
NEW_REQUEST_LOAD = 0.3  # load of the request to be placed: of two idle backends the faster one wins
FAILURE_PENALTY = 3.0  # added to the score of a backend whose requests all fail; in proportion if some fail


class EndpointLoad:
    """The load of one endpoint as known to this proxy. Times are in microseconds."""

    __slots__ = (
        "endpoint",
        "reported_requests",
        "reported_at",
        "unreported_attempts",
        "slowdown",
        "failure_rate",
        "ejected_until",
        "ejection_us",
        "warming_up_until",
        "score",
    )

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint = endpoint
        self.reported_requests = 0  # running and waiting at the backend
        self.reported_at: int | None = None  # None: no report yet
        self.unreported_attempts: set[int] = set()  # own attempts in flight that the last report does not include
        self.slowdown: float | None = None  # duration of a request as a multiple of its route's usual duration
        self.failure_rate = 0.0
        self.ejected_until = self.ejection_us = 0
        self.warming_up_until = now + endpoint.warmup_left_ms * 1000
        self.score = 0.0  # as of the latest choice


class EndpointTable:
    """The endpoints of one service."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.entries: dict[str, EndpointLoad] = {}  # by the node of the endpoint
        self._ready: list[EndpointLoad] = []

    # Membership

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Add or update an endpoint. A new incarnation of the backend starts with unknown load."""
        entry = self.entries.get(endpoint.node)
        if entry is None or entry.endpoint.server != endpoint.server:
            entry = self.entries[endpoint.node] = EndpointLoad(endpoint, now)
        elif entry.endpoint.incarnation != endpoint.incarnation:
            entry.ejected_until = entry.ejection_us = 0  # the proxy was restarted, its backend was not
        entry.endpoint = endpoint
        if endpoint.warmup_left_ms:
            entry.warming_up_until = now + endpoint.warmup_left_ms * 1000
        self._update_ready()

    def remove(self, node: str) -> None:
        """Remove the endpoint of a node, if the table has it."""
        if self.entries.pop(node, None) is not None:
            self._update_ready()

    def _update_ready(self) -> None:
        self._ready = [entry for entry in self.entries.values() if entry.endpoint.state == "ready"]

    # Load

    def attempt_started(self, entry: EndpointLoad, attempt: int) -> None:
        """Count an own attempt until a load report of its endpoint includes it."""
        entry.unreported_attempts.add(attempt)

    def attempt_ended(self, entry: EndpointLoad, attempt: int, load: Load | None, now: int) -> None:
        """Record the end of an attempt, and the load that its endpoint reported with it, if any."""
        entry.unreported_attempts.discard(attempt)
        if load is None:
            return
        entry.reported_requests, entry.reported_at = load.in_flight, now
        entry.unreported_attempts.clear()  # the report includes those that are still in flight
        entry.ejection_us = 0
        entry.slowdown, entry.failure_rate = load.slowdown or entry.slowdown, load.failure_rate

    def eject(self, entry: EndpointLoad, now: int) -> None:
        """Exclude an unreachable endpoint for a time that doubles with each failure."""
        entry.ejection_us = min(2 * entry.ejection_us or MIN_EJECTION_US, MAX_EJECTION_US)
        entry.ejected_until = now + int(entry.ejection_us * (0.75 + 0.5 * self._rng.random()))

    def lowest_failure_rate(self) -> float:
        """Return the lowest reported failure rate: if all endpoints fail, no single endpoint is at fault."""
        rates = (entry.failure_rate for entry in self._ready if entry.reported_at is not None)
        return min(rates, default=0.0)

    # Choice

    def choose(self, now: int, excluded: list[EndpointLoad]) -> EndpointLoad | None:
        """Choose an endpoint for the next attempt.

        Ejected endpoints are candidates only if all that remain are ejected: then this proxy is partitioned, or all
        have ended.

        Returns:
            The endpoint; None if no endpoint is ready except the excluded ones.
        """
        candidates = [e for e in self._ready if e.ejected_until <= now and e not in excluded]
        if not candidates:
            candidates = [e for e in self._ready if e not in excluded]
        if not candidates:
            return None
        self._update_scores(now)
        bands = cutoffs([entry.score for entry in self._ready])
        count, random = len(candidates), self._rng.random
        first, second = candidates[int(random() * count)], candidates[int(random() * count)]
        return first if prefers_first(self._rng, bands, first.score, second.score) else second

    def _update_scores(self, now: int) -> None:
        # The most expensive function of a proxy: comparisons are cheaper than calls of min and max.
        ready, random = self._ready, self._rng.random
        reporting = [e for e in ready if e.reported_at is not None]
        mean_requests = sum([e.reported_requests for e in reporting]) / len(reporting) if reporting else 0.0
        known_slowdowns = [e.slowdown for e in reporting if e.slowdown]
        mean_slowdown = sum(known_slowdowns) / len(known_slowdowns) if known_slowdowns else 1.0
        for entry in ready:
            requests, failure_penalty = mean_requests, 0.0
            if entry.reported_at is not None:
                age_us = now - entry.reported_at + 1
                weight = 1.0 if age_us <= FRESH_REPORT_US else FRESH_REPORT_US / age_us
                requests += weight * (entry.reported_requests - mean_requests)
                if entry.failure_rate:
                    weight = 1.0 if age_us <= FRESH_FAILURE_RATE_US else FRESH_FAILURE_RATE_US / age_us
                    failure_penalty = FAILURE_PENALTY * entry.failure_rate * weight
            slowdown = 1.0
            if entry.slowdown:
                slowdown = entry.slowdown / mean_slowdown
                if slowdown < MIN_RELATIVE_SLOWDOWN:
                    slowdown = MIN_RELATIVE_SLOWDOWN
                elif slowdown > MAX_RELATIVE_SLOWDOWN:
                    slowdown = MAX_RELATIVE_SLOWDOWN
            elif entry.warming_up_until > now:
                slowdown = WARM_UP_SLOWDOWN
            slots = entry.endpoint.slots
            # The random part breaks ties between equally loaded endpoints.
            occupancy = (requests + len(entry.unreported_attempts) + random()) / (slots if slots > 1 else 1)
            entry.score = (NEW_REQUEST_LOAD + occupancy) * slowdown + failure_penalty
