"""What others say of backends, how many siblings there are, and what of both reaches the agent's module."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.agent.peers.fleet_size import AGREEMENT_US, FleetSize
from lilacsill.agent.peers.peer_health import (
    ALL_BACKENDS,
    EJECTION_WITNESSES,
    MAX_REPORT_AGE_MS,
    MAX_CLAIMS_PER_WITNESS,
    MAX_EJECTED_SHARE,
    SUFFICIENT_WITNESSES,
    PeerHealth,
    backend_tag,
)
from lilacsill.agent.peers.records import Health, HealthReport
from lilacsill.balancing.interface import FleetChanged, Outcome, PeerHealthChanged, Send
from tests.balancing.helpers import MS, SECOND, Drive, only

NAMES = [f"s{i}" for i in range(20)]


def room() -> PeerHealth:
    j = PeerHealth(0)
    j.set_backends(dict.fromkeys(NAMES, 1), 0)
    return j


def claim(
    witness: int,
    name: str,
    round_: int = 0,
    verdict: Health = Health.UNHEALTHY,
    age_ms: int = 0,
    left_ms: int = 4000,
    life: int = 1,
) -> HealthReport:
    return HealthReport(backend_tag(name), verdict, witness, life, round_, age_ms, left_ms, (witness, 1))


def test_one_witness_lowers_the_weight_and_three_eject() -> None:
    j = room()
    for witness in range(1, EJECTION_WITNESSES + 1):
        assert j.on_report(claim(witness, "s3"), 1000) is not None
        [h] = j.verdicts(1000)
        assert h.backend == "s3" and h.ejected is (witness == EJECTION_WITNESSES)


def test_the_same_witness_thrice_is_one() -> None:
    j = room()
    for round_ in range(3):
        j.on_report(claim(1, "s3", round_), 1000)
    assert not j.verdicts(1000)[0].ejected and j.on_report(claim(1, "s3", 1), 1000) is None


def test_a_witness_that_condemns_all_backends_does_not_count() -> None:
    j = room()
    for name in NAMES:
        j.on_report(claim(1, name), 1000)
    assert not j.verdicts(1000)


@given(st.integers(0, 2**32))
def test_false_witnesses_eject_a_share_at_most(seed: int) -> None:
    rng, j = Random(seed), room()
    for i in range(300):
        j.on_report(
            claim(
                rng.randrange(1, 6),
                rng.choice([*NAMES, "unknown"]),
                i,
                rng.choice(list(Health)),
                rng.randrange(0, 2 * MAX_REPORT_AGE_MS),
                rng.randrange(0, 10**6),
            ),
            1000,
        )
        said = j.verdicts(1000)
        assert sum(h.ejected for h in said) <= MAX_EJECTED_SHARE * len(NAMES)
        assert len(said) <= 2 * MAX_EJECTED_SHARE * len(NAMES) and {h.backend for h in said} <= set(NAMES)
    assert j.peer_claims <= 5 * MAX_CLAIMS_PER_WITNESS


def test_claims_older_than_an_own_answer_do_not_count_and_withdrawn_ones_end() -> None:
    j = room()
    j.backend_answered("s3", 1_000_000)
    j.on_report(claim(1, "s3", age_ms=500), 1_200_000)
    assert not j.verdicts(1_200_000)
    j.on_report(claim(1, "s3", 1), 1_300_000)
    assert j.verdicts(1_300_000)
    j.on_report(claim(1, "s3", 2, Health.HEALTHY), 1_400_000)
    assert not j.verdicts(1_400_000)


def test_a_claim_ends_with_its_time_its_witness_and_the_backends_process() -> None:
    for end in range(3):
        j = room()
        j.on_report(claim(1, "s3", left_ms=1000), 1000)
        assert j.verdicts(1000)
        now = 1000
        if end == 0:
            now += 1_000_000
        elif end == 1:
            j.forget_witness(1)
        else:
            j.set_backends({**dict.fromkeys(NAMES, 1), "s3": 2}, now + 1)
        assert not j.verdicts(now)


def test_an_isolated_witness_or_one_with_too_many_claims_reports_nothing() -> None:
    for ill, cut_off, told in (({"s1"}, False, 1), ({"s1"}, True, 0), (set(NAMES[:5]), False, 0)):
        assert len(room().update_own_claims(ill, 1000, 4_000_000, 1, cut_off, (0, 1))) == told


def test_a_witness_that_finds_too_many_unhealthy_withdraws_its_reports() -> None:
    """A zone cut off from its backends finds them one by one; each agent there had condemned the first few for all."""
    teller, hearer = room(), room()
    teller.own_number = 7
    names, told = NAMES[:5], []
    for n in range(1, len(names) + 1):  # four of twenty are believed, a fifth is not
        for c in teller.update_own_claims(set(names[:n]), 1000 * n, 4_000_000, 1, False, (0, n)):
            told.append(c.record(1000 * n))
            hearer.on_report(told[-1], 1000 * n)
        assert len(hearer.verdicts(1000 * n)) == (n if n < len(names) else 0)
    assert told[-1].backend == ALL_BACKENDS and not teller.own_claims
    for late in told[:-1]:  # on slow links the earlier words come after it
        assert hearer.on_report(late, 6000) is None
    assert not hearer.verdicts(6000)
    assert not teller.update_own_claims(set(names), 7000, 4_000_000, 1, False, (0, 7))  # said once
    [again] = teller.update_own_claims({"s9"}, 8000, 4_000_000, 1, False, (0, 8))
    assert hearer.on_report(again.record(8000), 8000) is not None and hearer.verdicts(8000)[0].backend == "s9"


def test_a_claim_with_enough_witnesses_is_neither_reported_nor_spread() -> None:
    j = room()
    for witness in range(1, SUFFICIENT_WITNESSES + 1):
        c = j.on_report(claim(witness, "s1", left_ms=1000), 1000)
        assert c is not None and j.should_spread(c, 1000)
    assert not j.update_own_claims({"s1"}, 1000, 4_000_000, 1, False, (0, 1))
    c = j.on_report(claim(SUFFICIENT_WITNESSES + 1, "s1"), 1000)
    assert c is not None and not j.should_spread(c, 1000)
    well = j.on_report(claim(1, "s1", 1, Health.HEALTHY), 1000)
    assert well is not None and j.should_spread(well, 1000)
    assert len(j.update_own_claims({"s1"}, 2_500_000, 4_000_000, 1, False, (0, 2))) == 1  # theirs have ended


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(1, 4), st.integers(0, 5), st.integers(0, 400_000)),
        max_size=60,
    )
)
def test_cached_verdicts_equal_computed_ones(
    steps: list[tuple[int, int, int, int]],
) -> None:
    j, now = room(), 1000
    for i, (what, witness, n, passes) in enumerate(steps):
        now += passes
        name = f"s{n}"
        if what < 2:
            j.on_report(claim(witness, name, i, Health.UNHEALTHY if what else Health.HEALTHY, left_ms=500), now)
        elif what == 2:
            j.backend_answered(name, now)
        elif what == 3:
            j.forget_witness(witness)
        else:
            j.set_backends({**dict.fromkeys(NAMES[: 1 + n], 1), "s0": i}, now)
        remembered = j.verdicts(now)
        j._verdicts_until = 0
        assert remembered == j.verdicts(now)


def test_a_claim_is_renewed_by_its_witness_before_it_ends() -> None:
    j = room()
    [first] = j.update_own_claims({"s1"}, 0, 4_000_000, 1, False, (0, 1))
    assert not j.update_own_claims({"s1"}, 1_000_000, 4_000_000, 1, False, (0, 2))
    [second] = j.update_own_claims({"s1"}, 2_500_000, 4_000_000, 1, False, (0, 3))
    assert (second.renewal, second.cause) == (first.renewal + 1, first.cause)
    # Let in again for a trial it has answered nothing: the word stands.
    assert not j.update_own_claims(set(), 2_800_000, 4_000_000, 1, False, (0, 4)) and j.own_claims == 1
    j.backend_answered("s1", 2_900_000)
    [well] = j.update_own_claims(set(), 3_000_000, 4_000_000, 1, False, (0, 4))
    assert not j.own_claims
    assert well.health is Health.HEALTHY and well.renewal > second.renewal


# FleetSize


def test_a_greater_fleet_size_counts_at_once_and_a_smaller_one_later_by_half() -> None:
    s = FleetSize(configured=4, listed=40)
    assert s.number == 40
    s = FleetSize(configured=40, listed=4)
    assert s.number == 40
    now, heard = 1, [(1, 4)] * 3
    s.update(now, heard)
    seen = [s.number]
    while s.number > 4:
        now += AGREEMENT_US // 2
        heard = [(now, 4)] * 3
        s.update(now, heard)
        seen.append(s.number)
    assert seen == sorted(seen, reverse=True) and 20 in seen and now >= 4 * AGREEMENT_US


def test_the_fleet_size_stays_while_a_member_is_unheard_or_lists_differ() -> None:
    for odd in ((0, 4), (1, 5)):
        s = FleetSize(configured=40, listed=4)
        for i in range(1, 20):
            s.update(
                i * AGREEMENT_US, [(i * AGREEMENT_US, 4), (i * AGREEMENT_US, 4), (odd[0] and i * AGREEMENT_US, odd[1])]
            )
        assert s.number == 40


# The module


def test_a_backend_ejected_by_peers_gets_nothing_until_it_answers_here_or_the_claims_end() -> None:
    d = Drive(servers=8)
    d.serve(60)
    victim = next(iter(d.balancer.members.backends))
    seen = d.now + 1
    d.wait(MS)
    d.event(PeerHealthChanged(victim, True, seen, d.now + 2 * SECOND))

    def sent(requests: int) -> set[object]:
        found: set[object] = set()
        for _ in range(requests):
            for s in only(d.request()[1], Send):
                found.add(s.backend)
                d.end(s, Outcome.OK)
        return found

    assert victim not in sent(100)
    d.wait(3 * SECOND)
    assert victim in sent(200)


def test_one_witness_leaves_half_of_the_chances() -> None:
    share: dict[bool, int] = {}
    for said in (False, True):
        d = Drive(servers=4)
        d.serve(60)
        victim = next(iter(d.balancer.members.backends))
        d.wait(MS)
        got = 0
        for _ in range(400):
            if said:
                d.event(PeerHealthChanged(victim, False, d.now + 1, d.now + SECOND))
            for s in only(d.request()[1], Send):
                got += s.backend == victim
                d.end(s, Outcome.OK)
        share[said] = got
    assert 0 < share[True] < 0.75 * share[False]


def test_a_part_of_nothing_sends_nothing_cold_and_its_end_is_its_own() -> None:
    for cold_part, then, expected in ((0.0, 0.0, 0), (0.0, 1.0, 1), (1.0, 1.0, 1)):
        d = Drive(servers=4)
        cold = d.balancer.sampler.warm_up
        cold.fleet_rate, cold.credit, cold.credited_at = 1e-6, 0.0, d.now
        d.event(FleetChanged(4, cold_part, d.now + SECOND, then))
        assert cold._credit_at(d.now + 3 * SECOND) == expected


def test_a_claim_that_is_not_renewed_ends_by_itself() -> None:
    j = room()
    j.update_own_claims({"s1"}, 0, 4_000_000, 1, False, (0, 1))
    assert not j.update_own_claims(set(), 4_000_000, 4_000_000, 1, False, (0, 2)) and not j.own_claims


def test_after_a_claim_of_a_peer_one_own_failure_ejects() -> None:
    for said in (False, True):
        d = Drive(servers=8)
        d.serve(60)
        send = only(d.request()[1], Send)[0]
        if said:
            d.event(PeerHealthChanged(send.backend, False, d.now + 1, d.now + SECOND))
        d.end(send, Outcome.ERROR)
        assert (d.balancer.members.backends[send.backend].ejected_until > d.now) is said
