"""The client of discovery, which watches the list of backends with long polls."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from random import Random

from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.clock import Clock
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import InvalidMessageError, Reader, encode_request
from lilacsill.net.connecting import connect

from ..descriptors import EXHAUSTION_ERRNOS
from .listing import Listing, ListingParser

log = logging.getLogger(__name__)

PATH = "/catalog/members"
WATCH_WAIT_MS = 20_000  # maximum wait of a call for a change; long, to keep the load on the shared discovery low
RESPONSE_TIMEOUT_S = 2.0  # for the response, in addition to the wait
# If lists are pushed, calls are answered on the local machine at no cost. The wait is short, since a call that hangs
# while discovery is down delays the updates after it.
PUSHED_WAIT_MS = 2_000
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # before a failed watch is retried; doubled after each failure
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class _DiscoveryConnection(Connection):
    """A connection to discovery, which carries one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = Reader(HttpResponseParser, MAX_RESPONSE_BYTES)
        self._response: asyncio.Future[bytes] | None = None

    async def get(self, target: str) -> bytes:
        """Send a GET request and return the body of the response, whose status must be 200.

        Raises:
            ConnectionError: The response has another status, or the connection was closed.
            InvalidMessageError: The response is malformed or too large.
        """
        self._response = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", b"discovery")]))
        return await self._response

    def connection_lost(self) -> None:
        """Release the reader."""
        super().connection_lost()
        self._reader.end()

    def on_data(self, data: bytes) -> None:
        """Read a response."""
        complete = self._reader.feed(data)
        if not complete or self._response is None:
            # Bytes received between calls must not be taken for the response to the next call.
            if self._reader.error is not None or self._response is None:
                self._fail(self._reader.error or ConnectionError("received data without a pending call"))
            return
        response = complete[0]
        if not response.keep_alive or len(complete) > 1 or self._reader.error is not None:
            self.closed = self.discarding = True
        self._finish(
            None if response.status == 200 else ConnectionError(f"response status {response.status}"), response.body
        )

    def on_fault(self) -> None:
        """Fail the call."""
        self._fail(ConnectionError("internal error while reading the response"))

    def on_end(self) -> None:
        """Fail the call."""
        self._fail(ConnectionError("connection closed before the response was complete"))

    def _fail(self, error: Exception) -> None:
        self.closed = self.discarding = True
        self._finish(error)

    def _finish(self, error: Exception | None, body: bytes | bytearray = b"") -> None:
        response, self._response = self._response, None
        if response is None or response.done():
            return
        if error is None:
            response.set_result(bytes(body))
        else:
            response.set_exception(error)


class Discovery:
    """The client of discovery. A watch repeats its call until a call fails.

    If lists are polled, the decision module requests each watch and is notified of each failure. If lists are
    `pushed`, the decision module expects updates without a request: `follow` then restarts the watch after failures,
    which are not reported.

    Attributes:
        descriptors_exhausted: Called when the kernel has no descriptor left, with the purpose and number of the
            descriptors needed.
    """

    def __init__(
        self,
        clock: Clock,
        address: Address,
        parser: ListingParser,
        revision: int,
        connect_s: float,
        pushed: bool = False,
        seed: int = 0,
    ) -> None:
        self._clock = clock
        self._address, self._parser, self._connect_s = address, parser, connect_s
        self._pushed, self._rng = pushed, Random(seed)
        self._wait_ms = PUSHED_WAIT_MS if pushed else WATCH_WAIT_MS
        self._revision: int | None = revision  # None: the next call asks for the complete list
        self._watching: asyncio.Task[None] | None = None
        self.descriptors_exhausted: Callable[[str, int], None] = lambda what, needs: None
        self._fetches: set[asyncio.Task[None]] = set()

    def watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Start a watch unless one runs: report each change, and None once when the watch fails."""
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(on_listing))

    def follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        """If lists are pushed, report each change from now on and retry after failures; else do nothing."""
        if self._pushed:
            self._watching = asyncio.get_running_loop().create_task(self._follow(on_listing))

    def fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Request the complete list once; report the list, or None if the call fails."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_listing))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def set_address(self, address: Address, on_listing: Callable[[Listing | None], None]) -> None:
        """Change the address of discovery and request the complete list from it.

        Calls to the old address are cancelled without a report. Revisions of the old address are not valid at the new
        one.
        """
        if address == self._address:
            return
        self.stop()
        self._address, self._revision, self._watching = address, None, None
        if self._pushed:
            self.follow(on_listing)
        else:
            self.watch(on_listing)

    def forget_revision(self) -> None:
        """Make the next call of the watch request the complete list."""
        self._revision = None

    def stop(self) -> None:
        """Cancel all calls without a report."""
        for task in (self._watching, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        await self._watch_until_failure(on_listing)
        self._watching = None  # reset before the report, since the callback may start the next watch
        on_listing(None)

    async def _follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        delay_s = RETRY_DELAY_S
        while True:
            succeeded = await self._watch_until_failure(on_listing)
            delay_s = RETRY_DELAY_S if succeeded else min(2 * delay_s, MAX_RETRY_DELAY_S)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))

    async def _watch_until_failure(self, on_listing: Callable[[Listing | None], None]) -> bool:
        """Repeat the call until one fails; return whether any of them succeeded."""
        connection: _DiscoveryConnection | None = None
        succeeded = False
        try:
            while True:
                connection = await self._open(connection)
                if self._revision is None:
                    listing = await self._request_listing(connection, PATH, RESPONSE_TIMEOUT_S)
                else:
                    target = f"{PATH}?index={self._revision}&wait={self._wait_ms}"
                    listing = await self._request_listing(connection, target, self._wait_ms / 1000 + RESPONSE_TIMEOUT_S)
                self._revision, succeeded = listing.revision, True
                if listing.members or listing.complete:
                    on_listing(listing)
        except Exception as error:
            _log_failure(error)
        finally:
            if connection is not None:
                connection.drop()
        return succeeded

    async def _fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        connection: _DiscoveryConnection | None = None
        listing: Listing | None = None
        try:
            connection = await self._open(None)
            listing = await self._request_listing(connection, PATH, RESPONSE_TIMEOUT_S)
        except Exception as error:
            _log_failure(error)
        finally:
            if connection is not None:
                connection.drop()
        on_listing(listing)

    async def _open(self, connection: _DiscoveryConnection | None) -> _DiscoveryConnection:
        """Return the connection if it is still open, else a new connection."""
        if connection is not None:
            if not connection.closed:
                return connection
            connection.drop()
        try:
            sock = await connect(self._clock, self._address, self._connect_s)
        except OSError as error:
            if error.errno in EXHAUSTION_ERRNOS:
                # The call fails and is retried soon; by then the next sweep has closed a client's connection.
                self.descriptors_exhausted("a call to discovery", 1)
            raise
        connection = _DiscoveryConnection()
        try:
            connection.attach(sock)
        except OSError:
            sock.close()
            raise
        return connection

    async def _request_listing(self, connection: _DiscoveryConnection, target: str, limit_s: float) -> Listing:
        # Without a timeout the watch would wait forever for a response lost in a network partition.
        async with asyncio.timeout(limit_s):
            return self._parser.parse(json.loads(await connection.get(target)))


def _log_failure(error: Exception) -> None:
    """Log an error of discovery in one line, and an unexpected exception with its traceback."""
    is_expected = isinstance(error, OSError | ValueError | InvalidMessageError)
    log.warning("call to discovery failed: %s", str(error) or type(error).__name__, exc_info=not is_expected)
