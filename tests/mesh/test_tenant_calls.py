"""Operators' calls with tenants: what is taken, what is refused, and what a read returns."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.log_ring import LogRing
from lilacsill.mesh.runtime.messages import Item, Message, Patch, Read, Reply
from lilacsill.mesh.simulation.network import SECOND
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator, put, route
from lilacsill.mesh.store import frontend
from lilacsill.mesh.store.calls import parse_call
from lilacsill.mesh.store.digests import RANGE_COUNT
from lilacsill.mesh.store.draft import Draft
from lilacsill.mesh.store.rejections import KeyTaken
from lilacsill.mesh.store.route_index import ROUTE
from lilacsill.mesh.store.state import ConfigState
from lilacsill.mesh.store.status import status_of
from lilacsill.mesh.store.validation import apply_call
from lilacsill.mesh.tenants.tenant import TENANT

SECRET = "qf75rjvz48wuakn2ftim"


def first_call() -> dict[str, Any]:
    """The first call of a deployment with tenants, in the form of the operators' examples."""
    tenant = {"Name": "huka270", "ApiKeys": ["ta828m82thhkmgjqnirt", "h5mgjy5rcpihhacrudde"], "Rank": 1}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWaitMs": 3000, "IdleTimeoutMs": 15000}
    split = [{"TargetService": "huvo11a", "Share": 90}, {"TargetService": "wuno96b", "Share": 10}]
    read = {"Name": "r-dwqtb4e", "RouteKind": "read_only", "TargetMs": 629, "Rank": 2, "Public": False}
    write = {"Name": "r-9bsvy28", "RouteKind": "keyed_write", "TargetMs": 834, "Rank": 1, "Public": False}
    read |= {"When": {"PathPrefix": "/lohu930/"}, "Then": {"TrafficSplit": split, "TimeoutMs": 2624, "MaxTries": 2}}
    write |= {"When": {"PathPrefix": "/pufi791/"}}
    write |= {"Then": {"TargetService": "huvo11a", "TimeoutMs": 3128, "MaxTries": 2}}
    service = {"HealthPath": "/health", "MaxConnections": 540, "Protocol": "h1", "UseTls": False}
    service |= {"DedupesItself": False, "ConfigVersion": "r7"}
    return {
        "ReplaceItems": {
            "Customers": [tenant | {"RatePerS": 146, "BurstSize": 146, "ConfigVersion": "r7"}],
            "Limits": limits | {"ConfigVersion": "r7"},
            "Listeners": [
                {"Host": "ficu95.example", "Policy": [read | {"ConfigVersion": "r7"}, write | {"ConfigVersion": "r7"}]}
            ],
            "Groups": [{"Name": name} | service for name in ("huvo11a", "wuno96b")],
        },
        "RemoveItems": {"Routing": []},
    }


def tenant(name: str, version: int, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"Name": name, "ConfigVersion": f"r{version}", "ApiKeys": list(keys), **fields}


def tenants(*replaced: dict[str, Any], removed: tuple[tuple[str, int], ...] = ()) -> dict[str, Any]:
    """A call that replaces tenants and removes others."""
    names = [{"Name": name, "ConfigVersion": f"r{version}"} for name, version in removed]
    return {"ReplaceItems": {"Customers": list(replaced)}, "RemoveItems": {"Customers": names}}


class Configuration:
    """One state, to which calls are applied as the head of the chain does."""

    def __init__(self, *calls: dict[str, Any]) -> None:
        self.state = ConfigState()
        for call in calls:
            assert self.refusal(call) is None

    def refusal(self, call: dict[str, Any]) -> tuple[int, str] | None:
        """Status and reason with which a call is refused; None: it is taken, and applied."""
        outcome = parse_call(msgspec.json.encode(call)).bind(lambda changes: apply_call(self.state, changes))
        rejection = outcome.swap().value_or(None)
        if rejection is not None:
            return rejection.status, rejection.message
        draft: Draft = outcome.unwrap()
        self.state.apply(draft.items.values(), draft.seq)
        return None

    def read(self) -> Any:
        return msgspec.json.decode(self.state.to_json())


def test_the_first_call_of_a_deployment_with_tenants_is_acknowledged() -> None:
    fleet = Fleet(1)
    operator, statuses = Operator(fleet, "a"), list[int]()
    operator.call(first_call(), statuses.append)
    fleet.net.time.run(4 * SECOND)
    reasons = [reason for store in fleet.stores.values() for reason in store.frontend.rejections]
    assert (statuses, reasons) == ([200], [])


def test_a_read_is_laid_out_as_the_first_call() -> None:
    fleet, replies = Fleet(2), list[Message | None]()
    operator = Operator(fleet, "a")
    operator.call(first_call())
    fleet.net.time.run(4 * SECOND)
    operator.machine.ask(fleet.up()[1], Read(0), SECOND, replies.append)
    fleet.net.time.run(5 * SECOND)
    reply = replies[0]
    assert isinstance(reply, Reply) and reply.status == 200
    assert msgspec.json.decode(reply.body) == first_call()["ReplaceItems"]


def test_tenants_reach_proxies_before_the_routes_that_need_them() -> None:
    state = Configuration(first_call()).state
    kinds = [item.kind for item in state.items_since(0)]
    assert kinds.index(ROUTE) > kinds.index(TENANT) == 0


def test_a_read_has_the_tenants_that_stand_with_all_of_their_fields() -> None:
    noted = tenant("a", 2, "k1", Rank=0, RatePerS=0.5, BurstSize=2.5, Note={"owner": "x"})
    configuration = Configuration(tenants(noted, tenant("b", 1, "k2")))
    assert configuration.read()["Customers"] == [noted, tenant("b", 1, "k2")]
    assert configuration.refusal(tenants(removed=(("a", 3), ("b", 2)))) is None
    assert "Customers" not in configuration.read()


@pytest.mark.parametrize(
    "fields",
    [
        {"ApiKeys": []},  # all keys are revoked
        {"ApiKeys": ["k", "k"]},
        {"RatePerS": 0.25, "BurstSize": 0.5},
        {"RatePerS": 0},
        {"BurstSize": 5},
        {"Rank": 0, "Other": [1]},
        {"ApiKeys": ["k" * 1024, "K", "k", "ключ"]},
    ],
)
def test_a_valid_tenant_is_taken(fields: dict[str, Any]) -> None:
    assert Configuration().refusal(tenants(tenant("a", 1, "k") | fields)) is None


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"RatePerS": -1}, "0.RatePerS"),
        ({"BurstSize": -0.5}, "0.BurstSize"),
        ({"RatePerS": "many"}, "0.RatePerS"),
        ({"RatePerS": True}, "0.RatePerS"),
        ({"Rank": -1}, "0.Rank"),
        ({"Rank": 0.5}, "0.Rank"),
        ({"Rank": True}, "0.Rank"),
        ({"ApiKeys": ""}, "0.ApiKeys"),
        ({"ApiKeys": None}, "0.ApiKeys"),
        ({"ApiKeys": [""]}, "0.ApiKeys.0"),
        ({"ApiKeys": ["a", SECRET * 52]}, "0.ApiKeys.1"),
        ({"ApiKeys": [7]}, "0.ApiKeys.0"),
        ({"ApiKeys": {SECRET: 1}}, "0.ApiKeys"),
        ({"Name": ""}, "0.Name"),
        ({"ConfigVersion": "7"}, "0.ConfigVersion"),
    ],
)
def test_an_invalid_tenant_is_refused_and_its_keys_are_not_shown(fields: dict[str, Any], place: str) -> None:
    configuration = Configuration(tenants(tenant("b", 1, "k2")))
    status, reason = configuration.refusal(tenants(tenant("a", 1, SECRET) | fields, tenant("b", 2))) or (200, "")
    assert status == 400 and reason.startswith(f"ReplaceItems.Customers.{place}: ") and SECRET not in reason
    assert configuration.read()["Customers"] == [tenant("b", 1, "k2")]


@pytest.mark.parametrize("missing", ["Name", "ConfigVersion", "ApiKeys"])
def test_a_tenant_without_what_it_needs_is_refused(missing: str) -> None:
    body = tenant("a", 1, "k")
    del body[missing]
    assert Configuration().refusal(tenants(body)) == (400, f"ReplaceItems.Customers.0.{missing}: required field")


@pytest.mark.parametrize(
    ("section", "field", "value"),
    [("Listeners", "Public", 1), ("Listeners", "RouteKind", "keyed"), ("Groups", "DedupesItself", "no")],
)
def test_routes_and_services_are_checked_too(section: str, field: str, value: object) -> None:
    call = first_call()
    items = call["ReplaceItems"][section]
    (items[0]["Policy"] if section == "Listeners" else items)[0][field] = value
    status, reason = Configuration().refusal(call) or (200, "")
    assert status == 400 and f".{field}: " in reason


HELD = tenants(tenant("a", 1, "k1", SECRET), tenant("b", 1, "k2"))


@pytest.mark.parametrize(
    ("call", "refused"),
    [
        (tenants(tenant("c", 1, "k3"), tenant("d", 1, "k3")), "tenants c and d have the same key"),
        (tenants(tenant("c", 1, SECRET)), "tenants a and c have the same key"),
        (tenants(tenant("b", 2, "k2", "k1")), "tenants a and b have the same key"),
        (tenants(tenant("a", 2, "k1"), tenant("c", 1, SECRET)), ""),
        (tenants(tenant("c", 1, SECRET), tenant("a", 2, "k1")), ""),  # in either order
        (tenants(tenant("a", 2, "k2"), tenant("b", 2, "k1", SECRET)), ""),  # they exchange them
        (tenants(tenant("c", 1, "k1", SECRET), removed=(("a", 2),)), ""),
        (tenants(tenant("c", 1, SECRET), tenant("a", 1, "k1", SECRET)), "tenants c and a have the same key"),
        (tenants(tenant("c", 1, "K1")), ""),  # keys are compared byte for byte
    ],
)
def test_no_two_tenants_have_the_same_key(call: dict[str, Any], refused: str) -> None:
    configuration = Configuration(HELD)
    before = configuration.read()
    assert configuration.refusal(call) == ((400, refused) if refused else None)
    assert (configuration.read() == before) is bool(refused)


def test_a_call_with_overtaken_tenants_of_the_same_key_is_refused() -> None:
    configuration = Configuration(tenants(tenant("a", 5), tenant("b", 5)))
    overtaken = tenants(tenant("a", 3, "k"), tenant("b", 3, "k"))
    assert configuration.refusal(overtaken) == (400, "tenants a and b have the same key")


def test_a_refused_call_with_tenants_changes_nothing_else() -> None:
    configuration = Configuration(put([route("r", 1, "/r/")], first=True), HELD)
    call = tenants(tenant("c", 1, "k9", SECRET)) | {"RemoveItems": {"Routing": [{"Name": "r", "ConfigVersion": "r9"}]}}
    before = configuration.read()
    assert configuration.refusal(call) == (400, "tenants a and c have the same key")
    assert configuration.read() == before
    assert configuration.refusal(tenants(tenant("c", 1, "k9"))) is None


def test_what_was_taken_is_never_refused_though_its_key_is_anothers_now() -> None:
    moved = tenants(tenant("b", 2, "k2", SECRET), tenant("a", 2, "k1"))
    configuration = Configuration(HELD, moved)
    after = configuration.read()
    assert [configuration.refusal(call) for call in (HELD, moved)] == [None, None]
    assert configuration.read() == after


def test_versions_of_tenants_are_those_of_all_items() -> None:
    configuration = Configuration(tenants(tenant("a", 5, "k1")))
    assert configuration.refusal(tenants(tenant("a", 5, "k2"))) == (
        409,
        "tenant a r5 was accepted with another content",
    )
    assert configuration.refusal(tenants(tenant("a", 3, "k3"))) is None  # overtaken: it has no effect
    assert configuration.refusal(tenants(tenant("b", 1, "k3"))) is None  # so its key is free
    assert configuration.refusal(tenants(removed=(("a", 6),))) is None
    assert configuration.refusal(tenants(tenant("a", 5, "k1"))) is None  # sent again, and it stays removed
    assert configuration.read()["Customers"] == [tenant("b", 1, "k3")]
    assert configuration.refusal(tenants(tenant("a", 1, "x"), tenant("a", 2, "x"))) == (400, "tenant a: named twice")


def test_a_repaired_copy_knows_whose_the_keys_are() -> None:
    configuration = Configuration(HELD)
    state = configuration.state
    assert state.key_owner(b"k1") == "a"
    state.replace_ranges(range(RANGE_COUNT), [Item(TENANT, "b", 2, 9, b'{"ApiKeys":["k1"]}')], 9)
    assert (state.key_owner(b"k1"), state.key_owner(b"k2")) == ("b", None)


def test_calls_on_top_of_each_other_see_each_others_keys() -> None:
    below = Draft(Configuration(HELD).state)
    above = Draft(below)
    above.put([Item(TENANT, "a", 2, 9, b'{"ApiKeys":["k1"]}')])
    below.merge(above)
    assert (below.key_owner(SECRET.encode()), below.key_owner(b"k1")) == (None, "a")
    assert Draft(below).put([Item(TENANT, "c", 1, 10, b'{"ApiKeys":["k1"]}')]) == [KeyTaken("a", "c")]


def test_the_checks_cost_as_much_as_the_call_however_many_tenants_there_are(monkeypatch: pytest.MonkeyPatch) -> None:
    lookups = 0

    def counted(lookup: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            nonlocal lookups
            lookups += 1
            return lookup(*arguments)

        return call

    def cost(tenant_count: int) -> int:
        nonlocal lookups
        state = ConfigState()
        state.apply([Item(TENANT, f"t{i}", 1, i, b'{"ApiKeys":["%d"]}' % i) for i in range(tenant_count)], tenant_count)
        assert state.key_owner(b"0") == "t0"  # the index is there
        lookups = 0
        call = tenants(tenant("t0", 2, "0", "new"), tenant("t1", 2), removed=(("t2", 2),))
        apply_call(state, parse_call(msgspec.json.encode(call)).unwrap()).unwrap()
        return lookups

    for name in ("item", "key_owner", "route_at"):
        monkeypatch.setattr(ConfigState, name, counted(getattr(ConfigState, name)))
    monkeypatch.setattr(ConfigState, "items_since", None)
    assert cost(10) == cost(2000) > 0


def test_no_key_is_in_a_log_line_a_status_or_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    ring = LogRing()
    monkeypatch.setattr(frontend, "log", ring)
    fleet, answers = Fleet(3), list[Message | None]()
    operator = Operator(fleet, "a")
    operator.call(HELD)
    fleet.net.time.run(4 * SECOND)
    bodies = [tenants(tenant("c", 1, SECRET)), tenants(tenant("a", 1, SECRET, "other")), {"ReplaceItems": HELD}]
    for body in bodies:
        data = msgspec.json.encode(body)
        operator.machine.ask(fleet.up()[0], Patch(data, 0), SECOND, answers.append)
    fleet.net.time.run(6 * SECOND)
    assert [answer.status for answer in answers if isinstance(answer, Reply)] == [400, 409, 400]
    assert len(ring.tail()) == len(bodies)
    shown = [*ring.tail(), *map(repr, answers), *(repr(status_of(store)) for store in fleet.stores.values())]
    assert not [text for text in shown if SECRET in text]
