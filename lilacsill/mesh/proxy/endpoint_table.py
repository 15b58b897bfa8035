"""Choice of a backend: the power of two choices, compared by load band.

Two ready endpoints are drawn uniformly with replacement, and the one in the lower band of loads wins; `cutoffs` of
`lilacsill.balancing` give the bands. For each endpoint the table holds the load that its proxy reported last, and the
own attempts since then. The score of an endpoint estimates for how long its slots are taken, with the request to be
placed counted in: requests for each slot, times the slowdown of the backend, since backends of one service work at
different speeds. A backend whose requests fail counts as more loaded.

No I/O; the clock comes from outside.
"""

from __future__ import annotations

from random import Random

from lilacsill.balancing.mechanisms.bands import cutoffs, prefers_first
from lilacsill.mesh.runtime.messages import Endpoint, Load

FRESH_REPORT_US = 500_000  # a younger report counts in full; an older one fades to the mean of the other endpoints
FRESH_FAILURE_RATE_US = 3_000_000  # the same for the failure rate, which changes more slowly
MIN_EJECTION_US = 300_000  # for the first failure to connect; each further one doubles the time
MAX_EJECTION_US = 4_000_000
MIN_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN = 0.4, 2.5  # multiples of the mean; a bound on wrong estimates
WARM_UP_SLOWDOWN = 2.0  # of a backend that has just started and whose slowdown is not known
OWN_REQUEST_LOAD = 0.3  # of the request to be placed: of two idle backends the faster one wins
FAILING_LOAD = 3.0  # added to the score of a backend all of whose requests fail


class EndpointLoad:
    """The load of one endpoint, as this proxy knows it. Times are microseconds."""

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
        self.reported_at: int | None = None  # None: there was no report yet
        self.unreported_attempts: set[int] = set()  # own attempts in flight that the report cannot include
        self.slowdown: float | None = None  # time of a request as a multiple of its route's usual time
        self.failure_rate = 0.0
        self.ejected_until = self.ejection_us = 0
        self.warming_up_until = now + endpoint.warmup_left_ms * 1000
        self.score = 0.0  # as of the last choice


class EndpointTable:
    """The endpoints of one service."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.entries: dict[str, EndpointLoad] = {}  # by the node of the endpoint
        self._ready: list[EndpointLoad] = []

    # Membership

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Take over a new or changed endpoint. Another backend at its address starts with no known load."""
        entry = self.entries.get(endpoint.node)
        if entry is None or entry.endpoint.server != endpoint.server:
            entry = self.entries[endpoint.node] = EndpointLoad(endpoint, now)
        elif entry.endpoint.incarnation != endpoint.incarnation:
            entry.ejected_until = entry.ejection_us = 0  # the proxy was restarted beside the same backend
        entry.endpoint = endpoint
        if endpoint.warmup_left_ms:
            entry.warming_up_until = now + endpoint.warmup_left_ms * 1000
        self._update_ready()

    def remove(self, node: str) -> None:
        """Forget the endpoint of that node, if it is here."""
        if self.entries.pop(node, None) is not None:
            self._update_ready()

    def _update_ready(self) -> None:
        self._ready = [entry for entry in self.entries.values() if entry.endpoint.state == "ready"]

    # Load

    def attempt_started(self, entry: EndpointLoad, attempt: int) -> None:
        """Count an own attempt until its endpoint reports a load that includes it."""
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
        """Leave out an endpoint that could not be reached, for a time that doubles with each failure."""
        entry.ejection_us = min(2 * entry.ejection_us or MIN_EJECTION_US, MAX_EJECTION_US)
        entry.ejected_until = now + int(entry.ejection_us * (0.75 + 0.5 * self._rng.random()))

    def lowest_failure_rate(self) -> float:
        """The failure rate of the best endpoint that has reported: what fails everywhere is no endpoint's fault."""
        rates = (entry.failure_rate for entry in self._ready if entry.reported_at is not None)
        return min(rates, default=0.0)

    # Choice

    def choose(self, now: int, excluded: list[EndpointLoad]) -> EndpointLoad | None:
        """Choose an endpoint for the next attempt.

        Ejected endpoints count only where all that remain are ejected: then this proxy is cut off, or all are gone.

        Returns:
            The endpoint; None where none is ready beside the excluded ones.
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
        # A proxy spends more time here than anywhere else: comparisons are cheaper than calls of min and max.
        ready, random = self._ready, self._rng.random
        reporting = [e for e in ready if e.reported_at is not None]
        mean_requests = sum([e.reported_requests for e in reporting]) / len(reporting) if reporting else 0.0
        known_slowdowns = [e.slowdown for e in reporting if e.slowdown]
        mean_slowdown = sum(known_slowdowns) / len(known_slowdowns) if known_slowdowns else 1.0
        for entry in ready:
            requests, failing = mean_requests, 0.0
            if entry.reported_at is not None:
                age_us = now - entry.reported_at + 1
                weight = 1.0 if age_us <= FRESH_REPORT_US else FRESH_REPORT_US / age_us
                requests += weight * (entry.reported_requests - mean_requests)
                if entry.failure_rate:
                    weight = 1.0 if age_us <= FRESH_FAILURE_RATE_US else FRESH_FAILURE_RATE_US / age_us
                    failing = FAILING_LOAD * entry.failure_rate * weight
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
            taken = (requests + len(entry.unreported_attempts) + random()) / (slots if slots > 1 else 1)
            entry.score = (OWN_REQUEST_LOAD + taken) * slowdown + failing
