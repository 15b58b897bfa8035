"""Long polls: requests that wait until there is something to reply, or until their time is over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Message
from lilacsill.mesh.runtime.rpc import SendReply

RequestT = TypeVar("RequestT", bound=Message)


class LongPoll(Generic[RequestT]):
    """One request that waits.

    Attributes:
        request: The request.
        send_reply: Sends its reply.
        received_at: When the request came, in microseconds.
    """

    __slots__ = ("request", "send_reply", "received_at")

    def __init__(self, request: RequestT, send_reply: SendReply, received_at: int) -> None:
        self.request = request
        self.send_reply = send_reply
        self.received_at = received_at


class LongPolls(Generic[RequestT]):
    """The requests of one kind that wait."""

    def __init__(self, environment: Environment, reply: Callable[[LongPoll[RequestT]], None]) -> None:
        """Begin without requests.

        Args:
            environment: Keeps the time.
            reply: Sends a reply to a poll whose time is over; the poll does not wait any more then.
        """
        self._environment = environment
        self._reply = reply
        self._pending: dict[int, LongPoll[RequestT]] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, poll: LongPoll[RequestT], wait_ms: int) -> None:
        """Have a poll wait for so long at most."""
        self._last_number += 1
        self._pending[self._last_number] = poll
        self._environment.after(wait_ms * 1000, self._expire, self._last_number)

    def pop_where(self, is_due: Callable[[RequestT], bool]) -> list[LongPoll[RequestT]]:
        """Return the polls with such a request, the oldest first. They do not wait any more."""
        due = [number for number, poll in self._pending.items() if is_due(poll.request)]
        return [self._pending.pop(number) for number in due]

    def pop_all(self) -> list[LongPoll[RequestT]]:
        """Return all polls, the oldest first. They do not wait any more."""
        pending, self._pending = self._pending, {}
        return list(pending.values())

    def _expire(self, number: int) -> None:
        poll = self._pending.pop(number, None)
        if poll is not None:
            self._reply(poll)
