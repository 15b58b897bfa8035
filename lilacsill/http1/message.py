"""HTTP/1.1 messages (RFC 9112): parsing with llhttp within size limits, and encoding."""

from __future__ import annotations

from collections.abc import Iterable

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

MAX_HEAD_BYTES = 32 * 1024  # maximum size of the start line and the header fields
MAX_INTERIM_RESPONSES = 16  # 1xx responses accepted before the final response
VALID_STATUSES = range(100, 600)  # RFC 9110, section 15
# Estimated memory of a message without its bytes, and of each header line: tuples, strings and entries of dictionaries.
MESSAGE_OVERHEAD_BYTES, LINE_OVERHEAD_BYTES = 1024, 256

Headers = list[tuple[str, str]]
REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    401: "Unauthorized",
    403: "Forbidden",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class InvalidMessageError(Exception):
    """The received bytes are not a valid or supported message.

    Attributes:
        status: The HTTP status that reports the error to a client.
        reason: A description of the error.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Message:
    """A request or a response."""

    __slots__ = (
        "method",
        "target",
        "status",
        "fields",
        "repeated",
        "body",
        "received",
        "length",
        "until_close",
        "keep_alive",
        "version",
        "header_lines",
        "head_bytes",
    )

    def __init__(self) -> None:
        self.method = self.target = b""
        self.status = 0
        self.fields: dict[bytes, bytes] = {}  # first value of each header field, by lower-case name
        self.repeated: set[bytes] = set()  # names of the fields that occur more than once
        self.body = bytearray()  # received bytes of the body that `take_body` has not returned
        self.received = 0  # number of received bytes of the body
        self.length: int | None = None  # Content-Length in bytes; None if absent
        self.until_close = False  # whether the end of the connection ends the body
        self.keep_alive = False
        self.version = "1.1"
        self.header_lines: list[tuple[bytes, bytes]] | None = None  # in the order received; None: not kept
        self.head_bytes = 0  # size of the complete lines of the head

    @property
    def memory_bytes(self) -> int:
        """Estimate of the memory that the message takes; far more than its bytes if the head has many short lines."""
        lines = max(len(self.fields), len(self.header_lines or ()))
        return MESSAGE_OVERHEAD_BYTES + lines * LINE_OVERHEAD_BYTES + self.head_bytes + len(self.body)

    def take_body(self) -> bytes:
        """Remove and return the bytes of the body received since the last call."""
        data = bytes(self.body)
        self.body.clear()
        return data

    def header(self, name: bytes) -> str | None:
        """Return the value of a header field by its name in lower case; None if absent."""
        value = self.fields.get(name)
        return None if value is None else value.decode("latin-1")


class Reader:
    """An incremental parser, which returns complete messages. After an error it ignores further bytes.

    llhttp validates the syntax: characters, lengths, Content-Length together with Transfer-Encoding. It does not limit
    sizes, accepts any three digits as a status, and accepts responses delimited by the end of the connection; the
    reader checks all three.
    """

    def __init__(
        self,
        parser: type[HttpRequestParser] | type[HttpResponseParser],
        body_limit: int,
        until_close: bool = False,
        keep_header_lines: bool = False,
        head_limit: int = MAX_HEAD_BYTES,
    ) -> None:
        """Initialize a reader for a new connection.

        Args:
            parser: The llhttp parser class, for requests or for responses.
            body_limit: The maximum size of a body, in bytes.
            until_close: Whether the end of the connection may delimit a response; `close` then completes it.
            keep_header_lines: Whether to fill `Message.header_lines`, for heads that are forwarded unchanged.
            head_limit: The maximum size of a head, in bytes.
        """
        self._parser = parser(self)
        self._until_close, self._keep_header_lines = until_close, keep_header_lines
        self._body_limit, self._head_limit = body_limit, head_limit  # of the current message
        self._next_body_limit, self._next_head_limit = body_limit, head_limit
        self._complete: list[Message] = []
        self.in_body = False
        self._partial_head_bytes = 0  # of the reads that had nothing but a part of the current head
        self._framing_bytes = 0  # of the reads since the last byte of the current body: chunk headers and trailers
        self._interim_responses = 0  # consecutive
        self.current: Message | None = None  # the message being received, if any
        self.error: InvalidMessageError | None = None

    def set_limits(self, body_limit: int, head_limit: int) -> None:
        """Change the maximum sizes. Those of a message that is being received are raised, but never lowered.

        Args:
            body_limit: The maximum size of a body, in bytes.
            head_limit: The maximum size of a head, in bytes.
        """
        self._next_body_limit, self._next_head_limit = body_limit, head_limit
        self._body_limit = max(self._body_limit, body_limit)
        self._head_limit = max(self._head_limit, head_limit)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that these bytes complete; set `error` if the bytes after them are invalid."""
        if self.error is not None:
            return []
        before, was_in_body = self.current, self.in_body
        received = before.received if before is not None else 0
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.error = InvalidMessageError(400, "no other protocol is spoken here")
            self._drop_upgrade()
        except HttpParserError as error:
            # If a callback raised an error, for example for a limit, the parser wraps it; `_stop` has already set it.
            self.error = self.error or InvalidMessageError(400, f"malformed message: {error}")
        complete, self._complete = self._complete, []
        if before is not None and self.current is before:
            self._check_unparsed(before, len(data), was_in_body, received)
        elif self.current is not None and not self.in_body and not complete:
            self._count_partial_head(len(data))
        return complete

    def _drop_upgrade(self) -> None:
        """Drop the request that asks for another protocol, or all responses; requests before it are served."""
        if not isinstance(self._parser, HttpRequestParser):
            self._complete.clear()
        elif self.current is None:
            self._complete.pop()

    def _check_unparsed(self, message: Message, size: int, was_in_body: bool, received: int) -> None:
        """Limit the parts of a line that llhttp has taken but not reported yet, in a head or in a trailer.

        Args:
            message: The message that was being received before the read, and still is.
            size: The size of the read.
            was_in_body: Whether the read began after the head.
            received: Bytes of the body that had been received before.
        """
        if not self.in_body:
            self._count_partial_head(size)
        elif was_in_body and message.received == received:
            self._framing_bytes += size
            if self._framing_bytes > self._head_limit:
                self.error = self.error or InvalidMessageError(400, "trailer too large")
        else:
            self._framing_bytes = 0

    def _count_partial_head(self, size: int) -> None:
        self._partial_head_bytes += size
        if self._partial_head_bytes > self._head_limit:
            self.error = self.error or InvalidMessageError(400, "head too large")

    @property
    def buffered_bytes(self) -> int:
        """Estimate of the memory that the message takes which is being received."""
        if self.current is None:
            return 0
        return self.current.memory_bytes + self._partial_head_bytes + self._framing_bytes

    def close(self) -> Message | None:
        """Handle the end of the connection; return the message that it completes, if any."""
        message = self.current
        if message is None or not message.until_close or not self.in_body or self.error is not None:
            return None
        self.current = None
        return message

    def end(self) -> None:
        """Release the parser; `feed` then ignores all bytes.

        Parser and reader form a reference cycle, which otherwise only the garbage collector would free.
        """
        self.error = self.error or InvalidMessageError(400, "the connection is over")
        del self._parser

    # Callbacks of llhttp's parser

    def on_message_begin(self) -> None:
        """Start the next message."""
        self.current, self.in_body = Message(), False
        self._body_limit, self._head_limit = self._next_body_limit, self._next_head_limit
        if self._keep_header_lines:
            self.current.header_lines = []
        self._partial_head_bytes = self._framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        assert self.current is not None
        self.current.target += url
        self.current.head_bytes += len(url)
        if self.current.head_bytes > self._head_limit:
            self._stop(400, "head too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are ignored."""
        message = self.current
        if self.in_body or message is None:  # a trailer
            return
        message.head_bytes += len(name) + len(value) + 4  # ": " and the line break
        if message.head_bytes > self._head_limit:
            self._stop(400, "head too large")
        value = value.strip(b" \t")  # llhttp keeps the white space after a value (RFC 9110, 5.5)
        if message.header_lines is not None:
            message.header_lines.append((name, value))
        name = name.lower()
        if name in message.fields:
            message.repeated.add(name)
        else:
            message.fields[name] = value

    def on_headers_complete(self) -> None:
        """Check the head and set the attributes of the message that describe its body and version."""
        message, parser = self.current, self._parser
        assert message is not None
        self.in_body = True
        if parser.get_http_version() not in ("1.1", "1.0"):
            self._stop(400, "unknown version of HTTP")
        if isinstance(parser, HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
            if message.status not in VALID_STATUSES:
                self._stop(502, "invalid status")
            bodiless = message.status < 200 or message.status in (204, 304)
            if not bodiless and message.fields.keys().isdisjoint((b"content-length", b"transfer-encoding")):
                # The end of the connection delimits it, so a truncated response cannot be told from a complete one.
                if not self._until_close:
                    self._stop(502, "answer of unknown length")
                message.until_close = True
        if b"content-length" in message.fields:
            message.length = int(message.fields[b"content-length"])
            if message.length > self._body_limit:
                self._stop(413, "body too large")
        message.keep_alive = parser.should_keep_alive()
        message.version = parser.get_http_version()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        assert self.current is not None
        self.current.body += body
        self.current.received += len(body)
        if self.current.received > self._body_limit:
            self._stop(413, "body too large")

    def on_message_complete(self) -> None:
        """Store the complete message; interim (1xx) responses are only counted."""
        message, self.current = self.current, None
        assert message is not None
        if 100 <= message.status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._stop(502, "no answer but interim ones")
        else:
            self._interim_responses = 0
            self._complete.append(message)

    def _stop(self, status: int, reason: str) -> None:
        self.error = InvalidMessageError(status, reason)
        raise self.error


def origin_form(target: bytes) -> bytes:
    """Return path and query of a request target, which may be in absolute form (RFC 9112, 3.2.2)."""
    if target[:7].lower() != b"http://":
        return target
    authority, slash, rest = target[7:].partition(b"/")
    path, question_mark, query = authority.partition(b"?")  # the path may be empty
    return slash + rest if slash and not question_mark else b"/" + question_mark + query + slash + rest


def encode_request(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Encode a complete request."""
    if body or method != b"GET":
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
    return encode_request_head(method, target, headers) + body


def encode_request_head(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the request line and the header fields, with the blank line."""
    return (
        b"\r\n".join([b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % header for header in headers)]) + b"\r\n\r\n"
    )


def encode_response(status: int, headers: Headers, body: bytes, bodiless: bool = False) -> bytes:
    """Encode a complete response.

    Args:
        status: The HTTP status.
        headers: Header fields without Content-Length, which is added.
        body: The body.
        bodiless: Whether to omit the body, as in a response to HEAD.
    """
    return encode_response_head(status, [*headers, ("Content-Length", str(len(body)))]) + (b"" if bodiless else body)


def encode_response_head(status: int, headers: Headers) -> bytes:
    """Encode the status line and the header fields, with the blank line."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\n{fields}\r\n".encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a chunked body (RFC 9112, 7.1); an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
