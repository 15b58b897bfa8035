"""The environment of a replica in a real process: the event loop, links to the other machines and the disk."""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import OnReply
from lilacsill.mesh.runtime.messages import Message
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.reactor_environment import ReactorEnvironment
from lilacsill.mesh.runtime.rpc import RequestHandler

from .disk import Disk
from .environment import Done, Save


class LocalEnvironment(ReactorEnvironment):
    """A `ReplicaEnvironment` on top of a reactor and a disk.

    Attributes:
        handlers: The handlers for requests that this process sends to itself, by message type. The process sets them
            before it starts.
    """

    def __init__(self, reactor: Reactor, disk: Disk, address: str) -> None:
        super().__init__(reactor)
        self._disk, self._address = disk, address
        self.handlers: dict[type, RequestHandler] = {}

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Send a request. `answered` is called exactly once, never before this method returns."""
        if address == self._address:
            self._ask_self(message, timeout_us, answered)
        else:
            super().ask(address, message, timeout_us, answered)

    def _ask_self(self, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Handle a request to this process like a request to another machine: with a timeout and a deferred reply."""
        is_answered = False

        def once(answer: Message | None) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self._reactor.call_soon(answered, answer)

        self._reactor.after(timeout_us, once, None)
        self.handlers[type(message)](message, once)

    def save(self, save: Save, done: Done) -> None:
        """Write to disk in the order of the calls. `done` is called when the data is on disk."""
        self._disk.save(save, done)

    def oldest_save_age_us(self) -> int:
        """Return for how many microseconds the oldest save has been pending; 0 if no save is pending."""
        return self._disk.oldest_save_age_us()
