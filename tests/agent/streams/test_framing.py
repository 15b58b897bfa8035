"""Framing and watermarks of streams, without a socket."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st
from httptools import HttpRequestParser, HttpResponseParser

from lilacsill.http1.message import Reader
from lilacsill.agent.watermarks import MIN_WATERMARK_BYTES, StreamShare, Watermarks, buffer_budget
from tests.agent.loopback import post

MB = 1024 * 1024
CHUNKED = post(body=b"", drop=("Content-Length",), Transfer_Encoding="chunked")


@given(st.lists(st.integers(min_value=1, max_value=40), min_size=1, max_size=60))
def test_framing_split_anywhere_gives_one_message(cuts: list[int]) -> None:
    wire = CHUNKED + b"5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nT: 1\r\n\r\n"
    reader, whole, at = Reader(HttpRequestParser, 1000), [], 0
    for cut in [*cuts, len(wire)]:
        whole += reader.feed(wire[at : at + cut])
        at += cut
    assert [bytes(m.body) for m in whole] == [b"hello world"] and reader.error is None


STEPS = st.lists(st.tuples(st.sampled_from(["open", "end", "read", "written"]), st.integers(0, 40)), max_size=300)


@given(st.integers(min_value=1 * MB, max_value=64 * MB), STEPS)
def test_streams_that_keep_to_the_watermark_stay_within_the_budget(budget: int, steps: list[tuple[str, int]]) -> None:
    """Each reads what it may at once, pauses above the watermark, and is written or not as it comes."""
    marks = Watermarks(budget)
    streams: list[tuple[StreamShare, int]] = []
    for what, which in steps:
        if what == "open":
            streams.append((marks.open_stream(), 0))
        elif streams:
            at = which % len(streams)
            share, held = streams[at]
            if what == "end":
                assert share.close() and not share.close()
                del streams[at]
            elif what == "written":
                share.set_buffered(0)
                streams[at] = share, 0
            elif held <= share.high_watermark():
                share.set_buffered(held + share.high_watermark())
                streams[at] = share, marks.buffered - sum(h for s, h in streams if s is not share)
        assert marks.buffered == sum(h for _, h in streams) and marks.streams == len(streams)
        assert marks.buffered <= marks.budget + 2 * MIN_WATERMARK_BYTES * len(streams)


@given(st.lists(st.tuples(st.booleans(), st.integers(min_value=0, max_value=8 * MB)), max_size=60))
def test_bodies_kept_complete_stay_within_their_half(steps: list[tuple[bool, int]]) -> None:
    marks, kept = Watermarks(buffer_budget(80, 1)), []
    for keep, size in steps:
        if keep and marks.reserve_body(size):
            kept.append(size)
        elif kept and not keep:
            marks.release_body(kept.pop())
        assert marks.reserved == sum(kept) <= buffer_budget(80, 1) // 2
    with contextlib.suppress(IndexError):
        while True:
            marks.release_body(kept.pop())
    assert marks.reserved == 0


def test_an_answer_of_unknown_length_is_complete_when_its_connection_ends() -> None:
    reader = Reader(HttpResponseParser, 1000, until_close=True)
    assert not reader.feed(b"HTTP/1.1 200 X\r\n\r\nabc")
    message = reader.close()
    assert message is not None and bytes(message.body) == b"abc"
    assert reader.close() is None
