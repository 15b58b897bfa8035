"""Operators' calls to a registry: which are forwarded, to whom, and what is answered without the store."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from lilacsill.address import Address
from lilacsill.mesh.registry.core_hosts import CoreHosts
from lilacsill.mesh.registry.operator_api import CALL_TIMEOUT_US, MIN_ATTEMPT_US, OperatorApi
from lilacsill.mesh.runtime.messages import Message, Patch, Read, Reply

OnReply = Callable[[Message | None], None]


class Stores:
    """Members of the store, by the replies that are given; `requests` are those that they got."""

    def __init__(self, **replies: Message | None) -> None:
        self.now_us = 0
        self.took_us = 0  # by each request
        self.requests: list[tuple[str, Message]] = []
        self._replies = {name.replace("_", "."): reply for name, reply in replies.items()}

    def client(self, address: Address) -> SimpleNamespace:
        def request(message: Message, timeout_us: int, on_reply: OnReply) -> None:
            self.requests.append((address.host, message))
            self.now_us += self.took_us
            on_reply(self._replies.get(address.host))

        return SimpleNamespace(request=request)

    @property
    def hosts(self) -> list[str]:
        return [host for host, _ in self.requests]


def call(stores: Stores, method: bytes, target: bytes) -> list[tuple[int, bytes]]:
    """Make a call to the registry on host b, and return the responses."""
    responses: list[tuple[int, bytes]] = []
    reactor: Any = SimpleNamespace(now=lambda: stores.now_us)
    rpc_clients: Any = stores
    api = OperatorApi(reactor, rpc_clients, Address("b", 1), CoreHosts("b", ["c", "a"]))
    request: Any = SimpleNamespace(method=method, target=target, body=b"body")
    api.handle(request, lambda status, body: responses.append((status, body)))
    return responses


@pytest.mark.parametrize(("method", "message"), [(b"PATCH", Patch(b"body", 0)), (b"GET", Read(0))])
def test_a_change_and_a_read_go_to_the_store_on_this_machine(method: bytes, message: Message) -> None:
    stores = Stores(b=Reply(200, b"{}"))
    assert call(stores, method, b"/api/config?x=1") == [(200, b"{}")]
    assert stores.requests == [("b", message)]


def test_a_call_without_a_reply_goes_to_the_other_members_in_order() -> None:
    stores = Stores(c=Reply(409, b"no"))
    assert call(stores, b"PATCH", b"/api/config") == [(409, b"no")]
    assert stores.hosts == ["b", "a", "c"]


def test_a_call_that_no_member_replies_to_is_answered_once() -> None:
    stores = Stores()
    assert call(stores, b"GET", b"/api/config") == [(503, b'{"Message":"the store gives no answer"}')]
    assert stores.hosts == ["b", "a", "c"]


def test_no_further_member_is_tried_with_too_little_time_left() -> None:
    stores = Stores(a=Reply(200, b"{}"))
    stores.took_us = CALL_TIMEOUT_US - MIN_ATTEMPT_US + 1
    assert [status for status, _ in call(stores, b"GET", b"/api/config")] == [503]
    assert stores.hosts == ["b"]


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        (b"DELETE", b"/api/config", 405),
        (b"POST", b"/api/servers/i-1/heartbeat", 503),
        (b"GET", b"/elsewhere", 404),
    ],
)
def test_other_calls_are_answered_without_the_store(method: bytes, target: bytes, status: int) -> None:
    stores = Stores()
    assert [answered for answered, _ in call(stores, method, target)] == [status]
    assert stores.requests == []
