"""Heads of responses: which status codes and names of header fields the reader accepts (RFC 9110, 5.1 and 15)."""

from __future__ import annotations

import string

import pytest
from httptools import HttpResponseParser

from lilacsill.http1.message import Reader

BODY_LIMIT = 1000
TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~" + string.digits.encode() + string.ascii_letters.encode())
SWITCHING_PROTOCOLS = 101
FIELD_NAMES = [b"Note", b"Content-Length", b"Transfer-Encoding", b"Connection", b"Upgrade", b"Server-Seal"]


def is_accepted(response: bytes, piece_bytes: int | None = None) -> bool:
    """Return whether the reader accepts a response, received in pieces of this size or at once."""
    reader = Reader(HttpResponseParser, BODY_LIMIT, until_close=True)
    step = piece_bytes or len(response)
    for start in range(0, len(response), step):
        reader.feed(response[start : start + step])
    return reader.error is None


# Guards against responses with an invalid status, such as 000, which reached clients as responses.
def test_a_status_is_accepted_from_100_to_599_only() -> None:
    accepted = [code for code in range(1000) if is_accepted(b"HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n" % code)]
    assert accepted == [code for code in range(100, 600) if code != SWITCHING_PROTOCOLS]


@pytest.mark.parametrize("status", [b"", b"0", b"20", b"0200", b"2000", b"-20", b"2 0", b"20x", b"200\x01"])
def test_a_status_has_three_digits(status: bytes) -> None:
    assert not is_accepted(b"HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n" % status)


# Guards against responses of protocols that llhttp knows beside HTTP, which reach clients as responses.
def test_a_response_of_another_protocol_is_malformed() -> None:
    protocols = [b"HTTP/1.1", b"HTTP/1.0", b"RTSP/1.0", b"RTSP/1.1", b"ICE/1.0", b"ICE/1.1"]
    accepted = [name for name in protocols if is_accepted(name + b" 200 X\r\nContent-Length: 0\r\n\r\n")]
    assert accepted == [b"HTTP/1.1", b"HTTP/1.0"]


def test_a_response_before_one_with_an_invalid_status_stays_valid() -> None:
    reader = Reader(HttpResponseParser, BODY_LIMIT)
    complete = reader.feed(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")
    assert [response.status for response in complete] == [200] and reader.error is not None


# Guards against names with a blank or a control byte, which may hide the length or be forwarded.
@pytest.mark.parametrize("field_before", [b"", b"Content-Length: 0\r\n"], ids=["first", "second"])
@pytest.mark.parametrize("name", FIELD_NAMES)
def test_a_byte_that_is_not_of_a_token_makes_a_name_invalid(name: bytes, field_before: bytes) -> None:
    wrong = []
    for byte in set(range(256)) - TOKEN_BYTES - set(b":"):  # a colon ends the name
        for at in range(len(name) + 1):
            inserted = name[:at] + bytes([byte]) + name[at:]
            if is_accepted(b"HTTP/1.1 200 X\r\n%b%b: 0\r\n\r\n" % (field_before, inserted)):
                wrong.append(inserted)
    assert not wrong


@pytest.mark.parametrize("piece_bytes", [None, 1, 7])
@pytest.mark.parametrize("name", [b"No te", b"Note ", b"Note\t", b" Note", b"\tNote", b"No\x00te", b"No\x7fte"])
def test_a_malformed_name_is_found_in_pieces_and_in_trailers(name: bytes, piece_bytes: int | None) -> None:
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n"
    assert is_accepted(head + b"Note: 1\r\n\r\n0\r\nNote: 1\r\n\r\n", piece_bytes)
    assert not is_accepted(head + name + b": 1\r\n\r\n0\r\n\r\n", piece_bytes)
    assert not is_accepted(head + b"\r\n0\r\n" + name + b": 1\r\n\r\n", piece_bytes)
