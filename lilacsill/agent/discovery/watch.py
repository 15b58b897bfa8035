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
WAIT_MS = 20_000  # long: each call costs discovery, which all agents share
ANSWER_S = 2.0  # what discovery has to tell counts as told this long after the wait is over
# Where lists are pushed a call is answered on this machine at no cost. One that discovery lets hang while it is
# down holds back what comes after, so none waits for long.
PUSHED_WAIT_MS = 2_000
AGAIN_S, AGAIN_MOST_S = 0.05, 1.0  # until a watch that broke is taken up again, doubled each time
ANSWER_BYTES = 4 * 1024 * 1024  # of an answer


class _CatalogConnection(Connection):
    """A connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = Reader(HttpResponseParser, ANSWER_BYTES)
        self._answer: asyncio.Future[bytes] | None = None

    async def get(self, target: str) -> bytes:
        """The body of a 200; anything else raises."""
        self._answer = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", b"discovery")]))
        return await self._answer

    def connection_lost(self) -> None:
        super().connection_lost()
        self._reader.end()

    def on_data(self, data: bytes) -> None:
        whole = self._reader.feed(data)
        if not whole or self._answer is None:
            # Bytes that no one answered for are no answer to the next call.
            if self._reader.error is not None or self._answer is None:
                self._broken(self._reader.error or ConnectionError("unasked bytes"))
            return
        answer = whole[0]
        if not answer.keep_alive or len(whole) > 1 or self._reader.error is not None:
            self.closed = self.discarding = True
        self._end(None if answer.status == 200 else ConnectionError(f"status {answer.status}"), answer.body)

    def on_fault(self) -> None:
        self._broken(ConnectionError("fault while reading"))

    def on_end(self) -> None:
        self._broken(ConnectionError("connection ended"))

    def _broken(self, error: Exception) -> None:
        self.closed = self.discarding = True
        self._end(error)

    def _end(self, error: Exception | None, body: bytes | bytearray = b"") -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            return
        if error is None:
            answer.set_result(bytes(body))
        else:
            answer.set_exception(error)


class Discovery:
    """Asks discovery. A watch goes on by itself from call to call until a call fails.

    Where lists are asked for, the module says when to watch and hears of each failure. Where they are `pushed` it
    expects them to come by themselves: `follow` then keeps the watch up, and a failure is nobody's event.
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
        self._wait_ms = PUSHED_WAIT_MS if pushed else WAIT_MS
        self._revision: int | None = revision  # None: the next call asks for the whole list
        self._watching: asyncio.Task[None] | None = None
        self.short_of_descriptors: Callable[[str, int], None] = lambda what, needs: None
        self._fetches: set[asyncio.Task[None]] = set()

    def watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Report every change from now on; None, once, when the watch has broken."""
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(on_listing))

    def follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Report every change from now on, across breaks, where lists are pushed; else wait to be asked."""
        if self._pushed:
            self._watching = asyncio.get_running_loop().create_task(self._follow(on_listing))

    def fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Report the whole list once, or None."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_listing))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def move(self, address: Address, on_listing: Callable[[Listing | None], None]) -> None:
        """Leave the old address, whose calls end unreported, and begin at the new one with the whole list:
        versions of the one mean nothing to the other."""
        if address == self._address:
            return
        self.stop()
        self._address, self._revision, self._watching = address, None, None
        if self._pushed:
            self.follow(on_listing)
        else:
            self.watch(on_listing)

    def forget(self) -> None:
        """The next call asks for the whole list, whatever version is held."""
        self._revision = None

    def stop(self) -> None:
        """End all calls unreported."""
        for task in (self._watching, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        await self._until_broken(on_listing)
        self._watching = None  # before the report: the answer to it may be the next watch
        on_listing(None)

    async def _follow(self, on_listing: Callable[[Listing | None], None]) -> None:
        again_s = AGAIN_S
        while True:
            answered = await self._until_broken(on_listing)
            again_s = AGAIN_S if answered else min(2 * again_s, AGAIN_MOST_S)
            await asyncio.sleep(again_s * (0.5 + self._rng.random()))

    async def _until_broken(self, on_listing: Callable[[Listing | None], None]) -> bool:
        """Call after call. Returns whether any was answered before the one that failed."""
        call: _CatalogConnection | None = None
        answered = False
        try:
            while True:
                call = await self._connected(call)
                if self._revision is None:
                    listing = await self._ask(call, PATH, ANSWER_S)
                else:
                    target = f"{PATH}?index={self._revision}&wait={self._wait_ms}"
                    listing = await self._ask(call, target, self._wait_ms / 1000 + ANSWER_S)
                self._revision, answered = listing.revision, True
                if listing.members or listing.complete:
                    on_listing(listing)
        except Exception as e:
            _failed(e)
        finally:
            if call is not None:
                call.drop()
        return answered

    async def _fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        call: _CatalogConnection | None = None
        listing: Listing | None = None
        try:
            call = await self._connected(None)
            listing = await self._ask(call, PATH, ANSWER_S)
        except Exception as e:
            _failed(e)
        finally:
            if call is not None:
                call.drop()
        on_listing(listing)

    async def _connected(self, call: _CatalogConnection | None) -> _CatalogConnection:
        """The same connection while discovery keeps it, else a new one."""
        if call is not None:
            if not call.closed:
                return call
            call.drop()
        try:
            sock = await connect(self._clock, self._address, self._connect_s)
        except OSError as e:
            if e.errno in EXHAUSTED:
                # The call fails, and the module asks again soon; by then a client has made way.
                self.short_of_descriptors("a call to discovery", 1)
            raise
        call = _CatalogConnection()
        try:
            call.attach(sock)
        except OSError:
            sock.close()
            raise
        return call

    async def _ask(self, call: _CatalogConnection, target: str, limit_s: float) -> Listing:
        # Bounded: a machine that is cut off says nothing, and the watch would wait for ever.
        async with asyncio.timeout(limit_s):
            return self._parser.parse(json.loads(await call.get(target)))


def _failed(e: Exception) -> None:
    """What discovery does wrong is one line; a fault of the agent's own shows where it is."""
    foreseen = isinstance(e, OSError | ValueError | InvalidMessageError)
    log.warning("call to discovery failed: %s", str(e) or type(e).__name__, exc_info=not foreseen)
