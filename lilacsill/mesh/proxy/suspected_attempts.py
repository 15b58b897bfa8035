"""Attempts of one request whose backends may not answer, kept open beside the attempt elsewhere.

Whichever backend answers first gives the response. Until then nothing is given up: a suspicion may be wrong, and the
attempt elsewhere may be rejected.
"""

from __future__ import annotations

from typing import Protocol

from lilacsill.mesh.runtime.messages import Response, Suspected
from lilacsill.mesh.runtime.reactor import Reactor

from .attempts import Attempt
from .endpoint_table import EndpointTable
from .exchange import Exchange, Outcome


class SuspectedAttemptOwner(Protocol):
    """The request."""

    def on_suspect_answered(self, suspect: SuspectedAttempt, response: Response) -> None:
        """Handle the response, or its head, of a backend that was suspected."""

    def on_suspect_failed(self, suspect: SuspectedAttempt) -> None:
        """Handle that a suspected attempt will get no response."""


class SuspectedAttempt:
    """One attempt that is kept open; the `exchange.OutcomeListener` of its exchange."""

    __slots__ = ("_owner", "attempt", "exchange")

    def __init__(self, owner: SuspectedAttemptOwner, attempt: Attempt, exchange: Exchange) -> None:
        """Take the exchange of an attempt over."""
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
        """Do nothing: that is known."""

    def on_unreachable(self) -> None:
        """End the attempt."""
        self._owner.on_suspect_failed(self)

    def on_link_lost(self) -> None:
        """End the attempt."""
        self._owner.on_suspect_failed(self)


class SuspectedAttempts:
    """Those of one request."""

    __slots__ = ("_table", "_reactor", "_open")

    def __init__(self, table: EndpointTable, reactor: Reactor) -> None:
        """Begin without any; `table` has the endpoints of the request's service."""
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

    def take(self, suspect: SuspectedAttempt) -> None:
        """Give an attempt back to its request, which counts its end."""
        self._open.remove(suspect)

    def end(self, suspect: SuspectedAttempt) -> None:
        """Count the end of an attempt."""
        self._open.remove(suspect)
        number = suspect.attempt.number
        self._table.attempt_ended(suspect.attempt.entry, number, None, self._reactor.now())

    def cancel_all(self) -> None:
        """Give all of them up."""
        for suspect in list(self._open):
            suspect.exchange.cancel()
            self.end(suspect)
