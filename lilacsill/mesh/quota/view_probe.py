"""Asks core machines for the view that they know, where the owners do not answer or none is known. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Message, TokenReply, TokenRequest

PROBE_TIMEOUT_US = 300_000
MIN_PAUSE_US = 20_000  # after a question that brought no decision
MAX_PAUSE_US = 160_000


class ViewProbe:
    """One question at a time, each to another machine.

    Args:
        environment: clock, timers and the way to the members.
        members: learns the views of the answers.
        on_result: called after each question, and a pause if it brought no later view.
    """

    def __init__(self, environment: Environment, members: CoreMembers, on_result: Callable[[], None]) -> None:
        self._environment, self._members, self._on_result = environment, members, on_result
        self._is_open = False
        self._pause_us = MIN_PAUSE_US

    def next_pause_us(self) -> int:
        """Return how long to wait before the next question; the pauses grow until a decision comes."""
        pause_us, self._pause_us = self._pause_us, min(2 * self._pause_us, MAX_PAUSE_US)
        return pause_us

    def on_decision(self) -> None:
        """Begin with the shortest pause again: an owner has decided."""
        self._pause_us = MIN_PAUSE_US

    def ask(self) -> None:
        """Ask the next machine, unless a question is open."""
        if self._is_open:
            return
        self._is_open = True
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
        self._environment.after(self.next_pause_us(), self._end)

    def _end(self) -> None:
        self._is_open = False
        self._on_result()
