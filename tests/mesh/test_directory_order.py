"""A directory that is asked for what changed looks no further back than that, and leaves nothing out."""

from __future__ import annotations

from random import Random

import pytest

from lilacsill.mesh.registry.directory import (
    CHANGE_LOG_SLACK,
    DIRECT_CONTACT_US,
    FAILURE_TIMEOUT_US,
    MAX_CHANGES_PER_REPLY,
    REPORT_LIFETIME_US,
    TOMBSTONE_LIFETIME_US,
    Changes,
    Directory,
)
from lilacsill.mesh.runtime.messages import Endpoint, SuspicionReport

BACKENDS = 12


def told(number: int, count: int, state: str = "ready") -> Endpoint:
    return Endpoint(f"n{number}", 1, count, f"10.0.0.{number}", 7660, "z", "s", f"i-{number}", state, 8, 0)


@pytest.mark.parametrize("piece", [1, 3, MAX_CHANGES_PER_REPLY])
def test_a_copy_that_takes_what_changed_is_the_directory(piece: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Random changes, deaths and returns; a copy that asks now and then ends with the same endpoints."""
    monkeypatch.setattr("lilacsill.mesh.registry.directory.MAX_CHANGES_PER_REPLY", piece)
    for seed in range(20):
        rng, now = Random(seed), 1_000_000
        directory, copy, version = Directory(), dict[str, Endpoint](), 0
        for count in range(1, 200):
            now += rng.choice((1_000, 100_000, 400_000))
            directory.update(told(rng.randrange(BACKENDS), count), now, direct=rng.random() < 0.7)
            directory.remove_failed(now)
            if rng.random() < 0.3:
                while version < directory.version:
                    changes = directory.changes_since(version)
                    assert (
                        len(changes.endpoints) + len(changes.removed) <= MAX_CHANGES_PER_REPLY
                        and changes.version > version
                    )
                    version = changes.version
                    copy.update({e.node: e for e in changes.endpoints})
                    for node in changes.removed:
                        copy.pop(node, None)
                standing = {n: e.endpoint for n, e in directory.entries.items() if e.endpoint is not None}
                assert copy == standing
        assert len(directory._change_log) <= 2 * BACKENDS + CHANGE_LOG_SLACK + 1


def test_what_is_gone_is_forgotten_without_spoiling_the_order() -> None:
    directory = Directory()
    for number in range(4):
        directory.update(told(number, 1), 0)
    directory.update(told(1, 2), FAILURE_TIMEOUT_US)
    assert directory.remove_failed(FAILURE_TIMEOUT_US + 1)
    changes = directory.changes_since(4)
    assert [e.node for e in changes.endpoints] == ["n1"] and sorted(changes.removed) == ["n0", "n2", "n3"]
    directory.update(told(1, 3), TOMBSTONE_LIFETIME_US + FAILURE_TIMEOUT_US)
    directory.remove_failed(TOMBSTONE_LIFETIME_US + FAILURE_TIMEOUT_US + 1)
    assert list(directory.entries) == ["n1"]
    assert directory.changes_since(directory.version - 1) == Changes([told(1, 3)], [], directory.version)


def test_two_accusers_are_believed_only_while_both_are_of_late() -> None:
    directory = Directory()
    directory.update(told(1, 1), 0)
    directory.report_unreachable(SuspicionReport("n1", 1, "n2"), DIRECT_CONTACT_US)
    assert not directory.remove_failed(DIRECT_CONTACT_US + 1)
    later = DIRECT_CONTACT_US + REPORT_LIFETIME_US
    directory.mark_alive(["n1"], later)
    directory.report_unreachable(SuspicionReport("n1", 1, "n3"), later)
    assert not directory.remove_failed(later)  # the first has run out
    directory.report_unreachable(SuspicionReport("n1", 1, "n2"), later)
    assert directory.remove_failed(later)
