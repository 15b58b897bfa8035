"""Attempts of one request whose backends may not answer, kept open while another attempt is made.

The first response is used; a 5xx response of a suspected backend only if no other response can arrive. Until then all
attempts stay open: the suspicion may be wrong, and the other attempt may be rejected.
"""

from __future__ import annotations

from typing import Protocol

from lilacsill.mesh.runtime.messages import Response, Suspected
from lilacsill.mesh.runtime.reactor import Reactor

from .attempts import Attempt
from .endpoint_table import EndpointTable
from .exchange import Exchange, Outcome


class SuspectedAttemptOwner(Protocol):
    """The request that the suspected attempts belong to."""

    def on_suspect_answered(self, suspect: SuspectedAttempt, response: Response) -> None:
        """Handle a response, or its head, from a suspected backend."""

    def on_suspect_failed(self, suspect: SuspectedAttempt) -> None:
        """Handle a suspected attempt that ended without a usable response."""


class SuspectedAttempt:
    """One suspected attempt that is kept open. Implements `exchange.OutcomeListener` for its exchange."""

    __slots__ = ("_owner", "attempt", "exchange")

    def __init__(self, owner: SuspectedAttemptOwner, attempt: Attempt, exchange: Exchange) -> None:
        """Take over the exchange of an attempt."""
        self._owner, self.attempt, self.exchange = owner, attempt, exchange
        exchange.set_listener(self)

    def on_outcome(self, message: Outcome) -> None:
        """Pass on a response; any other outcome ends the attempt."""
        if isinstance(message, Response) and not message.not_run:
            self._owner.on_suspect_answered(self, message)
        else:
            self.exchange.cancel()
            self._owner.on_suspect_failed(self)

    def on_suspected(self, message: Suspected) -> None:
        """Ignore the message: the attempt is suspected already."""

    def on_unreachable(self) -> None:
        """End the attempt."""
        self._owner.on_suspect_failed(self)

    def on_link_lost(self) -> None:
        """End the attempt."""
        self._owner.on_suspect_failed(self)


class SuspectedAttempts:
    """The open suspected attempts of one request."""

    __slots__ = ("_table", "_reactor", "_open")

    def __init__(self, table: EndpointTable, reactor: Reactor) -> None:
        """Start without any; `table` holds the endpoints of the request's service."""
        self._table, self._reactor = table, reactor
        self._open: list[SuspectedAttempt] = []

    def __bool__(self) -> bool:
        return bool(self._open)

    def is_only(self, suspect: SuspectedAttempt) -> bool:
        """Return whether no other suspected attempt is open."""
        return self._open == [suspect]

    def add(self, suspect: SuspectedAttempt) -> None:
        """Keep an attempt open."""
        self._open.append(suspect)

    def remove(self, suspect: SuspectedAttempt) -> None:
        """Return an attempt to its request, which will record its end."""
        self._open.remove(suspect)

    def end(self, suspect: SuspectedAttempt) -> None:
        """Remove an attempt that has ended, and record its end at the endpoint."""
        self._open.remove(suspect)
        number = suspect.attempt.number
        self._table.attempt_ended(suspect.attempt.entry, number, None, self._reactor.now())

    def cancel_all(self) -> None:
        """Cancel all suspected attempts."""
        for suspect in list(self._open):
            suspect.exchange.cancel()
            self.end(suspect)
