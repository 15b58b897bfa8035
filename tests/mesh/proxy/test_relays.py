"""A proxy that does not reach the store gets tokens and claims through another proxy, on sockets."""

from __future__ import annotations

from tests.mesh.shared_stage import LIMITED_KEY, shared_stage


def test_a_request_of_a_limited_tenant_gets_its_token_through_another_proxy() -> None:
    with shared_stage() as stage:
        stage.add("one")
        stage.store.tokens = 1
        stage.partition(0)
        assert [stage.get(stage.read(number, LIMITED_KEY))[0] for number in (1, 2)] == [200, 429]
        assert stage.fronts[0].relay_counters.answered >= 2
        assert stage.fronts[1].relay_counters.served == stage.fronts[0].relay_counters.answered


def test_a_keyed_write_runs_once_with_its_claim_made_through_another_proxy() -> None:
    with shared_stage() as stage:
        one = stage.add("one")
        stage.partition(0)
        status, body = stage.get(stage.keyed(1))
        assert status == 200
        assert stage.get(stage.keyed(2), front=1) == (200, body)
        assert stage.store.claims == 2
        assert len(one.ran) == 1


def test_a_proxy_that_is_partitioned_as_well_sends_nothing_on() -> None:
    with shared_stage() as stage:
        stage.add("one")
        stage.store.tokens = 1
        stage.partition(0)
        stage.partition(1)
        assert stage.get(stage.read(1, LIMITED_KEY))[0] == 503
        assert stage.store.tokens == 1
        assert stage.fronts[1].relay_counters.served == 0
