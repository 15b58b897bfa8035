"""Servers that have just started, among many balancers."""

from __future__ import annotations

from lilacsill.balancing.interface import (
    Backend,
    Outcome,
    Send,
)
from lilacsill.balancing.logic.warm_up_budget import FLEET_SHARE
from tests.balancing.helpers import MS, SECOND, Drive, only


class Cold:
    """Forty balancers, at a rate each, beside 24 warm servers that hold five and 36 that have just started.

    `part` went to the cold ones, and at most `worst` to one of them in 3 s, of what it surely can do.
    """

    PACE = 20 * MS

    def __init__(self, per_s: float, outcome: Outcome, siblings: int = 40, new: int = 36) -> None:
        names = [f"new{i}" for i in range(new)]
        agents = []
        for seed in range(siblings):
            d = Drive(
                servers=24,
                seed=seed,
                balancer_count=siblings,
                warm_up_start_fraction=0.13,
                warm_up_us=24 * SECOND,
                overload_multiple=2.5,
                report_fields=("inflight",),
            )
            d.serve(30, self.PACE)
            agents.append(d)
        start = agents[0].now
        for d in agents:
            d.list(*(Backend(n, started_at=start) for n in names))
        self.sent: dict[str, list[int]] = {n: [] for n in names}
        step = int(SECOND / per_s)
        for turn in range(int(6 * per_s)):
            for d in agents:
                d.now = start + turn * step
                sends = only(d.request()[1] + d.wait(0), Send)
                for a in sends:
                    if a.backend in self.sent:
                        self.sent[str(a.backend)].append(d.now - start)
                    new_one = a.backend in self.sent
                    held = 1.0 if new_one else 6.0
                    warmth = self.able((d.now - start) / SECOND) * self.PACE / SECOND if new_one else 1.0
                    sends += only(
                        d.end(
                            a,
                            Outcome.OK if new_one else outcome,
                            int(held * self.PACE / warmth),
                            report=(held,),
                        ),
                        Send,
                    )
        self.total = sum(map(len, self.sent.values()))
        self.part = self.total / (new * sum(self.able(t / 10) for t in range(60)) / 10)
        self.worst = max(
            sum(t - 3 * SECOND < x <= t for x in times) / (3 * self.able(t / SECOND))
            for times in self.sent.values()
            for t in times or [0]
        )

    def able(self, s: float) -> float:
        """Requests a second, so long after its start."""
        return (0.13 + 0.87 * s / 24) * SECOND / self.PACE


def test_many_cold_servers_get_what_they_can_bear_and_no_more() -> None:
    # join+vast: six in ten were new and idle while the rest drowned. A part of what was served went to them,
    # and little was served because they did nothing.
    for outcome in (Outcome.OK, Outcome.REJECTED):
        fleet = Cold(per_s=40, outcome=outcome)
        assert 0.7 <= fleet.part <= FLEET_SHARE * 2.5  # of what they surely can do; 2.5 pushes them over
        assert fleet.worst < 2.5


def test_quiet_balancers_use_cold_servers_too() -> None:
    # ibarra big-2: with whole credits, earned at 1/n a request, no quiet balancer ever sent to a cold server.
    fleet = Cold(per_s=2, outcome=Outcome.OK)
    assert fleet.total >= 0.05 * 12 * 40 and fleet.worst < 2.5


def test_a_held_request_does_not_draw_until_a_cold_server_takes_it() -> None:
    sent = 0
    for seed in range(100):
        d = Drive(servers=0, seed=seed, warm_up_start_fraction=0.1, warm_up_us=1000 * SECOND, overload_multiple=4.0)
        d.list(Backend("new", started_at=d.now))
        sent += len(only(d.request()[1] + d.wait(SECOND), Send))
    assert 3 <= sent <= 40  # a new draw every 20 ms would come to nearly all of them


def test_an_overloaded_fleet_does_not_push_a_cold_server_over() -> None:
    # bajio overload: three times the traffic it could serve came back as retries, and the cold server was the
    # only one that looked light: it was sent 6.8 times what it could do.
    fleet = Cold(per_s=200, outcome=Outcome.TIMEOUT, new=1)
    assert fleet.worst < 2.5
