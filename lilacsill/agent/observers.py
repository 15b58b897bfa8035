"""The interface of observers of the agent: the recorder and the saving of state for the next start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lilacsill.balancing import interface as balancing

from .discovery.listing import Listing
from .inbound.validation import DownstreamRequest


class Observer(Protocol):
    """Is notified of the events of the agent and does not affect its decisions."""

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Handle the arrival of a request."""

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: balancing.BackendId,
        outcome: balancing.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Handle the end of an attempt of request `number`."""

    def request_answered(self, number: int, status: int) -> None:
        """Handle the final response to a request."""

    def backends_listed(self, listing: Listing) -> None:
        """Handle a complete list of backends or an update of it."""


@dataclass(slots=True, frozen=True)
class CombinedObserver:
    """Forwards each notification to two observers."""

    first: Observer
    second: Observer

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Notify both observers."""
        self.first.request_arrived(call)
        self.second.request_arrived(call)

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: balancing.BackendId,
        outcome: balancing.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Notify both observers."""
        self.first.attempt_ended(number, attempt, backend, outcome, latency_us, report)
        self.second.attempt_ended(number, attempt, backend, outcome, latency_us, report)

    def request_answered(self, number: int, status: int) -> None:
        """Notify both observers."""
        self.first.request_answered(number, status)
        self.second.request_answered(number, status)

    def backends_listed(self, listing: Listing) -> None:
        """Notify both observers."""
        self.first.backends_listed(listing)
        self.second.backends_listed(listing)
