"""Action streams of the decision module over seeded event scripts, as digests: what a refactoring must keep.

    python -m tests.balancing.oracle record FILE     digests of the streams as they are
    python -m tests.balancing.oracle compare FILE    the seeds whose streams differ from FILE; status 1 if there are any

A script is drawn from its seed alone: settings of every kind, a fleet, requests, and an end for each attempt
and probe. The digest covers every action with its time, so that two modules that agree on it drew the same
random numbers in the same order.
"""

from __future__ import annotations

import json
import sys
from hashlib import sha256
from heapq import heappop, heappush
from pathlib import Path
from random import Random

from lilacsill.balancing.interface import (
    AttemptEnded,
    Backend,
    BackendState,
    BackendsChanged,
    ClientDisconnected,
    DedupScope,
    DiscoveryMode,
    Event,
    Idempotency,
    ListKind,
    Outcome,
    PeerMessageReceived,
    Prices,
    Probe,
    ProbeEnded,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Tenant,
    TimerFired,
    Watch,
)
from lilacsill.balancing.logic import Balancer

SEEDS = 300
MS, SECOND = 1_000, 1_000_000
ENDS = [o for o in Outcome if o is not Outcome.OK]


def draw_settings(rng: Random) -> Settings:
    def cls(name: str) -> RequestClass:
        aim = rng.choice((80, 300, 1000)) * MS
        return RequestClass(
            name,
            aim,
            aim * rng.choice((1, 3)),
            rng.choice(list(Idempotency)),
            rng.choice(list(DedupScope)),
            rng.choice((0, SECOND, 15 * SECOND)),
            rng.choice((1.0, 10.0)),
            rng.choice((0.0, 0.0, 0.5)),
            rng.choice((0.0, 0.0, 2.0)),
        )

    siblings = rng.choice((1, 2, 20, 100))
    return Settings(
        classes=(cls("a"), cls("b")),
        tenants=(Tenant("t", rng.choice((0.0, 50.0))), Tenant("u", 20.0)),
        balancer_count=siblings,
        balancer_index=rng.randrange(siblings),
        can_message_peers=rng.random() < 0.3,
        can_probe=rng.random() < 0.7,
        report_fields=rng.choice(((), ("inflight", "queue", "util"), ("queue", "latency_ms"))),
        discovery=rng.choice(list(DiscoveryMode)),
        can_cancel=rng.random() < 0.7,
        can_hedge=rng.random() < 0.4,
        max_attempts=rng.choice((1, 5)),
        can_advise_retry=rng.random() < 0.5,
        answer_grace_us=rng.choice((0, 50 * MS)),
        capacity_hints=rng.random() < 0.3,
        warm_up_start_fraction=0.13,
        warm_up_us=24 * SECOND,
        overload_multiple=2.5,
        prices=Prices(probe=rng.choice((0.0, 0.002, 0.5)), peer=rng.choice((0.0, 0.01))),
    )


class Script:
    """One seed's world: it answers what the module does, at times of its own."""

    def __init__(self, seed: int, steps: int = 400) -> None:
        self.rng = Random(f"oracle {seed}")
        self.settings = draw_settings(self.rng)
        self.balancer = Balancer(self.settings, seed)
        self.now, self.steps, self.order, self.requests = SECOND, steps, 0, 0
        self.due: list[tuple[int, int, Event]] = []
        self.attempts: dict[int, int] = {}
        self.over: set[int] = set()
        self.digest = sha256()
        self.servers = [self._server(i) for i in range(self.rng.choice((1, 4, 12, 60)))]
        self.rough = self.rng.choice((0.02, 0.2, 0.7))
        self.pace = self.rng.choice((5, 40)) * MS

    def _server(self, i: int) -> Backend:
        rng = self.rng
        started = rng.choice((0, 0, self.now))
        return Backend(
            f"s{i}",
            zone=rng.randrange(2),
            cell=rng.randrange(3),
            capacity_hint=rng.choice((1.0, 2.0)),
            started_at=started,
        )

    def _at(self, after: int, event: Event) -> None:
        self.order += 1
        heappush(self.due, (self.now + after, self.order, event))

    def _report(self) -> tuple[float, ...]:
        fields = self.settings.report_fields if self.rng.random() < 0.8 else ()
        return tuple(self.rng.uniform(0, 9) for _ in fields)

    def play(self) -> str:
        self._give(BackendsChanged(ListKind.CACHED, list(self.servers)))
        for _ in range(self.steps):
            if self.due and self.rng.random() < 0.7:
                self.now, _, event = heappop(self.due)
                self._give(event)
            else:
                self.now = min(
                    self.now + int(self.rng.expovariate(1 / self.pace)),
                    self.due[0][0] if self.due else self.now + SECOND,
                )
                self._give(self._happens())
        return self.digest.hexdigest()[:16]

    def _happens(self) -> Event:
        rng = self.rng
        kind = rng.random()
        if kind < 0.9:
            self.requests += 1
            cls = rng.randrange(2)
            return RequestArrived(
                self.requests,
                cls,
                self.settings.classes[cls].deadline_us,
                rng.randrange(2),
                cost_hint_us=rng.choice((0, 0, 10 * MS, 90 * MS)),
                is_retry=rng.random() < 0.1,
            )
        if kind < 0.93 and self.requests:
            self.over.add(gone := rng.randint(1, self.requests))
            return ClientDisconnected(gone)
        if kind < 0.95:
            return PeerMessageReceived(0, rng.randbytes(rng.choice((0, 8))))
        if kind < 0.96:
            return BackendsChanged(ListKind.FAILED, [])
        i = rng.randrange(len(self.servers))
        self.servers[i] = (
            self._server(i)
            if rng.random() < 0.5
            else Backend(self.servers[i].id, rng.choice(list(BackendState)), self.servers[i].zone)
        )
        whole = rng.random() < 0.5
        return BackendsChanged(
            ListKind.FULL if whole else ListKind.DELTA, list(self.servers) if whole else [self.servers[i]]
        )

    def _give(self, event: Event) -> None:
        actions = self.balancer.handle(self.now, event)
        self.digest.update(f"{self.now} {actions!r}\n".encode())
        rng = self.rng
        for a in actions:
            if isinstance(a, SetTimer):
                self._at(a.delay_us, TimerFired(a.token))
            elif isinstance(a, Probe):
                took = rng.choice((1, 3, 60)) * MS
                fine = rng.random() > self.rough
                self._at(
                    took,
                    ProbeEnded(
                        a.backend,
                        Outcome.OK if fine else rng.choice(ENDS),
                        took,
                        self._report() if fine else (),
                    ),
                )
            elif isinstance(a, Send):
                n = self.attempts[a.request] = self.attempts.get(a.request, -1) + 1
                outcome = Outcome.OK if rng.random() > self.rough else rng.choice(ENDS)
                took = (
                    a.timeout_us
                    if outcome is Outcome.TIMEOUT
                    else min(a.timeout_us, int(rng.expovariate(1 / (20 * MS))))
                )
                done = outcome is Outcome.OK and a.request not in self.over
                self._at(took, AttemptEnded(a.request, n, a.backend, outcome, took, done, self._report()))
                if outcome is Outcome.OK and rng.random() < 0.05:
                    self._at(took // 2, StreamStarted(a.request, n))
            elif isinstance(a, Watch):
                self._at(rng.choice((10, 900)) * MS, BackendsChanged(ListKind.DELTA, []))


def digests(seeds: int = SEEDS) -> dict[str, str]:
    return {str(seed): Script(seed).play() for seed in range(seeds)}


def main(argv: list[str]) -> int:
    if len(argv) != 2 or argv[0] not in ("record", "compare"):
        print(__doc__, file=sys.stderr)
        return 2
    path, found = Path(argv[1]), digests()
    if argv[0] == "record":
        path.write_text(json.dumps(found, indent=0) + "\n")
        print(f"{len(found)} streams recorded in {path}")
        return 0
    before = json.loads(path.read_text())
    differ = [seed for seed in found if before.get(seed) != found[seed]]
    named = f": seeds {', '.join(differ[:20])}" if differ else ""
    print(f"{len(differ)} of {len(found)} streams differ{named}")
    return 1 if differ else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
