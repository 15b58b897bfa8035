"""Answers of backends: their reports, long ones, and slow writing to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lilacsill.agent.outbound.requests import Result, parse_report
from lilacsill.balancing.interface import Outcome
from lilacsill.clock import Clock
from tests.agent.backends import (
    ASK,
    FIELDS,
    OK,
    backends,
    begin,
)
from tests.agent.loopback import Message, Peer


@pytest.mark.parametrize(
    "text, report",
    [
        ("inflight=7,queue=2,util=0.61", (7.0, 2.0, 0.61)),
        ("util=1,queue=1,inflight=3,new=9", (3.0, 1.0, 1.0)),
        ("inflight=7,queue=2", ()),
        ("inflight=many,queue=2,util=0", ()),
        ("inflight=nan,queue=2,util=0", ()),
        ("inflight=-1,queue=0,util=0", ()),
        ("inflight=inf,queue=0,util=0", ()),
        ("", ()),
        (None, ()),
        ("x", ()),
    ],
)
def test_a_bad_report_is_no_report(text: str | None, report: tuple[float, ...]) -> None:
    assert parse_report(text, FIELDS) == report


class Collected:
    """Takes an answer that comes by and by."""

    def __init__(self) -> None:
        self.body, self.whole = b"", False
        self.on_drained: Callable[[], None] = lambda: None
        self.on_client_gone: Callable[[], None] = lambda: None

    def read_limit(self) -> int:
        return 10_000

    def write(self, data: bytes) -> bool:
        self.body += data
        return False

    def finish(self) -> None:
        self.whole = True

    def abort(self) -> None:
        raise AssertionError("cut short")


def test_an_answer_of_400_kb_is_served_completely() -> None:
    # rate: answers over 64 KiB were taken for spoilt, and a third of all requests was turned away.
    async def run() -> None:
        peer = await Peer().start()
        body, sink = bytes(range(256)) * 1600, Collected()
        b = backends(peer.port)
        end: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        b.exchange("s", ASK, 60_000_000, end.set_result, lambda answer: sink)
        await (await peer.requests.get()).answer(200, body)
        result = await end
        assert result.outcome is Outcome.OK and result.streamed and not result.body
        assert sink.body == body and sink.whole
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


class Ahead(Clock):
    """The clock, so much later when the test says so."""

    ahead_us = 0

    def now(self) -> int:
        return super().now() + self.ahead_us


def test_slow_writing_is_no_slow_work() -> None:
    # bulk+slow+pieces: the time to write an answer was learned as a pace, and idle backends were refused.
    async def run() -> None:
        peer = await Peer().start()
        end: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        made = backends(peer.port)
        made.clock = clock = Ahead()
        exchange = made.exchange("s", ASK, 60_000_000, end.set_result)
        got = await peer.requests.get()
        await got.peer.write(OK + b"Server-Load: inflight=1,queue=0,util=0\r\nContent-Length: 4\r\n\r\nha")
        while not exchange._first_part_us:
            await asyncio.sleep(0)
        before = clock.now()
        clock.ahead_us = 60_000
        await got.peer.write(b"lf")
        result = await end
        assert (result.outcome, result.body) == (Outcome.OK, b"half")
        assert result.latency_us <= before - exchange._started_at
        assert not result.report  # it is as old as the head
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_reports_come_with_any_answer() -> None:
    async def run() -> None:
        peer = await Peer().start()
        end = begin(backends(peer.port))
        message: Message = await peer.requests.get()
        await message.answer(500, b"", Server_Load="inflight=7,queue=2,util=0.61")
        assert (await end).report == (7.0, 2.0, 0.61)
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
