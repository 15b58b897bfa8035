"""Long polls: requests that are held until there is an update or their wait time expires."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Message
from lilacsill.mesh.runtime.rpc import SendReply

RequestT = TypeVar("RequestT", bound=Message)


class LongPoll(Generic[RequestT]):
    """One pending request.

    Attributes:
        request: The request.
        send_reply: Sends the reply to the request.
        received_at: Time at which the request was received, in microseconds.
    """

    __slots__ = ("request", "send_reply", "received_at")

    def __init__(self, request: RequestT, send_reply: SendReply, received_at: int) -> None:
        self.request = request
        self.send_reply = send_reply
        self.received_at = received_at


class LongPolls(Generic[RequestT]):
    """The pending requests of one type."""

    def __init__(self, environment: Environment, reply: Callable[[LongPoll[RequestT]], None]) -> None:
        """Initialize without requests.

        Args:
            environment: Provides the clock and timers.
            reply: Replies to a poll whose wait time has expired; the poll has been removed by then.
        """
        self._environment = environment
        self._reply = reply
        self._pending: dict[int, LongPoll[RequestT]] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, poll: LongPoll[RequestT], wait_ms: int) -> None:
        """Hold a poll for at most `wait_ms`."""
        self._last_number += 1
        self._pending[self._last_number] = poll
        self._environment.after(wait_ms * 1000, self._expire, self._last_number)

    def pop_where(self, is_due: Callable[[RequestT], bool]) -> list[LongPoll[RequestT]]:
        """Remove and return the polls whose request matches `is_due`, oldest first."""
        due = [number for number, poll in self._pending.items() if is_due(poll.request)]
        return [self._pending.pop(number) for number in due]

    def pop_all(self) -> list[LongPoll[RequestT]]:
        """Remove and return all polls, oldest first."""
        pending, self._pending = self._pending, {}
        return list(pending.values())

    def _expire(self, number: int) -> None:
        poll = self._pending.pop(number, None)
        if poll is not None:
            self._reply(poll)
