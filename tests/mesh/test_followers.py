"""A registry's first request for the configuration is answered in bounded parts, of which only the last is a proof."""

from __future__ import annotations

import pytest

from lilacsill.mesh.registry.config_cache import ConfigCache
from lilacsill.mesh.runtime.freshness import NO_PROOF, FreshnessTracker
from lilacsill.mesh.runtime.messages import ConfigUpdate, Follow, FollowReply, Message, encode
from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import Fleet, begun, route
from lilacsill.mesh.store import followers
from lilacsill.mesh.store.followers import MAX_UPDATE_BYTES

ROUTES = 1_200
FRAME_BYTES = MAX_UPDATE_BYTES * 3 // 2  # numbers and names beside the bodies


def follow(fleet: Fleet, seq: int) -> ConfigUpdate:
    """Return the answer of some member to a registry that has everything up to `seq`."""
    replies: list[Message | None] = []
    (operator,) = [machine for name, machine in fleet.net.machines.items() if name.startswith("operator")][:1]
    operator.ask(next(iter(fleet.stores)), Follow(seq, 300, 0), 900 * MS, replies.append)
    fleet.net.time.run(fleet.net.time.now + SECOND)
    (reply,) = replies
    assert isinstance(reply, FollowReply) and reply.update is not None
    assert len(encode(reply)) < FRAME_BYTES
    return reply.update


def whole_configuration(fleet: Fleet) -> tuple[ConfigCache, list[ConfigUpdate]]:
    cache, updates = ConfigCache(), list[ConfigUpdate]()
    newest = max(store.replica.state.seq for store in fleet.stores.values())
    while cache.seq < newest:
        update = follow(fleet, cache.seq)
        assert update.seq > cache.seq
        cache.apply(update.items, update.seq)
        updates.append(update)
    return cache, updates


def test_a_large_configuration_comes_in_bounded_parts_and_complete() -> None:
    fleet, _ = begun(31, [route(f"r{number}", 1, f"/r{number}/") for number in range(ROUTES)])
    cache, updates = whole_configuration(fleet)
    assert len(updates) > 3
    state = next(iter(fleet.stores.values())).replica.state
    assert {key: item.version for key, item in cache._items.items()} == {
        key: item.version for key, item in state.items.items()
    }
    assert [update.freshness == NO_PROOF for update in updates] == [True] * (len(updates) - 1) + [False]


def test_a_planted_defect_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(followers, "_first_batch", lambda changes: changes)
    with pytest.raises(AssertionError):
        test_a_large_configuration_comes_in_bounded_parts_and_complete()


def test_a_part_is_no_proof() -> None:
    tracker = FreshnessTracker(SECOND)
    tracker.record(NO_PROOF, 5 * SECOND)
    assert not tracker.is_current(5 * SECOND) and tracker.age_ms(5 * SECOND) is None
