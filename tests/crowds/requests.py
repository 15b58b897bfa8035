"""What the members of crowds send: requests of legal size that cost much, and bodies beyond the limits."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import cache, partial
from itertools import product
from string import ascii_lowercase

from .crowd import PIECE_BYTES, Pieces

HEAD_BYTES = 15 * 1024  # of a large head; MaxHeaderBytes is 16 KiB
ODD_NAMES = b"!#$%&'*+-.^_`|~"  # all bytes of a token that are neither letters nor digits
HOST = b"Host: h.example\r\nAttempt-Id: crowd\r\n"
MEGABYTE = 1024 * 1024


def start(method: bytes, path: bytes, fields: bytes = b"") -> bytes:
    """Return a head without its blank line."""
    return b"%b %b HTTP/1.1\r\n%b%b" % (method, path, HOST, fields)


@cache
def short_lines() -> bytes:
    """Return as many header lines with different names as fit, four to six bytes each."""
    names = ("".join(letters) for length in (1, 2, 3) for letters in product(ascii_lowercase, repeat=length))
    lines = b""
    while len(lines) < HEAD_BYTES:
        lines += next(names).encode() + b":\r\n"
    return lines


@cache
def odd_lines() -> bytes:
    """Return header lines with few, odd names that come again and again, without values."""
    lines = b"".join(b"%c:\r\n%c%c:\t\r\n" % (byte, byte, byte) for byte in ODD_NAMES)
    return lines * (HEAD_BYTES // len(lines))


@cache
def head(lines: Callable[[], bytes], path: bytes) -> bytes:
    """Return a complete request without a body."""
    return start(b"GET", path, lines()) + b"\r\n"


def plain_head(path: bytes) -> bytes:
    """Return a complete request as ordinary clients send it."""
    return start(b"GET", path) + b"\r\n"


def complete(method: bytes, path: bytes, body: bytes) -> bytes:
    """Return a complete request with a body."""
    return start(method, path, b"Content-Length: %d\r\n" % len(body)) + b"\r\n" + body


def complete_chunked(method: bytes, path: bytes, body: bytes) -> bytes:
    """Return a complete request with a body in one chunk, whose length isn't announced."""
    return start(method, path, b"Transfer-Encoding: chunked\r\n") + b"\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def repeated(request: bytes, count: int) -> Pieces:
    """Send the same request again and again, without waiting for responses."""
    return iter([request] * count)


def once(data: bytes) -> Pieces:
    """Send it."""
    return iter([data])


def body_pieces(size: int, piece_bytes: int = PIECE_BYTES) -> Iterator[bytes]:
    """Return a body in pieces."""
    piece = b"b" * piece_bytes
    for _ in range(size // piece_bytes):
        yield piece
    if size % piece_bytes:
        yield piece[: size % piece_bytes]


def upload(path: bytes, announced: int, sent: int, piece_bytes: int = PIECE_BYTES, before: bytes = b"") -> Pieces:
    """Send a body with a length, of which only a part may come.

    Args:
        path: Of the request.
        announced: Content-Length.
        sent: How many bytes of the body are sent.
        piece_bytes: How many of them at once.
        before: Requests that are sent first.
    """
    yield before + start(b"POST", path, b"Content-Length: %d\r\n" % announced) + b"\r\n"
    yield from body_pieces(sent, piece_bytes)


def uploads(path: bytes, size: int, count: int, before: bytes = b"") -> Pieces:
    """Send complete bodies one after the other."""
    yield before
    for _ in range(count):
        yield from upload(path, size, size)


def chunked_start(path: bytes) -> bytes:
    """Return the head of a request whose body has no length."""
    return start(b"POST", path, b"Transfer-Encoding: chunked\r\n") + b"\r\n"


def chunked_upload(path: bytes, sent: int) -> Pieces:
    """Send a body in chunks, without its end."""
    yield chunked_start(path)
    for piece in body_pieces(sent):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def long_trailer(path: bytes, sent: int) -> Pieces:
    """Send a short body, and a trailer field without its end."""
    yield chunked_start(path) + b"1\r\nb\r\n0\r\nNote: "
    yield from body_pieces(sent)


def crowd_of(make: Callable[..., Pieces], *arguments: object) -> Callable[[], Pieces]:
    """Return a function for `Crowd`."""
    return partial(make, *arguments)
