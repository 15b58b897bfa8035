"""UNASKED, ROUTE, CONFIG: a request runs for the tenant that has its key, and a backend never sees the key."""

from __future__ import annotations

import pytest

from lilacsill.http1.message import encode_chunk
from lilacsill.mesh.proxy.tenant_check import request_priority
from lilacsill.mesh.runtime.log_ring import log
from tests.mesh.stage import request
from tests.mesh.shared_stage import ACME_KEY, OTHER_KEY, SharedStage, shared_stage, tenant


def seen_at(s: SharedStage, name: str) -> list[tuple[bytes | None, bytes | None]]:
    """Key and tenant of each request that the backend got."""
    return [(r.fields.get(b"credential"), r.fields.get(b"customer")) for r in s.backends[name].ran]


def drop_all_tenants(s: SharedStage) -> None:
    for name in ("acme", "other", "limited"):
        dropped = tenant(name, [], version=9)
        dropped.body = None
        s.apply(dropped)


@pytest.mark.parametrize("key", ["unknown", "", None])
def test_a_key_that_no_tenant_has_is_refused_where_the_configuration_is_current(key: str | None) -> None:
    with shared_stage() as s:
        one = s.add("one")
        assert s.get(s.read(1, key))[0] == 401
        s.is_current = False
        assert s.get(s.read(2, key))[0] == 503
        assert not one.ran
        assert s.fronts[0].forwarder.counters.refusals == {"unknown key": 1, "key not decided": 1}


def test_a_public_route_needs_no_key_and_names_the_tenant_of_one() -> None:
    with shared_stage() as s:
        s.add("one")
        for number, key in enumerate((None, "unknown", ACME_KEY)):
            assert s.get(s.read(number, key, "/open/a", "Customer: forged\r\n"))[0] == 200
        assert seen_at(s, "one") == [(None, None), (None, None), (None, b"acme")]


def test_a_backend_sees_the_tenant_and_not_the_key_also_on_a_retry() -> None:
    with shared_stage() as s:
        one, _ = s.add("one"), s.add("two")
        one.script = ["closes"]
        s.prefer("one")
        assert s.get(s.read(1, more="customer: forged\r\ncredential: another\r\n"))[0] == 200
        assert seen_at(s, "one") == seen_at(s, "two") == [(None, b"acme")]
        lines = [line for r in (*one.ran, *s.backends["two"].ran) for line in r.header_lines or []]
        assert not any(ACME_KEY.encode() in value or value in (b"forged", b"another") for _, value in lines)


@pytest.mark.parametrize("framing", ["length", "chunks and trailers", "a long body"])
@pytest.mark.parametrize(
    "more",
    [
        "CUSTOMER: forged\r\ncustomer: forged\r\n",
        "Connection: keep-alive\r\nConnection: customer\r\nCustomer:\tforged\r\n",
        "Connection: Credential, Customer, Calling-Service\r\n",
        f"cReDeNtIaL: {OTHER_KEY}\r\n",
    ],
)
def test_no_form_of_a_request_shows_the_key_or_names_another_tenant(framing: str, more: str) -> None:
    body = bytes(200_000 if framing == "a long body" else 3)
    if framing == "length":
        data = request("POST", "/writes/a", 1, body, f"Credential: {ACME_KEY}\r\n{more}")
    else:
        head = f"Credential: {ACME_KEY}\r\n{more}Transfer-Encoding: chunked\r\n"
        trailers = f"0\r\nCustomer: forged\r\nCredential: {ACME_KEY}\r\n\r\n"
        data = request("POST", "/writes/a", 1, more=head) + encode_chunk(body) + trailers.encode()
    with shared_stage() as s:
        one = s.add("one")
        assert s.get(data)[0] == 200
        lines = one.ran[0].header_lines or []
        assert [value for name, value in lines if name.lower() == b"customer"] == [b"acme"]
        assert not any(
            text in value for _, value in lines for text in (ACME_KEY.encode(), OTHER_KEY.encode(), b"forged")
        )


def test_a_key_that_was_taken_away_ends_with_the_next_request_of_an_open_connection() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["answers late"]
        client = s.connect(s.read(1))
        s.until(lambda: len(one.ran) == 1, "the first request runs")
        s.apply(tenant("acme", ["another"], version=2))
        client.send(s.read(2) + s.read(3, "another"))
        s.until(lambda: len(client.answers) == 3, "there are all responses")
        assert [r.status for r in client.answers] == [200, 401, 200]


def test_tenants_that_have_not_come_yet_are_waited_for() -> None:
    with shared_stage() as s:
        s.add("one")
        drop_all_tenants(s)
        s.is_current = False
        assert s.get(s.read(1))[0] == 503
        s.is_current = True
        assert s.get(s.read(2))[0] == 200 and s.get(s.read(3, None))[0] == 200


def test_a_request_without_a_key_waits_for_the_first_complete_configuration() -> None:
    with shared_stage() as s:
        one = s.add("one")
        drop_all_tenants(s)
        s.is_current = False
        assert s.get(s.read(1, None))[0] == 503
        assert not one.ran
        assert s.get(s.read(2, None, "/open/a"))[0] == 200
        s.forwarder.config.was_complete = True
        assert s.get(s.read(3, None))[0] == 200


@pytest.mark.parametrize("has_tenants", [True, False])
def test_a_key_that_only_a_newer_configuration_may_know_is_not_taken_for_none(has_tenants: bool) -> None:
    with shared_stage() as s:
        one = s.add("one")
        s.is_current, s.forwarder.config.was_complete = False, True
        if not has_tenants:
            drop_all_tenants(s)
        assert s.get(s.read(1, "new", "/open/a"))[0] == 503
        assert not one.ran
        s.is_current = True
        assert s.get(s.read(2, "new", "/open/a"))[0] == 200
        assert seen_at(s, "one") == [(None, None)]


@pytest.mark.parametrize("name", ["a\r\nCustomer: acme", "a\nb", "a\x00"])
def test_a_tenant_whose_name_no_header_can_carry_has_no_keys(name: str) -> None:
    with shared_stage() as s:
        one = s.add("one")
        s.apply(tenant(name, ["key"]), tenant("M\u00fcller", ["other key"]))
        assert s.get(s.read(1, "key"))[0] == 401
        assert s.get(s.read(2, "other key"))[0] == 200
        assert seen_at(s, "one") == [(None, "M\u00fcller".encode())]
        assert len(one.ran) == 1


def test_keys_are_in_no_log_line() -> None:
    with shared_stage() as s:
        one = s.add("one")
        one.script = ["closes"]
        s.get(s.read(1, "unknown"))
        s.get(s.keyed(2))
        assert not any(ACME_KEY in line or "unknown key" in line for line in log.tail())


def test_the_rank_of_the_tenant_comes_before_that_of_the_route() -> None:
    with shared_stage() as s:
        config = s.forwarder.config
        reads, keyed = config.match(b"h.example", b"/reads/a"), config.match(b"h.example", b"/keyed/a")
        acme, other = config.tenants.find_by_key(ACME_KEY.encode()), config.tenants.find_by_key(OTHER_KEY.encode())
        assert reads is not None and keyed is not None
        assert request_priority(reads, other, True) < request_priority(reads, acme, True)
        assert request_priority(reads, None, True) == request_priority(reads, other, True)
        assert request_priority(reads, None, False) == reads.priority
