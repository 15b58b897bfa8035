"""Where a request may go next, by what came of its attempts."""

from __future__ import annotations

from random import Random

from lilacsill.mesh.proxy.attempts import MAX_REJECTIONS, AttemptHistory
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint

S = 1_000_000


def table_of(count: int) -> EndpointTable:
    table = EndpointTable(Random(7))
    for number in range(count):
        table.update(Endpoint(f"n{number}", 1, 1, "h", 1, "z", "s", f"i-{number}", "ready", 10, 0), S)
    return table


def test_an_endpoint_that_rejected_the_request_is_not_chosen_again() -> None:
    table, history = table_of(1), AttemptHistory()
    history.record_rejected(table.entries["n0"])
    assert history.choose_next(table, S) is None


def test_an_untried_endpoint_goes_before_one_that_failed() -> None:
    table, history = table_of(2), AttemptHistory()
    history.record_failed(table.entries["n0"])
    assert all(history.choose_next(table, S) is table.entries["n1"] for _ in range(20))


def test_an_endpoint_that_failed_is_chosen_where_there_is_no_other() -> None:
    table, history = table_of(1), AttemptHistory()
    history.record_failed(table.entries["n0"])
    assert history.choose_next(table, S) is table.entries["n0"]


def test_only_attempts_that_reached_a_backend_are_arrivals() -> None:
    table, history = table_of(3), AttemptHistory()
    history.record_rejected(table.entries["n0"])
    history.record_not_run(table.entries["n1"])
    history.record_failed(table.entries["n2"])
    assert history.arrivals == 2


def test_after_too_many_rejections_no_endpoint_is_chosen() -> None:
    table, history = table_of(MAX_REJECTIONS + 1), AttemptHistory()
    for number in range(MAX_REJECTIONS):
        history.record_rejected(table.entries[f"n{number}"])
    assert history.choose_next(table, S) is None
