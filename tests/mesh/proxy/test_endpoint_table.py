"""The choice of an endpoint for an attempt."""

from __future__ import annotations

from collections import Counter
from random import Random

from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint, Load

S = 1_000_000


def endpoint(node: str, state: str = "ready", incarnation: int = 1, version: int = 1) -> Endpoint:
    return Endpoint(node, incarnation, version, "h", 1, "z", "s", f"i-{node}", state, 10, 0)


def table_of(count: int) -> EndpointTable:
    table = EndpointTable(Random(7))
    for number in range(count):
        table.update(endpoint(f"n{number}"), S)
    return table


def choices(table: EndpointTable, count: int) -> Counter[str]:
    """How often each node is chosen."""
    chosen = (table.choose(S, []) for _ in range(count))
    return Counter(entry.endpoint.node for entry in chosen if entry is not None)


def test_of_two_uniform_samples_the_one_in_the_lower_band_wins_and_ties_are_random() -> None:
    table = table_of(8)
    for number, entry in enumerate(table.entries.values()):
        table.attempt_started(entry, number)
        table.attempt_ended(entry, number, Load(8 if number < 4 else 0, 10, 1.0, 0.0), S)
    chosen = choices(table, 8000)
    heavy = sum(chosen[f"n{number}"] for number in range(4))
    # Both samples heavy: a quarter. Each of the light ones is as likely as the others.
    assert 0.22 < heavy / 8000 < 0.28
    assert max(chosen[f"n{number}"] for number in range(4, 8)) < 1.4 * min(chosen[f"n{n}"] for n in range(4, 8))


def test_own_attempts_count_as_load_before_a_report_includes_them() -> None:
    table = table_of(2)
    for attempt in range(6):
        table.attempt_started(table.entries["n0"], attempt)
    assert choices(table, 2000)["n0"] < 0.35 * 2000


def test_a_report_replaces_the_own_attempts() -> None:
    table = table_of(2)
    entry = table.entries["n0"]
    for attempt in range(6):
        table.attempt_started(entry, attempt)
    table.attempt_ended(entry, 0, Load(0, 10, 0.0, 0.0), S)
    assert not entry.unreported_attempts and entry.reported_requests == 0


def test_an_old_report_fades_and_an_endpoint_without_one_starts_at_the_mean() -> None:
    table = table_of(3)
    table.attempt_ended(table.entries["n0"], 0, Load(9, 10, 0.0, 0.0), S)
    table.attempt_ended(table.entries["n1"], 1, Load(1, 10, 0.0, 0.0), S)
    table._update_scores(S + 100 * S)
    scores = [entry.score for entry in table.entries.values()]
    assert max(scores) - min(scores) < 0.11  # all at the mean, but for chance


def test_endpoints_that_drain_or_are_gone_are_not_chosen() -> None:
    table = table_of(3)
    table.update(endpoint("n0", state="draining", version=2), S)
    table.remove("n1")
    assert set(choices(table, 50)) == {"n2"}


def test_an_ejected_endpoint_is_not_chosen_while_there_is_another() -> None:
    table = table_of(2)
    table.eject(table.entries["n1"], S)
    assert set(choices(table, 50)) == {"n0"}


def test_where_all_endpoints_are_ejected_one_of_them_is_chosen() -> None:
    table = table_of(2)
    for entry in table.entries.values():
        table.eject(entry, S)
    assert set(choices(table, 50)) == {"n0", "n1"}


def test_a_restarted_proxy_ends_the_ejection_of_its_endpoint() -> None:
    table = table_of(2)
    table.eject(table.entries["n1"], S)
    table.update(endpoint("n1", incarnation=2), S)
    assert table.entries["n1"].ejected_until == 0


def test_a_backend_whose_requests_fail_is_chosen_less() -> None:
    table = table_of(6)
    for number, entry in enumerate(table.entries.values()):
        table.attempt_ended(entry, number, Load(0, 10, 1.0, 0.8 if number == 0 else 0.0), S)
    assert choices(table, 3000)["n0"] < 0.1 * 3000
