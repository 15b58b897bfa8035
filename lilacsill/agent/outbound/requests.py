"""The request that an attempt sends to a backend, and the result of the attempt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lilacsill.balancing.interface import Outcome
from lilacsill.http1.message import Message

from ..streaming import ResponseSink, StreamedBody


@dataclass(slots=True)  # not frozen, which would triple the cost of construction
class Result:
    """The result of an exchange."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()  # the load of the backend, in the order of the configured fields
    body: bytes = b""
    content_type: str | None = None
    streamed: bool = False  # the response was streamed to the client


# Takes the head of a response to be streamed; returns None if the response is no longer needed.
BeginResponse = Callable[[Message], ResponseSink | None]


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a backend."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    send_timeout: bool = False  # whether to send the time-out to the backend (Request-Timeout-Ms)
    upload: StreamedBody | None = None  # the body if it is streamed
    upload_timeout_us: int = 0  # time-out of the response, from the last byte of a streamed body on
    on_sending: Callable[[bool], None] | None = None  # called with False if writing is delayed, with True at its end
    known_client: bool = False  # attempts for a known client may use the descriptor reserve


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse the configured fields of a load report; return () if it is missing or malformed."""
    if not text or not fields:
        return ()
    values: dict[str, str] = {}
    for part in text.strip().split(","):
        name, _, values[name] = part.partition("=")
    report = []
    try:
        for field in fields:
            value = float(values[field])
            if not 0.0 <= value < 1e9:  # an infinite, NaN or negative value would corrupt every mean that includes it
                return ()
            report.append(value)
    except (KeyError, ValueError):
        return ()
    return tuple(report)
