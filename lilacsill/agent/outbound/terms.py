"""What a backend is asked in an attempt, and how that ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lilacsill.balancing.interface import Outcome
from lilacsill.http1.message import Message

from ..watermarks import Sink


@dataclass(slots=True)  # not frozen: that trebles the cost of making one
class Result:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: str | None = None
    streamed: bool = False  # it was passed on as it came


Begin = Callable[[Message], Sink | None]  # None: nobody wants it any more


class Taker(Protocol):
    """An attempt, to the body that it passes on."""

    def on_body(self, data: bytes) -> int:
        """Returns how many bytes are not written; if there are any, it says `relieved` when they are."""

    def on_body_end(self) -> None:
        """That was all."""


class Upload(Protocol):
    """A request's body that comes by and by."""

    length: int | None
    whole: bool

    def take(self, taker: Taker) -> bytes | None:
        """What has come so far; None: not all of that can be had any more."""

    def leave(self, taker: Taker) -> None: ...

    def relieved(self, taker: Taker) -> None: ...


@dataclass(slots=True)
class UpstreamRequest:
    """What is to be sent to a backend."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    send_timeout: bool = False  # the backend is told how long its answer is waited for
    upload: Upload | None = None  # the body, where it comes by and by
    patience_us: int = 0  # how long the backend may take from the last byte of an upload on
    sending: Callable[[bool], None] | None = None  # hears that writing takes its time, and when all is written
    known: bool = False  # for a known client, who may use the reserve of descriptors


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report by the settings' fields; () where it is missing or bad."""
    if not text or not fields:
        return ()
    values: dict[str, str] = {}
    for part in text.strip().split(","):
        name, _, values[name] = part.partition("=")
    report = []
    try:
        for field in fields:
            x = float(values[field])
            if not 0.0 <= x < 1e9:  # not finite or below 0 would poison every mean it enters
                return ()
            report.append(x)
    except (KeyError, ValueError):
        return ()
    return tuple(report)
