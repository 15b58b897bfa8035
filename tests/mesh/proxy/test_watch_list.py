"""Whom a proxy watches, as nodes come and go: always what rendezvous hashing over all of them names."""

from __future__ import annotations

from random import Random

import pytest

from lilacsill.mesh.proxy.known_endpoints import peer_address
from lilacsill.mesh.proxy.watch_list import WatchList
from lilacsill.mesh.runtime.hashing import rendezvous_select, rendezvous_weight
from lilacsill.mesh.runtime.messages import Endpoint

WATCHERS = 3


def named(me: str, nodes: set[str]) -> list[str]:
    """By the definition: every node names its watchers."""
    return sorted(n for n in nodes if n != me and me in rendezvous_select(n, nodes | {me}, WATCHERS))


def test_it_is_what_every_node_names_through_all_changes() -> None:
    rng = Random(48)
    pool = [f"sidecar-hall-{n}" for n in range(60)]
    for me in pool[:6]:
        watch_list, nodes = WatchList(me, WATCHERS), set[str]()
        for _ in range(60):
            size = rng.choice((0, 1, 3, 4, 20, 59))
            changed = rng.sample(pool, k=rng.choice((1, 1, 2, 10)))
            nodes = set(rng.sample(pool, k=size)) if rng.random() < 0.2 else nodes ^ set(changed)
            watch_list.sync(nodes)
            assert watch_list.monitored == named(me, nodes)


def test_each_is_watched_by_three() -> None:
    nodes = {f"n{n}" for n in range(40)}
    lists = [WatchList(n, WATCHERS) for n in sorted(nodes)]
    for watch_list in lists:
        watch_list.sync(nodes)
    watched = [n for watch_list in lists for n in watch_list.monitored]
    assert {n: watched.count(n) for n in nodes} == dict.fromkeys(nodes, WATCHERS)


def test_the_work_grows_little_faster_than_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = 0

    def counted(me: str, other: str) -> int:
        nonlocal looks
        looks += 1
        return rendezvous_weight(me, other)

    monkeypatch.setattr("lilacsill.mesh.proxy.watch_list.rendezvous_weight", counted)
    for size in (100, 1_000):
        looks = 0
        watch_list = WatchList("n0", WATCHERS)
        watch_list.sync({f"n{n}" for n in range(size)})
        assert looks < 40 * size
    looks = 0
    watch_list.sync({f"n{n}" for n in range(1_001)})
    assert looks < 2_000  # one more: not all anew


def test_only_what_neighbours_need_makes_a_new_place() -> None:
    endpoint = Endpoint("n1", 1, 1, "10.0.0.1", 7660, "z", "s", "i-1", "ready", 8, 0)
    later = Endpoint("n1", 1, 2, "10.0.0.1", 7660, "z", "s", "i-2", "draining", 9, 5)
    leaving = Endpoint("n1", 1, 3, "10.0.0.1", 7660, "z", "s", "i-2", "leaving", 9, 5)
    moved = Endpoint("n1", 1, 4, "10.0.0.2", 7660, "z", "s", "i-2", "draining", 9, 5)
    assert peer_address(endpoint) == peer_address(later) != peer_address(leaving)
    assert peer_address(moved) != peer_address(later)
