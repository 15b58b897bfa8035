"""Operators' calls to a registry: which are forwarded, to whom, and what is answered without the store."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from lilacsill.address import Address
from lilacsill.mesh.registry.core_hosts import CoreHosts
from lilacsill.mesh.registry.operator_api import CALL_TIMEOUT_US, MIN_ATTEMPT_US, OperatorApi
from lilacsill.mesh.runtime.messages import CallerCheck, CallerCheckReply, Message, Patch, Read, Reply

OnReply = Callable[[Message | None], None]
ADDRESS = "b:0"  # of the registry, for requests from the store


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


class Caller:
    """A `Responder` that keeps the responses."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []
        self.is_connected = True

    def __call__(self, status: int, body: bytes) -> None:
        self.responses.append((status, body))

    def is_awaited(self) -> bool:
        return self.is_connected and not self.responses


def api_on(stores: Any) -> OperatorApi:
    """Return the API of the registry on host b."""
    reactor: Any = SimpleNamespace(now=lambda: stores.now_us)
    return OperatorApi(reactor, stores, ADDRESS, Address("b", 1), CoreHosts("b", ["c", "a"]))


def call(stores: Stores, method: bytes, target: bytes) -> list[tuple[int, bytes]]:
    """Make a call to the registry on host b, and return the responses."""
    caller = Caller()
    request: Any = SimpleNamespace(method=method, target=target, body=b"body")
    api_on(stores).handle(request, caller)
    return caller.responses


def test_a_change_and_a_read_go_to_the_store_on_this_machine() -> None:
    stores = Stores(b=Reply(200, b"{}"))
    for method in (b"PATCH", b"GET"):
        assert call(stores, method, b"/api/config?x=1") == [(200, b"{}")]
    patch = stores.requests[0][1]
    assert isinstance(patch, Patch) and patch.origin is not None and patch.origin.registry == ADDRESS
    assert stores.requests == [("b", Patch(b"body", 0, patch.origin)), ("b", Read(0))]


class WaitingStores(Stores):
    """Members of the store that reply when the test wants it."""

    def client(self, address: Address) -> SimpleNamespace:
        def request(message: Message, timeout_us: int, on_reply: OnReply) -> None:
            self.requests.append((address.host, message))
            self.on_reply = on_reply

        return SimpleNamespace(request=request)


def test_a_registry_knows_whether_the_caller_of_a_change_still_waits() -> None:
    """Guards against a change that is accepted for a caller that has left (review, case 1)."""
    stores, caller = WaitingStores(), Caller()
    api = api_on(stores)
    request: Any = SimpleNamespace(method=b"PATCH", target=b"/api/config", body=b"body")
    api.handle(request, caller)
    ((_, patch),) = stores.requests
    assert isinstance(patch, Patch) and patch.origin is not None
    number = patch.origin.number

    def is_waiting(number: int) -> bool:
        replies: list[Message] = []
        api.handle_caller_check(CallerCheck(number), replies.append)
        (reply,) = replies
        assert isinstance(reply, CallerCheckReply)
        return reply.is_waiting

    assert is_waiting(number) and not is_waiting(number + 1)
    caller.is_connected = False
    assert not is_waiting(number)
    caller.is_connected = True
    stores.now_us = CALL_TIMEOUT_US  # the timers of a process that was suspended run late
    assert not is_waiting(number)
    stores.now_us = CALL_TIMEOUT_US - 1
    assert is_waiting(number)
    stores.on_reply(Reply(200, b"{}"))
    assert caller.responses == [(200, b"{}")]
    caller.responses.clear()
    assert not is_waiting(number), "a change with a response is forgotten"


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
