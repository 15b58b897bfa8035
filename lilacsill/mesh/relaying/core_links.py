"""Direct questions to core machines, whose answers say which of them this proxy reaches. No I/O."""

from __future__ import annotations

from functools import partial

from lilacsill.mesh.runtime.environment import Environment, OnReply
from lilacsill.mesh.runtime.messages import Message, TokenRequest

from .reachability import UNPROVEN_TIMEOUT_US, Reachability


class CoreLinks:
    """The direct way to all core machines.

    Attributes:
        reachability: What their answers have shown.
    """

    def __init__(self, environment: Environment) -> None:
        """Begin without knowledge of any core machine."""
        self._environment = environment
        self.reachability = Reachability()

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Ask directly; `answered` is called once, later."""
        now = self._environment.now()
        timeout_us = self.reachability.timeout_us(address, timeout_us, now)
        on_reply = partial(self._on_reply, address, now, answered)
        self._environment.ask(address, message, timeout_us, on_reply)

    def probe(self, address: str) -> None:
        """Try a core machine that does not answer, if it is time to, with a question for nothing."""
        if self.reachability.take_probe(address, self._environment.now()):
            self.ask(address, TokenRequest([]), UNPROVEN_TIMEOUT_US, _ignore)

    def _on_reply(self, address: str, sent_at: int, answered: OnReply, reply: Message | None) -> None:
        now = self._environment.now()
        if reply is None:
            self.reachability.on_no_answer(address, sent_at, now)
        else:
            self.reachability.on_answer(address, now)
        answered(reply)


def _ignore(_reply: Message | None) -> None:
    """Take the answer to a probe: that there is one has been noted."""
