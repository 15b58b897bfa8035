"""Rendezvous hashing: the selection is even, and a lost name moves only what was on it."""

from __future__ import annotations

from collections import Counter

from lilacsill.mesh.runtime.hashing import rendezvous_select

REGISTRIES = [f"10.0.{number}.1:7660" for number in range(5)]
NODES = [f"sidecar-{number}" for number in range(400)]


def selection(registries: list[str]) -> dict[str, list[str]]:
    """The two registries of each node."""
    return {node: rendezvous_select(node, registries, 2) for node in NODES}


def test_names_are_selected_evenly() -> None:
    load = Counter(registry for pair in selection(REGISTRIES).values() for registry in pair)
    assert max(load.values()) < 1.35 * min(load.values())


def test_a_lost_name_moves_only_the_keys_that_had_selected_it() -> None:
    before, after = selection(REGISTRIES), selection(REGISTRIES[1:])
    assert all(set(before[node]) - {REGISTRIES[0]} <= set(after[node]) for node in NODES)


def test_a_key_does_not_select_itself() -> None:
    assert sorted(rendezvous_select("a", ["a", "b", "c"], 3)) == ["b", "c"]
