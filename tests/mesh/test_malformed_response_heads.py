"""MIXED: a response of a backend whose head is not HTTP reaches no client, neither as it is nor in part."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lilacsill.http1.message import Message
from tests.mesh.stage import Client, Stage, answer, request, stage

BODY = b"of a malformed response"
SIZES = pytest.mark.parametrize("body", [BODY, BODY * 10_000], ids=["short", "streamed"])
STATUSES = pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
MALFORMED = [b"%b e", b"%b ", b"%b\t", b" %b", b"\t%b", b"%b\x00", b"\x01%b", b"%b\x7f"]
NAMES = pytest.mark.parametrize("name", MALFORMED)

Prepared = Callable[[Message], bytes]


def exchange(s: Stage, data: bytes, prepared: Prepared) -> Client:
    """One request, whose first backend sends what is prepared; a second one is well."""
    one = s.add("one")
    s.add("two")
    one.prepared, one.script = prepared, ["sends what is prepared"]
    s.prefer("one")
    client = s.client(data)
    s.until(lambda: bool(client.answers) or client.over, "the answer or the end")
    return client


def assert_fails(client: Client) -> None:
    """The client got an error of the proxy itself, with nothing of the backend's response."""
    assert [response.status for response in client.answers] == [502]
    assert client.answers[0].header(b"server-seal") is None and BODY not in client.answers[0].body


def assert_write_fails(prepared: Prepared) -> None:
    with stage() as s:
        assert_fails(exchange(s, request("POST", "/writes/a", 1, b"body"), prepared))
        assert not s.backends["two"].ran


def assert_read_is_retried(prepared: Prepared) -> None:
    with stage() as s:
        client = exchange(s, request("GET", "/reads/a", 1), prepared)
        assert [(response.status, bytes(response.body)) for response in client.answers] == [(200, b"two /reads/a")]


# Guards against a status such as 000, which clients got as the answer.
@SIZES
@STATUSES
def test_a_write_that_is_answered_with_an_invalid_status_fails(status: bytes, body: bytes) -> None:
    assert_write_fails(lambda message: answer(message, body, status + b" Odd"))


@SIZES
@STATUSES
def test_a_read_that_is_answered_with_an_invalid_status_is_tried_elsewhere(status: bytes, body: bytes) -> None:
    assert_read_is_retried(lambda message: answer(message, body, status + b" Odd"))


def test_an_invalid_status_promises_nothing() -> None:
    assert_write_fails(lambda message: answer(message, BODY, b"000 Odd", b"Not-Run: 1\r\n"))


def test_a_connection_with_an_invalid_status_is_not_used_again() -> None:
    with stage() as s:
        exchange(s, request("POST", "/writes/a", 1, b"body"), lambda message: answer(message, b"", b"000 Odd"))
        second = s.client(request("POST", "/writes/b", 2, b"body"))
        s.until(lambda: bool(second.answers), "the second answer")
        assert second.answers[0].status == 200 and len(s.backends["one"].connections) == 2


# Guards against a name with a blank or a control byte, which may be passed on.
@SIZES
@NAMES
def test_a_write_whose_answer_has_a_malformed_field_name_fails(name: bytes, body: bytes) -> None:
    assert_write_fails(lambda message: answer(message, body, more=name % b"Note" + b": x\r\n"))


@NAMES
def test_a_read_whose_answer_has_a_malformed_field_name_is_tried_elsewhere(name: bytes) -> None:
    assert_read_is_retried(lambda message: answer(message, BODY, more=name % b"Note" + b": x\r\n"))


# Guards against a body that is not the backend's: without its length, or with chunks taken for the body.
@pytest.mark.parametrize("framing", [b"Content-Length: %d", b"Transfer-Encoding: chunked"])
@NAMES
def test_a_malformed_name_does_not_hide_how_a_body_ends(name: bytes, framing: bytes) -> None:
    field, _, value = framing.partition(b":")

    def prepared(message: Message) -> bytes:
        head, _, _ = answer(message, b"").partition(b"Content-Length")
        return head + name % field + b":" + value.replace(b"%d", b"4") + b"\r\n\r\n" + BODY

    assert_write_fails(prepared)
