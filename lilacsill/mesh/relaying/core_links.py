"""Direct requests to core machines; their answers show which core machines are reachable. No I/O."""

from __future__ import annotations

from functools import partial

from lilacsill.mesh.runtime.environment import Environment, OnReply
from lilacsill.mesh.runtime.messages import Message, TokenRequest

from .reachability import UNCONFIRMED_TIMEOUT_US, Reachability


class CoreLinks:
    """Direct links to all core machines.

    Attributes:
        reachability: The reachability of each core machine, as observed from answers and timeouts.
    """

    def __init__(self, environment: Environment) -> None:
        """Start with all core machines presumed reachable."""
        self._environment = environment
        self.reachability = Reachability()

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Send a request directly; `answered` is called once, later, with None if there is no answer in time."""
        now = self._environment.now()
        timeout_us = self.reachability.timeout_us(address, timeout_us, now)
        on_reply = partial(self._on_reply, address, now, answered)
        self._environment.ask(address, message, timeout_us, on_reply)

    def probe(self, address: str) -> None:
        """Send an empty token request to an unreachable core machine if its next probe is due."""
        if self.reachability.take_probe(address, self._environment.now()):
            self.ask(address, TokenRequest([]), UNCONFIRMED_TIMEOUT_US, _ignore)

    def _on_reply(self, address: str, sent_at: int, answered: OnReply, reply: Message | None) -> None:
        now = self._environment.now()
        if reply is None:
            self.reachability.on_no_answer(address, sent_at, now)
        else:
            self.reachability.on_answer(address, now)
        answered(reply)


def _ignore(_reply: Message | None) -> None:
    """Ignore the content of the answer to a probe; `_on_reply` has recorded its arrival."""
