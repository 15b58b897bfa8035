"""The directory of endpoints: announcements, failures, and the changes that a reader gets."""

from __future__ import annotations

from random import Random

import pytest

from lilacsill.mesh.registry import directory as directories
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
from lilacsill.mesh.runtime.messages import Endpoint, EndpointState, SuspicionReport

MS, S = 1_000, 1_000_000
NODES = 12


def record(
    node: str = "a", version: int = 1, state: str = EndpointState.READY, incarnation: int = 1, server: str = ""
) -> Endpoint:
    """A proxy's announcement; its backend has an identity of its own unless one is given."""
    return Endpoint(node, incarnation, version, "h", 1, "z", "s", server or f"i-{node}", state, 10, 0)


def state_of(directory: Directory, node: str = "a") -> str:
    endpoint = directory.entries[node].endpoint
    assert endpoint is not None
    return endpoint.state


# Announcements


def test_an_announcement_is_a_change_only_if_it_is_new() -> None:
    directory = Directory()
    assert directory.update(record(), 0)
    assert not directory.update(record(), S)


def test_a_later_version_is_a_change_and_an_earlier_one_is_not() -> None:
    directory = Directory()
    directory.update(record(version=1), 0)
    seen = directory.version
    assert directory.update(record(version=2, state=EndpointState.DRAINING), S)
    assert directory.changes_since(seen).endpoints[0].state == EndpointState.DRAINING
    assert not directory.update(record(version=1), S)


def test_a_higher_incarnation_replaces_a_lower_one_whatever_their_versions() -> None:
    directory = Directory()
    directory.update(record(version=9), 0)
    assert directory.update(record(incarnation=2), 2 * S)
    assert not directory.update(record(incarnation=1, version=9), 2 * S, direct=False)


def test_a_backend_that_drains_stays_so_for_a_restarted_proxy_until_there_is_another_backend() -> None:
    directory = Directory()
    directory.update(record(version=3, state=EndpointState.DRAINING), 0)
    assert directory.update(record(incarnation=2), S)  # the new run of the proxy saw a good health check
    assert state_of(directory) == EndpointState.DRAINING
    assert directory.update(record(server="i-next", incarnation=2, version=2), S)
    assert state_of(directory) == EndpointState.READY


def test_a_directory_that_was_restarted_learns_of_drains_from_the_proxies_themselves() -> None:
    directory = Directory()
    directory.update(record(version=7, state=EndpointState.DRAINING), S)
    assert directory.changes_since(0).endpoints[0].state == EndpointState.DRAINING
    assert directory.update(record(incarnation=2), 2 * S)
    assert directory.changes_since(0).endpoints[0].state == EndpointState.DRAINING


# Failures


def test_a_silent_node_is_removed_after_the_time_out() -> None:
    directory = Directory()
    directory.update(record(), 2 * S)
    directory.mark_alive(["a"], 4 * S)
    seen = directory.version
    assert not directory.remove_failed(4 * S + FAILURE_TIMEOUT_US - 1)
    assert directory.remove_failed(4 * S + FAILURE_TIMEOUT_US + 1)
    assert directory.changes_since(seen).removed == ["a"]


def test_silence_counts_only_from_when_the_registry_could_hear_again() -> None:
    directory = Directory()
    directory.update(record(), 4 * S)
    seen = directory.version
    directory.observing_since = 6 * S  # it was cut off until then
    assert not directory.remove_failed(5 * S + FAILURE_TIMEOUT_US)
    assert directory.remove_failed(7 * S + FAILURE_TIMEOUT_US)
    assert directory.changes_since(seen).removed == ["a"]


def test_a_removed_node_that_announces_itself_is_listed_again() -> None:
    directory = Directory()
    directory.update(record(), 0)
    assert directory.remove_failed(FAILURE_TIMEOUT_US + 1)
    assert directory.update(record(), 30 * S)


def test_one_report_does_not_remove_a_node_and_a_second_reporter_does() -> None:
    directory, now = Directory(), 2 * S
    directory.update(record(), S)
    assert directory.report_unreachable(SuspicionReport("a", 1, "x"), now)
    assert not directory.remove_failed(now + MS)
    assert directory.report_unreachable(SuspicionReport("a", 1, "y"), now + MS)
    assert directory.remove_failed(now + MS)


def test_a_repeated_report_and_one_about_a_removed_node_are_not_new() -> None:
    directory, now = Directory(), 2 * S
    directory.update(record(), S)
    assert directory.report_unreachable(SuspicionReport("a", 1, "x"), now)
    assert not directory.report_unreachable(SuspicionReport("a", 1, "x"), now + 1)
    directory.report_unreachable(SuspicionReport("a", 1, "y"), now)
    assert directory.remove_failed(now)
    assert not directory.report_unreachable(SuspicionReport("a", 1, "z"), now + MS)


def test_a_report_that_another_registry_passed_on_is_not_passed_on_again() -> None:
    directory, other, now = Directory(), Directory(), 2 * S
    for each in (directory, other):
        each.update(record(), S)
    directory.report_unreachable(SuspicionReport("a", 1, "x"), now)
    (report,) = directory.direct_reports(now)
    assert other.report_unreachable(report, now, direct=False)
    assert other.direct_reports(now) == []


def test_a_node_that_announces_itself_after_reports_is_not_removed() -> None:
    directory, now = Directory(), 2 * S
    directory.update(record(), S)
    for reporter in ("x", "y"):
        directory.report_unreachable(SuspicionReport("a", 1, reporter), now)
    assert directory.remove_failed(now)
    assert directory.update(record(version=2), now + S)
    assert not directory.remove_failed(now + S)


def test_two_reports_count_only_while_both_are_recent() -> None:
    directory = Directory()
    directory.update(record("n1"), 0)
    directory.report_unreachable(SuspicionReport("n1", 1, "n2"), DIRECT_CONTACT_US)
    assert not directory.remove_failed(DIRECT_CONTACT_US + 1)
    later = DIRECT_CONTACT_US + REPORT_LIFETIME_US
    directory.mark_alive(["n1"], later)
    directory.report_unreachable(SuspicionReport("n1", 1, "n3"), later)
    assert not directory.remove_failed(later)  # the first one has expired
    directory.report_unreachable(SuspicionReport("n1", 1, "n2"), later)
    assert directory.remove_failed(later)


# Changes


def test_a_reader_of_another_incarnation_gets_all_entries() -> None:
    directory = Directory(incarnation=5)
    directory.update(record("a"), 0)
    directory.update(record("b"), 0)
    assert directory.changes_for(5, 1) == Changes([record("b")], [], 2)
    assert directory.changes_for(4, 1) == Changes([record("a"), record("b")], [], 2)
    assert directory.is_newer_than(4, 2)
    assert not directory.is_newer_than(5, 2)


@pytest.mark.parametrize("max_changes", [1, 3, MAX_CHANGES_PER_REPLY])
def test_a_reader_that_takes_all_changes_has_the_same_endpoints(
    max_changes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Endpoints change, fail and return at random; the reader reads now and then."""
    monkeypatch.setattr(directories, "MAX_CHANGES_PER_REPLY", max_changes)
    for seed in range(20):
        rng, now = Random(seed), 1_000_000
        directory, copy, version = Directory(), dict[str, Endpoint](), 0
        for count in range(1, 200):
            now += rng.choice((1_000, 100_000, 400_000))
            directory.update(record(f"n{rng.randrange(NODES)}", count), now, direct=rng.random() < 0.7)
            directory.remove_failed(now)
            if rng.random() < 0.3:
                while version < directory.version:
                    changes = directory.changes_since(version)
                    assert len(changes.endpoints) + len(changes.removed) <= max_changes
                    assert changes.version > version
                    version = changes.version
                    copy.update({endpoint.node: endpoint for endpoint in changes.endpoints})
                    for node in changes.removed:
                        copy.pop(node, None)
                entries = directory.entries.items()
                assert copy == {node: entry.endpoint for node, entry in entries if entry.endpoint is not None}
        assert len(directory._change_log) <= 2 * NODES + CHANGE_LOG_SLACK + 1


def test_tombstones_expire_without_spoiling_the_order_of_changes() -> None:
    directory = Directory()
    for number in range(4):
        directory.update(record(f"n{number}"), 0)
    directory.update(record("n1", 2), FAILURE_TIMEOUT_US)
    assert directory.remove_failed(FAILURE_TIMEOUT_US + 1)
    changes = directory.changes_since(4)
    assert [endpoint.node for endpoint in changes.endpoints] == ["n1"]
    assert sorted(changes.removed) == ["n0", "n2", "n3"]
    directory.update(record("n1", 3), TOMBSTONE_LIFETIME_US + FAILURE_TIMEOUT_US)
    directory.remove_failed(TOMBSTONE_LIFETIME_US + FAILURE_TIMEOUT_US + 1)
    assert list(directory.entries) == ["n1"]
    assert directory.changes_since(directory.version - 1) == Changes([record("n1", 3)], [], directory.version)
