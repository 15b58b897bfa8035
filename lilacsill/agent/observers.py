"""Observers of the agent: the recorder, and what is saved for the next start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lilacsill.balancing import interface as balancing

from .discovery.listing import Listing
from .inbound.validation import DownstreamRequest


class Observer(Protocol):
    """Is told what the agent sees, and does not influence it."""

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Note a new request."""

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: balancing.BackendId,
        outcome: balancing.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Note the end of an attempt of the request with this number."""

    def request_answered(self, number: int, status: int) -> None:
        """Note the final answer to a request."""

    def backends_listed(self, listing: Listing) -> None:
        """Note a list of backends."""


@dataclass(slots=True, frozen=True)
class CombinedObserver:
    """Two observers in the place of one."""

    first: Observer
    second: Observer

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Tell both."""
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
        """Tell both."""
        self.first.attempt_ended(number, attempt, backend, outcome, latency_us, report)
        self.second.attempt_ended(number, attempt, backend, outcome, latency_us, report)

    def request_answered(self, number: int, status: int) -> None:
        """Tell both."""
        self.first.request_answered(number, status)
        self.second.request_answered(number, status)

    def backends_listed(self, listing: Listing) -> None:
        """Tell both."""
        self.first.backends_listed(listing)
        self.second.backends_listed(listing)
