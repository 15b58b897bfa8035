"""Affinity: two uniform samples by key, the same at every balancer; a change of the list moves few keys."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import Backend, Outcome, RequestArrived, Send
from lilacsill.balancing.logic.affinity import BACKENDS_PER_KEY, MAX_KEYS, AffinityMap
from lilacsill.balancing.logic.records import BackendRecord
from tests.balancing.helpers import MS, SECOND, Drive, only

ids = st.lists(st.text("0123456789abcdef", min_size=4, max_size=12), min_size=1, max_size=40, unique=True)
keys = st.integers(1, 2**64 - 1)


def homes(names: list[str]) -> AffinityMap:
    found = AffinityMap()
    found.set_backends([BackendRecord(Backend(n), 0) for n in names])
    return found


def names(found: AffinityMap, key: int) -> list[str]:
    return [str(s.id) for s in found.backends_for(key)]


@given(ids, keys, st.randoms(use_true_random=False))
def test_every_balancer_finds_the_same_homes(known: list[str], key: int, rng: Random) -> None:
    shuffled = list(known)
    rng.shuffle(shuffled)
    found = names(homes(known), key)
    assert found == names(homes(shuffled), key)
    assert len(found) == len(set(found)) == min(BACKENDS_PER_KEY, len(known))


@given(ids.filter(lambda known: len(known) > 1), keys, st.data())
def test_who_leaves_moves_only_its_own_keys(known: list[str], key: int, data: st.DataObject) -> None:
    gone = data.draw(st.sampled_from(known))
    before, after = names(homes(known), key), names(homes([n for n in known if n != gone]), key)
    kept = [n for n in before if n != gone]
    assert after[: len(kept)] == kept


def test_over_many_keys_each_server_is_each_sample_equally_often() -> None:
    found = homes([f"s-{i:08x}" for i in range(20)])
    for place in range(2):
        counts = Counter(names(found, key * 2654435761 + 1)[place] for key in range(20_000))
        assert min(counts.values()) > 850 and max(counts.values()) < 1150  # 1000 each; 4.9 deviations


def test_no_key_has_no_home_and_what_is_remembered_is_bounded() -> None:
    found = homes(["a", "b", "c", "d"])
    assert found.backends_for(0) == ()
    first = found.backends_for(1)
    for key in range(1, 2 * MAX_KEYS):
        found.backends_for(key)
    assert len(found._by_key) == MAX_KEYS and found.backends_for(1) == first


def keyed_send(d: Drive, key: int) -> Send:
    d.requests += 1
    (send,) = only(d.event(RequestArrived(d.requests, 0, SECOND, 0, key)), Send)
    return send


def test_requests_for_one_key_go_to_its_homes_and_others_spread() -> None:
    d = Drive(servers=12, balancer_count=3)
    d.serve(60)
    for key, bound in ((77, 2), (0, 12)):
        used = Counter()  # type: Counter[object]
        for _ in range(120):
            send = keyed_send(d, key)
            used[send.backend] += 1
            d.wait(20 * MS)
            d.end(send, Outcome.OK)
        assert len(used) == bound if key else len(used) > 8


def test_a_home_that_is_excluded_is_stood_in_for() -> None:
    d = Drive(servers=12, balancer_count=3)
    d.serve(60)
    send = keyed_send(d, 77)
    d.end(send, Outcome.CONNECT_FAILED)  # excluded at once
    for _ in range(20):
        again = keyed_send(d, 77)
        assert again.backend != send.backend
        d.wait(5 * MS)
        d.end(again, Outcome.OK)


def test_a_fleet_that_slows_down_is_believed_slow_before_its_answers_come() -> None:
    d = Drive(servers=2, balancer_count=1)
    d.serve(80)
    sends = [s for _ in range(4) for s in only(d.request()[1], Send)]
    table, s = d.balancer.table, d.balancer.members.backends[sends[0].backend]
    before = table.predicted_service_time(s, d.now, 1.0)
    d.wait(200 * MS)  # ten times what they take
    assert table.predicted_service_time(s, d.now, 1.0) > 1.5 * before
