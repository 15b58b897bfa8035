"""Actions: what `Balancer.handle` returns. The caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass

from .backends import BackendId


@dataclass(slots=True)
class Send:
    """Start an attempt; AttemptEnded follows.

    Attributes:
        request: Number of the request.
        backend: Backend to send it to.
        timeout_us: Time after which the attempt ends as TIMEOUT; microseconds, above 0.
    """

    request: int
    backend: BackendId
    timeout_us: int


@dataclass(slots=True)
class Reject:
    """Answer a request finally: rejected. A retry by the client is harmless.

    Attributes:
        request: Number of the request.
        retry_after_us: Advice when to retry; microseconds, 0, the default, for none.
    """

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Answer a request finally: failed. The request may have run.

    Attributes:
        request: Number of the request.
    """

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt; its AttemptEnded still follows.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Pass in TimerFired(token) after a delay. Timers are never cancelled.

    Attributes:
        delay_us: The delay; microseconds, 0 or more.
        token: Opaque number to hand back.
    """

    delay_us: int
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a backend for a health check and its load; ProbeEnded follows.

    Attributes:
        backend: Backend to probe.
    """

    backend: BackendId


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one other balancer; it may be lost.

    Attributes:
        peer: Number of the receiver among the balancers.
        payload: The message, 256 bytes at most.
    """

    peer: int
    payload: bytes


@dataclass(slots=True)
class Watch:
    """Subscribe to updates of the list of backends; exactly one BackendsChanged answers the call."""


@dataclass(slots=True)
class Fetch:
    """Request the complete list of backends once; a BackendsChanged answers the call."""


@dataclass(slots=True)
class Log:
    """Write a rare line for the operators: backend, state change, reason.

    Attributes:
        text: The line.
    """

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | SendPeerMessage | Watch | Fetch | Log
