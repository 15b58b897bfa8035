"""Asks core machines for the current view when no view is known or quota owners do not answer. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Message, TokenReply, TokenRequest

PROBE_TIMEOUT_US = 300_000
MIN_BACKOFF_US = 20_000  # after a request that did not yield a decision
MAX_BACKOFF_US = 160_000


class ViewProbe:
    """Sends one probe at a time, each to another core machine.

    Args:
        environment: clock, timers and the links to the members of the store.
        members: updated with the views in the answers.
        on_result: called after each probe; if the probe did not yield a later view, after a backoff.
    """

    def __init__(self, environment: Environment, members: CoreMembers, on_result: Callable[[], None]) -> None:
        self._environment, self._members, self._on_result = environment, members, on_result
        self._is_in_flight = False
        self._backoff_us = MIN_BACKOFF_US

    def next_backoff_us(self) -> int:
        """Return the delay before the next request. It doubles on each call until `reset_backoff`."""
        backoff_us, self._backoff_us = self._backoff_us, min(2 * self._backoff_us, MAX_BACKOFF_US)
        return backoff_us

    def reset_backoff(self) -> None:
        """Return to the shortest delay, because an owner has decided."""
        self._backoff_us = MIN_BACKOFF_US

    def ask(self) -> None:
        """Ask the next core machine, unless a probe is in flight."""
        if self._is_in_flight:
            return
        self._is_in_flight = True
        address = self._members.next_candidate()
        if address is None:
            self._on_answer(None)
            return
        self._environment.ask(address, TokenRequest([]), PROBE_TIMEOUT_US, self._on_answer)

    def _on_answer(self, answer: Message | None) -> None:
        if isinstance(answer, TokenReply) and answer.view_number > self._members.view_number:
            self._members.update_view(answer.view_number, answer.members)
            self._end()
            return
        self._environment.after(self.next_backoff_us(), self._end)

    def _end(self) -> None:
        self._is_in_flight = False
        self._on_result()
