"""The watch that keeps the list of backends up to date."""

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

from ..descriptors import EXHAUSTED
from .listing import Listing, ListingParser

log = logging.getLogger(__name__)

PATH = "/catalog/members"
WATCH_WAIT_MS = 20_000  # how long a call may wait for news: long, since all agents share discovery
RESPONSE_TIMEOUT_S = 2.0  # for the response, on top of the wait
# Where lists are pushed, a call is answered on this machine at no cost. The wait is short: a call that hangs while
# discovery is down delays the updates that follow.
PUSHED_WAIT_MS = 2_000
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # before a broken watch is resumed; doubled each time
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class _DiscoveryConnection(Connection):
    """A connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = Reader(HttpResponseParser, MAX_RESPONSE_BYTES)
        self._answer: asyncio.Future[bytes] | None = None

    async def get(self, target: str) -> bytes:
        """Return the body of a response 200.

        Raises:
            ConnectionError: The response has another status, or the connection ended.
            InvalidMessageError: The response is malformed or too long.
        """
        self._answer = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", b"discovery")]))
        return await self._answer

    def connection_lost(self) -> None:
        """Release the reader."""
        super().connection_lost()
        self._reader.end()

    def on_data(self, data: bytes) -> None:
        """Read a response."""
        complete = self._reader.feed(data)
        if not complete or self._answer is None:
            # Bytes outside of a call must not become the response to the next one.
            if self._reader.error is not None or self._answer is None:
                self._fail(self._reader.error or ConnectionError("unasked bytes"))
            return
        response = complete[0]
        if not response.keep_alive or len(complete) > 1 or self._reader.error is not None:
            self.closed = self.discarding = True
        self._finish(None if response.status == 200 else ConnectionError(f"status {response.status}"), response.body)

    def on_fault(self) -> None:
        """Fail the call."""
        self._fail(ConnectionError("fault while reading"))

    def on_end(self) -> None:
        """Fail the call."""
        self._fail(ConnectionError("connection ended"))

    def _fail(self, error: Exception) -> None:
        self.closed = self.discarding = True
        self._finish(error)

    def _finish(self, error: Exception | None, body: bytes | bytearray = b"") -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            return
        if error is None:
            answer.set_result(bytes(body))
        else:
            answer.set_exception(error)


class Discovery:
    """The client of discovery. A watch goes on by itself from call to call until a call fails.

    Where lists are polled, the decision module says when to watch and is told of each failure. Where lists are
    `pushed`, it expects them to arrive by themselves: `follow` then keeps the watch up, and failures are not reported.

    Attributes:
        descriptors_exhausted: Called with what a descriptor was needed for and how many, where the kernel had none.
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
        """Report every change from now on; None, once, when the watch breaks."""
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(on_listing))

    def follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Report every change from now on, across breaks, where lists are pushed; else do nothing."""
        if self._pushed:
            self._watching = asyncio.get_running_loop().create_task(self._follow(on_listing))

    def fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Report the complete list once, or None where the call fails."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_listing))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def set_address(self, address: Address, on_listing: Callable[[Listing | None], None]) -> None:
        """Ask at another address from now on, for the complete list first.

        Calls to the old address end unreported. Revisions of the old one mean nothing to the new one.
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
        """Make the next call ask for the complete list."""
        self._revision = None

    def stop(self) -> None:
        """End all calls unreported."""
        for task in (self._watching, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        await self._until_broken(on_listing)
        self._watching = None  # before the report, which may start the next watch
        on_listing(None)

    async def _follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        delay_s = RETRY_DELAY_S
        while True:
            answered = await self._until_broken(on_listing)
            delay_s = RETRY_DELAY_S if answered else min(2 * delay_s, MAX_RETRY_DELAY_S)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))

    async def _until_broken(self, on_listing: Callable[[Listing | None], None]) -> bool:
        """Call until a call fails; return whether any was answered before."""
        call: _DiscoveryConnection | None = None
        answered = False
        try:
            while True:
                call = await self._open(call)
                if self._revision is None:
                    listing = await self._ask(call, PATH, RESPONSE_TIMEOUT_S)
                else:
                    target = f"{PATH}?index={self._revision}&wait={self._wait_ms}"
                    listing = await self._ask(call, target, self._wait_ms / 1000 + RESPONSE_TIMEOUT_S)
                self._revision, answered = listing.revision, True
                if listing.members or listing.complete:
                    on_listing(listing)
        except Exception as error:
            _log_failure(error)
        finally:
            if call is not None:
                call.drop()
        return answered

    async def _fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        call: _DiscoveryConnection | None = None
        listing: Listing | None = None
        try:
            call = await self._open(None)
            listing = await self._ask(call, PATH, RESPONSE_TIMEOUT_S)
        except Exception as error:
            _log_failure(error)
        finally:
            if call is not None:
                call.drop()
        on_listing(listing)

    async def _open(self, call: _DiscoveryConnection | None) -> _DiscoveryConnection:
        """Return the same connection while discovery keeps it open, else a new one."""
        if call is not None:
            if not call.closed:
                return call
            call.drop()
        try:
            sock = await connect(self._clock, self._address, self._connect_s)
        except OSError as error:
            if error.errno in EXHAUSTED:
                # The call fails, and the module retries soon; by then a client's connection has been closed.
                self.descriptors_exhausted("a call to discovery", 1)
            raise
        call = _DiscoveryConnection()
        try:
            call.attach(sock)
        except OSError:
            sock.close()
            raise
        return call

    async def _ask(self, call: _DiscoveryConnection, target: str, limit_s: float) -> Listing:
        # Bounded: across a network partition nothing comes back, and the watch would wait for ever.
        async with asyncio.timeout(limit_s):
            return self._parser.parse(json.loads(await call.get(target)))


def _log_failure(error: Exception) -> None:
    """Log an error of discovery in one line, and a fault of the agent with its traceback."""
    is_expected = isinstance(error, OSError | ValueError | InvalidMessageError)
    log.warning("call to discovery failed: %s", str(error) or type(error).__name__, exc_info=not is_expected)
