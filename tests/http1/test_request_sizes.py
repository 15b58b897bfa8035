"""Limits of heads and trailers that arrive in pieces, and what is complete in the same read as a bad message."""

from __future__ import annotations

import pytest
from httptools import HttpRequestParser

from lilacsill.http1.message import MAX_HEAD_BYTES, Reader

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED_POST = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_LIMIT = 1 << 20


def reader() -> Reader:
    return Reader(HttpRequestParser, BODY_LIMIT, keep_header_lines=True)


# Guards against a process that a single line without end fills.
@pytest.mark.parametrize("end_of_body", [b"0\r\nNote: ", b"0\r\nNote", b"1;"])
def test_a_line_without_end_behind_a_body_is_refused(end_of_body: bytes) -> None:
    reading = reader()
    reading.feed(CHUNKED_POST + b"1\r\nb\r\n" + end_of_body)
    for _ in range(2 * MAX_HEAD_BYTES // 1024):
        reading.feed(b"x" * 1024)
    assert reading.error is not None and reading.error.status == 400


def test_a_trailer_that_arrives_byte_by_byte_is_taken() -> None:
    reading, complete = reader(), []
    for byte in CHUNKED_POST + b"1\r\nb\r\n0\r\nNote: " + b"x" * 1000 + b"\r\n\r\n":
        complete += reading.feed(bytes([byte]))
    assert len(complete) == 1 and reading.error is None


def test_a_body_in_chunks_of_a_byte_is_taken_however_long() -> None:
    reading, complete = reader(), reader().feed(b"")
    reading.feed(CHUNKED_POST)
    for _ in range(MAX_HEAD_BYTES):
        for piece in (b"1\r\n", b"b\r\n"):
            complete += reading.feed(piece)
    complete += reading.feed(b"0\r\n\r\n")
    assert reading.error is None and complete[0].received == MAX_HEAD_BYTES


# Guards against requests that are refused for the size of others in the same read.
def test_the_size_of_a_head_is_its_own() -> None:
    reading = reader()
    count = 2 * MAX_HEAD_BYTES // len(GET)
    complete = reading.feed(GET * count + GET[:20])
    complete += reading.feed(GET[20:])
    assert reading.error is None and len(complete) == count + 1


@pytest.mark.parametrize("split", range(1, len(GET)))
def test_a_head_may_be_split_anywhere(split: int) -> None:
    reading = reader()
    complete = reading.feed(GET * 16 + GET[:split]) + reading.feed(GET[split:])
    assert reading.error is None and len(complete) == 17


def test_requests_before_one_for_another_protocol_are_complete() -> None:
    reading = reader()
    upgrade = b"GET /c HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"
    complete = reading.feed(GET * 2 + upgrade + GET)
    assert [message.target for message in complete] == [b"/a", b"/a"]
    assert reading.error is not None and reading.error.status == 400


def test_the_estimate_of_a_head_of_short_lines_is_far_above_its_size() -> None:
    reading = reader()
    lines = b"".join(b"n%d:\r\n" % number for number in range(1000))
    reading.feed(GET[:-2] + lines)
    assert reading.buffered_bytes > 200_000
    (message,) = reading.feed(b"\r\n")
    assert message.memory_bytes > 200_000 and reading.buffered_bytes == 0


@pytest.mark.parametrize(
    "last",
    [
        b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST /c HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: other\r\nContent-Length: 2\r\n\r\nbb",
    ],
)
def test_no_other_request_for_another_protocol_is_complete(last: bytes) -> None:
    reading = reader()
    complete = reading.feed(GET + last + GET)
    assert [message.target for message in complete] == [b"/a"]
    assert reading.error is not None and reading.error.status == 400
