"""TWICE, MIXED: all requests with one `Operation-Key` of a tenant are one operation, at whichever proxies."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.metrics import _add_operations
from lilacsill.mesh.runtime.metrics_text import MetricsText
from tests.mesh.shared_stage import OTHER_KEY, shared_stage
from tests.mesh.stage import request


def test_a_repeat_at_another_proxy_gets_the_first_response_under_its_own_attempt_id() -> None:
    with shared_stage() as s:
        one = s.add("one")
        assert s.get(s.keyed(1)) == (200, b"one /keyed/a")
        for front in (0, 1):
            client = s.connect(s.keyed(2 + front), front)
            s.until(lambda client=client: bool(client.answers), "there is a response")  # type: ignore[misc]
            answer = client.answers[0]
            assert (answer.status, bytes(answer.body), answer.fields[b"server-seal"]) == (200, b"one /keyed/a", b"seal")
            assert answer.fields[b"attempt-id"] == b"a%d" % (2 + front)
        assert len(one.ran) == 1


def test_of_the_same_operation_at_two_proxies_at_once_one_runs_and_the_other_is_in_progress() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["answers late", "answers late"]
        clients = [s.connect(s.keyed(1), 0), s.connect(s.keyed(2), 1), s.connect(s.keyed(3), 0)]
        s.until(lambda: all(client.answers for client in clients), "there are all responses")
        assert sorted(client.answers[0].status for client in clients) == [200, 409, 409]
        assert len(one.ran) == 1


def test_tenants_may_use_the_same_key_and_requests_without_one_are_plain_writes() -> None:
    with shared_stage() as s:
        one = s.add("one")
        assert s.get(s.keyed(1))[0] == s.get(s.keyed(2, tenant_key=OTHER_KEY))[0] == 200
        plain = request("POST", "/keyed/a", 3, b"body", f"Credential: {OTHER_KEY}\r\n")
        assert s.get(plain)[0] == s.get(plain)[0] == 200
        assert len(one.ran) == 4 and s.store.claims == 2


@pytest.mark.parametrize("deed", ["closes", "cuts its answer", "cuts a long answer", "answers without seal"])
def test_what_may_have_run_without_a_response_runs_at_no_other_backend_and_no_other_proxy(deed: str) -> None:
    with shared_stage() as s:
        one, two = s.add("one"), s.add("two")
        one.script = [deed]
        s.prefer("one")
        client = s.connect(s.keyed(1))
        s.until(lambda: bool(client.answers) or client.over, "the request ends")
        s.prefer("two")
        assert s.get(s.keyed(2))[0] == s.get(s.keyed(3), 1)[0] == 502
        assert len(one.ran) == 1 and not two.ran


def test_a_failure_that_a_backend_answered_is_the_answer_of_the_operation() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["fails"]
        assert s.get(s.keyed(1)) == s.get(s.keyed(2), 1) == (500, b"sorry")
        assert len(one.ran) == 1


def test_a_long_response_is_repeated_whole() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["answers long"]
        assert s.get(s.keyed(1)) == s.get(s.keyed(2), 1) == (200, b"y" * 300_000)
        assert len(one.ran) == 1


def test_a_response_that_is_too_long_to_store_is_passed_on_and_its_repeats_are_unknown() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["answers at great length"]
        assert s.get(s.keyed(1)) == (200, b"g" * 3_000_000)
        assert s.get(s.keyed(2))[0] == s.get(s.keyed(3), 1)[0] == 502
        assert len(one.ran) == 1


def test_what_no_backend_took_runs_with_the_repeat_at_either_proxy() -> None:
    for front in (0, 1):
        with shared_stage() as s:
            assert s.get(s.keyed(1))[0] == 503  # there is no backend
            one = s.add("one")
            assert s.get(s.keyed(2), front)[0] == 200
            assert s.get(s.keyed(3), 0)[0] == s.get(s.keyed(4), 1)[0] == 200
            assert len(one.ran) == 1


def test_a_backend_that_promises_not_to_have_run_it_hands_it_on() -> None:
    with shared_stage() as s:
        one, two = s.add("one"), s.add("two")
        one.script = ["did not run it"]
        s.prefer("one")
        assert s.get(s.keyed(1))[0] == s.get(s.keyed(2), 1)[0] == 200
        assert not one.ran and len(two.ran) == 1


def test_after_the_owner_was_killed_nothing_is_said_and_nothing_runs() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["is silent"]
        s.connect(s.keyed(1))
        s.until(lambda: len(one.ran) == 1, "the operation runs")
        s.fronts[0].kill()
        assert s.get(s.keyed(2), 1)[0] == 503
        assert len(one.ran) == 1


def test_a_client_that_leaves_and_repeats_gets_the_response_of_its_first_request() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["answers late"]
        client = s.connect(s.keyed(1))
        s.until(lambda: len(one.ran) == 1, "the operation runs")
        client.drop()
        s.until(lambda: s.fronts[0].forwarder.counters.cancelled == 1, "the proxy has noticed")
        assert s.get(s.keyed(2), 1)[0] == 409
        s.until(lambda: not s.fronts[0].forwarder.in_flight, "the operation is over")
        assert s.get(s.keyed(3), 1) == (200, b"one /keyed/a")
        assert len(one.ran) == 1


def test_a_client_that_leaves_before_its_claim_is_granted_runs_nothing() -> None:
    with shared_stage() as s:
        one, s.store.reply_delay_us = s.add("one"), 30_000
        client = s.connect(s.keyed(1))
        s.until(lambda: s.store.claims == 1, "the claim has arrived")
        client.drop()
        s.until(lambda: not s.fronts[0].forwarder.in_flight, "the request is given up")
        s.store.reply_delay_us = 0
        assert s.get(s.keyed(2), 1)[0] == 200
        s.settle()
        s.settle()
        assert len(one.ran) == 1


def test_without_a_store_the_refusal_is_not_late_and_its_repeat_runs() -> None:
    with shared_stage() as s:
        one, s.store.is_silent = s.add("one"), True
        began_at = s.reactor.now()
        assert s.get(s.keyed(1))[0] == 503
        assert s.reactor.now() - began_at < 125_000  # a quarter of the target
        s.store.is_silent = False
        assert s.get(s.keyed(2))[0] == 200
        assert len(one.ran) == 1


def test_figures_tell_what_became_of_operations() -> None:
    with shared_stage() as s:
        s.add("one").script = ["answers", "closes"]
        for number, key in enumerate(("k1", "k1", "k2", "k2")):
            s.get(s.keyed(number, key))
        forwarder, table = s.fronts[0].forwarder, s.fronts[0].operations.table
        assert table.count_states() == {"answered": 1, "unknown": 1}
        assert forwarder.counters.refusals == {"operation unknown": 1}
        text = MetricsText()
        _add_operations(text, s.fronts[0].operations)
        lines = text.encode().decode().splitlines()
        assert f"lilacsill_operation_response_bytes {float(table.stored_bytes)}" in lines
        assert "lilacsill_operations 2.0" in lines and "lilacsill_operations_replayed_total 1.0" in lines
