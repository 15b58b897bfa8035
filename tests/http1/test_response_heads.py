"""Heads of responses: which status codes the reader accepts (RFC 9110, section 15)."""

from __future__ import annotations

import pytest
from httptools import HttpResponseParser

from lilacsill.http1.message import Reader

BODY_LIMIT = 1000
SWITCHING_PROTOCOLS = 101


def is_accepted(response: bytes) -> bool:
    """Return whether the reader accepts a response."""
    reader = Reader(HttpResponseParser, BODY_LIMIT, until_close=True)
    reader.feed(response)
    return reader.error is None


# Guards against responses with an invalid status, such as 000, which reached clients as responses.
def test_a_status_is_accepted_from_100_to_599_only() -> None:
    accepted = [code for code in range(1000) if is_accepted(b"HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n" % code)]
    assert accepted == [code for code in range(100, 600) if code != SWITCHING_PROTOCOLS]


@pytest.mark.parametrize("status", [b"", b"0", b"20", b"0200", b"2000", b"-20", b"2 0", b"20x", b"200\x01"])
def test_a_status_has_three_digits(status: bytes) -> None:
    assert not is_accepted(b"HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n" % status)


def test_a_response_before_one_with_an_invalid_status_stays_valid() -> None:
    reader = Reader(HttpResponseParser, BODY_LIMIT)
    complete = reader.feed(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")
    assert [response.status for response in complete] == [200] and reader.error is not None
