"""What is sent to a backend in an attempt, and how the attempt ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lilacsill.balancing.interface import Outcome
from lilacsill.http1.message import Message

from ..streaming import ResponseSink, StreamedBody


@dataclass(slots=True)  # not frozen: that trebles the cost of construction
class Result:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()  # the backend's load, in the order of the settings' fields
    body: bytes = b""
    content_type: str | None = None
    streamed: bool = False  # the response was passed on while it was received


# Takes the head of a response that is to be streamed; returns None where nobody wants it any more.
BeginResponse = Callable[[Message], ResponseSink | None]


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a backend."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    send_timeout: bool = False  # whether the backend is told its time-out
    upload: StreamedBody | None = None  # the body, where it is streamed
    upload_timeout_us: int = 0  # time-out of the answer, from the last byte of a streamed body on
    on_sending: Callable[[bool], None] | None = None  # called with False if writing takes time, with True at its end
    known_client: bool = False  # a known client's attempts may use the reserve of descriptors


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse a load report by the settings' fields; return () where it is missing or malformed."""
    if not text or not fields:
        return ()
    values: dict[str, str] = {}
    for part in text.strip().split(","):
        name, _, values[name] = part.partition("=")
    report = []
    try:
        for field in fields:
            value = float(values[field])
            if not 0.0 <= value < 1e9:  # an infinite, undefined or negative value would spoil every mean it enters
                return ()
            report.append(value)
    except (KeyError, ValueError):
        return ()
    return tuple(report)
