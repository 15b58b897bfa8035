"""The endpoints that a proxy knows of: which record counts, and whom its failure detector may ping."""

from __future__ import annotations

from random import Random

import pytest
from msgspec.structs import replace

from lilacsill.mesh.proxy.backend_gateway import BackendGateway
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.proxy.retry_budget import RetryBudgetSettings
from lilacsill.mesh.proxy.upstreams import Upstreams
from lilacsill.mesh.runtime.messages import Endpoint
from tests.mesh.stage import Stage, stage

S = 1_000_000
RECORD = Endpoint("n1", 1, 1, "10.0.0.1", 7660, "z", "stock", "i-1", "ready", 8, 0)


class Known:
    """The endpoints of the proxy `me`, with tables of their own."""

    def __init__(self, s: Stage) -> None:
        gateway: BackendGateway = s.forwarder.upstreams._gateway
        self.upstreams = Upstreams(s.reactor, gateway, "me", RetryBudgetSettings(0.2, S, 0.0), Random(1))
        self.endpoints = KnownEndpoints("me", self.upstreams)

    def apply(self, *updated: Endpoint, removed: tuple[str, ...] = ()) -> None:
        self.endpoints.apply(updated, removed, S)

    def services(self, node: str) -> set[str]:
        return {service for service, table in self.upstreams.tables.items() if node in table.entries}


def test_a_later_version_counts_and_an_earlier_one_does_not() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(replace(RECORD, version=3, slots=9))
        known.apply(replace(RECORD, version=2, slots=5))
        record = known.endpoints.get("n1")
        assert record is not None and record.slots == 9


def test_another_incarnation_counts_whatever_its_version() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(replace(RECORD, version=3))
        known.apply(replace(RECORD, incarnation=2, version=1))
        assert known.endpoints.incarnations({"n1", "unknown"}) == {"n1": 2}


def test_an_endpoint_is_in_the_table_of_its_service_only() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(RECORD)
        known.apply(replace(RECORD, version=2, service="orders"))
        assert known.services("n1") == {"orders"}


def test_a_node_that_is_removed_is_in_no_table() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(RECORD)
        known.apply(removed=("n1", "unknown"))
        assert known.endpoints.get("n1") is None and not known.services("n1") and len(known.endpoints) == 0


def test_the_proxies_share_the_retry_budget_and_are_at_least_one() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(RECORD, replace(RECORD, node="n2"))
        assert known.upstreams.proxy_count == 2
        known.apply(removed=("n1", "n2"))
        assert known.upstreams.proxy_count == 1


def test_peers_are_all_others_that_do_not_leave() -> None:
    with stage() as s:
        known = Known(s)
        known.apply(RECORD, replace(RECORD, node="me"), replace(RECORD, node="n2", state="leaving"))
        assert known.endpoints.peers() == {"n1": "10.0.0.1:7660"}


@pytest.mark.parametrize(
    ("change", "is_new"),
    [
        pytest.param({"server": "i-2", "state": "draining"}, False, id="another backend"),
        pytest.param({"host": "10.0.0.2"}, True, id="another address"),
        pytest.param({"state": "leaving"}, True, id="it leaves"),
    ],
)
def test_the_peers_are_another_dict_only_when_one_moves_or_leaves(change: dict[str, str], is_new: bool) -> None:
    with stage() as s:
        known = Known(s)
        known.apply(RECORD)
        before = known.endpoints.peers()
        known.apply(replace(RECORD, version=2, **change))
        assert (known.endpoints.peers() is not before) is is_new
