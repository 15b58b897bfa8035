"""The backends' side of an agent, beside scripted peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.agent.loopback import Message, Peer, member, shared

from lilacsill.balancing.interface import Outcome
from lilacsill.agent.outbound.backends import Backends
from lilacsill.agent.outbound.requests import Result, UpstreamRequest
from lilacsill.agent.admission.descriptor_account import DescriptorAccount
from lilacsill.clock import Clock
from lilacsill.agent.discovery.listing import Listing, ListingParser
from lilacsill.agent.outbound.pool import Pool

FIELDS = ("inflight", "queue", "util")
ASK = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"job")
CLOCK = Clock()


def listing(port: int, phase: str = "SERVING", up: int = 0) -> Listing:
    parser = ListingParser(CLOCK, ("a",), ("m",))
    return parser.parse({"revision": 1, "complete": False, "members": [member("s", port, phase, up)]})


def backends(
    port: int, idle_us: int = 60_000_000, connect_us: int = 10_000_000, most: int = 9, settle_us: int = 0
) -> Backends:
    made = Backends(CLOCK, FIELDS, Pool(CLOCK, connect_us, idle_us, DescriptorAccount(shared(2 * most)), settle_us))
    made.apply(listing(port))
    return made


def begin(b: Backends, ask: UpstreamRequest = ASK, timeout_us: int = 60_000_000) -> asyncio.Future[Result]:
    end: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    b.exchange("s", ask, timeout_us, end.set_result)
    return end


async def cut_short(m: Message) -> None:
    await m.peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    m.peer.close()


async def reset(m: Message) -> None:
    m.peer.reset()


async def close(m: Message) -> None:
    m.peer.close()


OK = b"HTTP/1.1 200 OK\r\n"


def spoilt(data: bytes) -> Callable[[Message], Awaitable[None]]:
    """The connection stays open behind it."""
    return lambda m: m.peer.write(data)


def answers(status: int, **headers: str) -> Callable[[Message], Awaitable[None]]:
    return lambda m: m.answer(status, b"", **headers)


async def served(b: Backends, peer: Peer) -> Message:
    end = begin(b)
    message = await peer.requests.get()
    await message.answer()
    assert (await end).outcome is Outcome.OK
    return message
