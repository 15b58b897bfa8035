"""Backend health as reported by agents, and the verdicts that follow. No I/O; the caller passes the time in.

A report holds what one agent, the witness, has observed, when, and until when the report counts. An agent that receives
one samples the backend less often, and the sampled requests decide. Only reports of several independent witnesses eject
a backend, and never more than a fixed share of all backends. A witness that reports more than that share as unhealthy
has a problem with its own links, and none of its reports count. The agent's own later observations, and discovery, take
precedence.

A witness detects unhealthy backends one after the other, so when they become too many it has already reported the first
ones: it withdraws all its reports with one record. A report that enough witnesses have already made is not sent or
forwarded, since a zone that loses its backends would otherwise fill every datagram.

Only the witness renews its report, with a renewal number, and each renewal is accepted once: on slow links every hop
makes a report look younger than it is, so a report that expired only by age could circulate forever.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2s

from .records import Cause, Health, HealthReport

EJECTION_WITNESSES = 3  # needed to eject a backend on reports alone
MAX_EJECTED_SHARE = 0.2  # of all backends: that may be ejected, and that one witness may report as unhealthy
MAX_CLAIMS_PER_WITNESS = 32  # the newest are kept; a witness with more is itself isolated
MAX_REPORT_AGE_MS = 30_000  # older reports are ignored; longer remaining times are cut to this
SUFFICIENT_WITNESSES = 2 * EJECTION_WITNESSES  # with so many others, a report is neither sent nor forwarded
ALL_BACKENDS = 0  # in place of a backend's tag: all backends that the witness has reported so far
NEVER_US = 2**62  # a time in microseconds that is never reached


def backend_tag(backend: str) -> int:
    """Return the tag of a backend, its number in records: a hash of its id."""
    return int.from_bytes(blake2s(backend.encode(), digest_size=8).digest(), "big") >> 1


@dataclass(slots=True, frozen=True)
class Claim:
    """A report with its times converted to this process's clock, in microseconds."""

    backend: int
    health: Health
    witness: int
    incarnation: int
    renewal: int
    observed_at: int  # too late by the transit time of the datagram
    until: int
    cause: Cause

    def record(self, now: int) -> HealthReport:
        """Return the claim as a record, with its times relative to `now`."""
        return HealthReport(
            self.backend,
            self.health,
            self.witness,
            self.incarnation,
            self.renewal,
            max(0, now - self.observed_at) // 1000,
            max(0, self.until - now) // 1000,
            self.cause,
        )


@dataclass(slots=True, frozen=True)
class PeerVerdict:
    """The result of all claims on one backend."""

    backend: str
    health: Health
    ejected: bool  # else the backend is only sampled less often
    until: int
    observed_at: int
    witnesses: tuple[tuple[int, Cause], ...]


class PeerHealth:
    """The claims of all witnesses, this process included."""

    def __init__(self, own_number: int) -> None:
        self.own_number = own_number
        self._names: dict[int, str] = {}  # names of the backends in this process's own list, by tag
        self._tags: dict[str, int] = {}
        self._started_at: dict[str, int] = {}
        self._answered_at: dict[int, int] = {}  # time of the last answer of a backend to this process, by tag
        self._claims: dict[int, dict[int, Claim]] = {}  # of other agents, by witness and tag
        self._own_claims: dict[int, Claim] = {}  # by tag
        self._verdicts: list[PeerVerdict] = []  # as last computed
        self._verdicts_until = 0  # end of the validity of `_verdicts`; 0: they have to be computed again
        self._claimed: set[int] = set()  # tags of the backends with claims when the verdicts were computed

    def name_of(self, tag: int) -> str:
        """Return the name of a backend, or its tag if it is not in this process's list."""
        return self._names.get(tag, f"#{tag:x}")

    # Own observations

    def set_backends(self, started_at: dict[str, int], now: int) -> None:
        """Set the listed backends and their start times; earlier claims on a restarted backend do not count."""
        for name, at in started_at.items():
            if self._started_at.get(name, at) != at:
                self._answered_at[backend_tag(name)] = now
        self._started_at = dict(started_at)
        self._tags = {name: backend_tag(name) for name in started_at}  # cached, since each answer needs a tag
        self._names = {tag: name for name, tag in self._tags.items()}
        self._answered_at = {tag: at for tag, at in self._answered_at.items() if tag in self._names}
        self._own_claims = {tag: claim for tag, claim in self._own_claims.items() if tag in self._names}
        self._verdicts_until = 0

    def backend_answered(self, backend: str, now: int) -> None:
        """Record an answer of a backend to this process, which overrides earlier claims."""
        tag = self._tags.get(backend)
        if tag is not None:
            self._answered_at[tag] = now
            if tag in self._claimed:
                self._verdicts_until = 0

    def update_own_claims(
        self, unhealthy: set[str], now: int, lifetime_us: int, incarnation: int, is_isolated: bool, cause: Cause
    ) -> list[Claim]:
        """Set the backends that this process finds unhealthy, and return the claims to report.

        A process that is isolated, or finds too many backends unhealthy, withdraws its claims: the fault is its own, or
        one that others share.

        Args:
            unhealthy: All backends that this process finds unhealthy now.
            now: The time in microseconds.
            lifetime_us: How long a claim counts unless it is renewed, in microseconds.
            incarnation: The incarnation of this process.
            is_isolated: Whether this process receives no datagrams.
            cause: The id of the cause for new claims.
        """
        tags = {backend_tag(name) for name in unhealthy} & self._names.keys()
        until = now + lifetime_us
        if is_isolated or len(tags) > self._max_ejected():
            if not self._own_claims:
                return []
            self._own_claims.clear()
            return [Claim(ALL_BACKENDS, Health.HEALTHY, self.own_number, incarnation, 0, now, until, cause)]
        reports: list[Claim] = []
        for tag in tags:
            claim = self._own_claims.get(tag)
            if claim is not None and claim.until - now >= lifetime_us // 2:
                continue
            claim_cause, renewal = (cause, 0) if claim is None else (claim.cause, claim.renewal + 1)
            claim = Claim(tag, Health.UNHEALTHY, self.own_number, incarnation, renewal, now, until, claim_cause)
            self._own_claims[tag] = claim
            if self._other_witnesses(tag, now) < SUFFICIENT_WITNESSES:
                reports.append(claim)
        return reports + self._withdraw_claims(tags, now, until, incarnation)

    def _withdraw_claims(self, unhealthy: set[int], now: int, until: int, incarnation: int) -> list[Claim]:
        withdrawals: list[Claim] = []
        for tag in [tag for tag in self._own_claims if tag not in unhealthy]:
            claim = self._own_claims[tag]
            if self._answered_at.get(tag, 0) <= claim.observed_at:
                # The backend is being tried again and has not answered yet, so the claim is not withdrawn.
                if claim.until <= now:
                    del self._own_claims[tag]
                continue
            del self._own_claims[tag]
            withdrawals.append(
                Claim(tag, Health.HEALTHY, self.own_number, incarnation, claim.renewal + 1, now, until, claim.cause)
            )
        return withdrawals

    @property
    def own_claims(self) -> int:
        """The number of backends that this process claims to be unhealthy."""
        return len(self._own_claims)

    # Claims of others

    def on_report(self, report: HealthReport, now: int) -> Claim | None:
        """Process a report; return its claim if it is newer than the previous one of its witness, else None."""
        if report.witness == self.own_number or report.age_ms > MAX_REPORT_AGE_MS:
            return None
        claim = Claim(
            report.backend,
            report.health,
            report.witness,
            report.incarnation,
            report.renewal,
            now - report.age_ms * 1000,
            now + min(report.remaining_ms, MAX_REPORT_AGE_MS) * 1000,
            report.cause,
        )
        claims = self._claims.setdefault(report.witness, {})
        previous, withdrawal = claims.get(report.backend), claims.get(ALL_BACKENDS)
        if previous is not None and _order(claim) <= _order(previous):
            return None
        if withdrawal is not None and _order(claim)[:2] < _order(withdrawal)[:2]:
            return None
        if report.backend == ALL_BACKENDS:
            claims.clear()
        self._verdicts_until = 0
        claims.pop(report.backend, None)
        claims[report.backend] = claim
        if len(claims) > MAX_CLAIMS_PER_WITNESS:
            del claims[next(iter(claims))]
        return claim

    def should_spread(self, claim: Claim, now: int) -> bool:
        """Return whether a claim of another agent is to be forwarded."""
        is_withdrawal = claim.health is Health.HEALTHY
        return is_withdrawal or self._other_witnesses(claim.backend, now) <= SUFFICIENT_WITNESSES

    def _other_witnesses(self, tag: int, now: int) -> int:
        return sum(
            tag in claims and claims[tag].health is not Health.HEALTHY and claims[tag].until > now
            for claims in self._claims.values()
        )

    def forget_witness(self, witness: int) -> None:
        """Drop the claims of a witness that has ended or is dead, since it cannot withdraw them."""
        self._claims.pop(witness, None)
        self._verdicts_until = 0

    # Verdicts

    def _max_ejected(self) -> int:
        return max(1, int(MAX_EJECTED_SHARE * len(self._names)))

    def verdicts(self, now: int) -> list[PeerVerdict]:
        """Return the verdicts on backends of the own list, those with the most witnesses first."""
        if now < self._verdicts_until:
            return self._verdicts
        self._drop_expired(now)
        claims_by_tag = self._countable_claims()
        max_ejected = self._max_ejected()
        ejectable = max_ejected
        verdicts: list[PeerVerdict] = []
        ordered = sorted(claims_by_tag.items(), key=lambda item: (-len(item[1]), item[0]))
        # Bounded, too: several wrong witnesses must not cause most backends to be sampled less often.
        for tag, claims in ordered[: 2 * max_ejected]:
            ejected = len(claims) >= EJECTION_WITNESSES and ejectable > 0
            ejectable -= ejected
            verdicts.append(self._verdict(tag, claims, ejected))
        self._verdicts = verdicts
        self._verdicts_until = min((claim.until for claim in self._all_claims()), default=NEVER_US)
        self._claimed = {claim.backend for claim in self._all_claims()}
        return verdicts

    def _drop_expired(self, now: int) -> None:
        for witness, claims in list(self._claims.items()):
            for tag in [tag for tag, claim in claims.items() if claim.until <= now]:
                del claims[tag]
            if not claims:
                del self._claims[witness]

    def _countable_claims(self) -> dict[int, list[Claim]]:
        """Return the claims that count, by backend tag."""
        claims_by_tag: dict[int, list[Claim]] = {}
        for claims in self._claims.values():
            unhealthy = [
                claim
                for claim in claims.values()
                if claim.health is not Health.HEALTHY and claim.backend in self._names
            ]
            if len(unhealthy) > self._max_ejected():
                continue
            for claim in unhealthy:
                if claim.observed_at >= self._answered_at.get(claim.backend, 0):
                    claims_by_tag.setdefault(claim.backend, []).append(claim)
        return claims_by_tag

    def _verdict(self, tag: int, claims: list[Claim], ejected: bool) -> PeerVerdict:
        ends = sorted((claim.until for claim in claims), reverse=True)
        return PeerVerdict(
            self._names[tag],
            max(claim.health for claim in claims),
            ejected,
            ends[EJECTION_WITNESSES - 1] if ejected else ends[0],
            max(claim.observed_at for claim in claims),
            tuple((claim.witness, claim.cause) for claim in claims),
        )

    def _all_claims(self) -> Iterable[Claim]:
        return (claim for claims in self._claims.values() for claim in claims.values())

    @property
    def peer_claims(self) -> int:
        """The number of claims of other agents."""
        return sum(map(len, self._claims.values()))


def _order(claim: Claim) -> tuple[int, int, int]:
    """Return the sort key of the claims of one witness on one backend, oldest first."""
    return claim.incarnation, claim.cause[1], claim.renewal
