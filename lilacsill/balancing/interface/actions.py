"""Actions that `Balancer.handle` returns; the caller executes them in order."""

from __future__ import annotations

from dataclasses import dataclass

from .backends import BackendId


@dataclass(slots=True)
class Send:
    """Start an attempt of a request; exactly one AttemptEnded event follows.

    Attributes:
        request: Number of the request.
        backend: Backend that receives the attempt.
        timeout_us: Time after which the attempt ends with outcome TIMEOUT; microseconds, above 0.
    """

    request: int
    backend: BackendId
    timeout_us: int


@dataclass(slots=True)
class Reject:
    """Send the final answer of a request: rejected. A retry by the client is harmless.

    Attributes:
        request: Number of the request.
        retry_after_us: Delay after which the client is advised to retry; microseconds, 0 for no advice (default).
    """

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Send the final answer of a request: failed. A backend may have executed the request.

    Attributes:
        request: Number of the request.
    """

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; its AttemptEnded event still follows.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Start a timer that delivers TimerFired(token) after a delay. Timers are never cancelled.

    Attributes:
        delay_us: Delay until the timer fires; microseconds, 0 or more.
        token: Opaque number that TimerFired returns.
    """

    delay_us: int
    token: int


@dataclass(slots=True)
class Probe:
    """Check the health of a backend and request its load; exactly one ProbeEnded event follows.

    Attributes:
        backend: Backend to probe.
    """

    backend: BackendId


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another balancer; delivery is not guaranteed.

    Attributes:
        peer: Index of the receiving balancer.
        payload: Message body, 256 bytes at most.
    """

    peer: int
    payload: bytes


@dataclass(slots=True)
class Watch:
    """Subscribe to updates of the list of backends; exactly one BackendsChanged event follows."""


@dataclass(slots=True)
class Fetch:
    """Request the complete list of backends once; a BackendsChanged event follows."""


@dataclass(slots=True)
class Log:
    """Write a line to the log, for rare events such as the state change of a backend and its reason.

    Attributes:
        text: Text of the log line.
    """

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | SendPeerMessage | Watch | Fetch | Log
