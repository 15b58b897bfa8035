"""Forwards requests to the member that answers them: changes to the head, reads to the tail. No I/O.

If that member fails, the request is forwarded again as soon as a new view has another head or tail, so that the caller
need not wait for its time-out first. Only the answer to the last attempt counts: an earlier one may still come from a
former head or tail, and its refusal would not show what the new one has accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Member, Message, Patch, Read, Reply

from .replica import Replica

MAX_HOPS = 2
FORWARD_TIMEOUT_US = 850_000  # shorter than 1 s, after which a caller tries another member
RETRY_DEADLINE_US = 950_000  # for the answer to a later attempt, from the arrival of the request
MIN_ATTEMPT_US = 20_000  # with less time left no further attempt is made
OUTCOME_UNKNOWN = Reply(503, b'{"Message":"no clear answer; send it again"}')

Replier = Callable[[Message], None]
Handler = Callable[[Any, Replier], None]
"""Answers a request if this member is the one that answers such requests, and forwards it otherwise."""
ChooseMember = Callable[[], Member | None]
"""Returns the member that answers such requests in the current view; None if there is none."""


class ForwardedCall(msgspec.Struct, eq=False):
    """A forwarded request that is not answered yet."""

    request: Patch | Read
    reply: Replier
    choose: ChooseMember
    handle: Handler
    to: Member
    received_at_us: int
    attempt: int = 1


class Forwarding:
    """The requests that this member has forwarded and that are not answered yet."""

    def __init__(self, replica: Replica) -> None:
        self._replica, self._environment = replica, replica.environment
        self._pending: list[ForwardedCall] = []
        replica.view_listeners.append(self._on_view)

    def forward(self, request: Patch | Read, choose: ChooseMember, handle: Handler, reply: Replier) -> None:
        """Forward a request and relay the answer; reply with status 503 if no answer arrives in time.

        Args:
            request: From a caller, or from another member.
            choose: Returns the member that answers it.
            handle: Answers it here if a new view makes this member the one that answers.
            reply: Called once.
        """
        to = choose()
        if request.hops >= MAX_HOPS or to is None or to == self._replica.me:
            reply(OUTCOME_UNKNOWN)
            return
        forwarded = msgspec.structs.replace(request, hops=request.hops + 1)
        call = ForwardedCall(forwarded, reply, choose, handle, to, self._environment.now())
        self._pending.append(call)
        self._ask(call, FORWARD_TIMEOUT_US)

    def _ask(self, call: ForwardedCall, timeout_us: int) -> None:
        on_answer = partial(self._on_answer, call, call.attempt)
        self._environment.ask(call.to.address, call.request, timeout_us, on_answer)

    def _on_answer(self, call: ForwardedCall, attempt: int, answer: Message | None) -> None:
        if attempt != call.attempt or call not in self._pending:
            return
        self._pending.remove(call)
        call.reply(answer if isinstance(answer, Reply) else OUTCOME_UNKNOWN)

    def _on_view(self) -> None:
        now = self._environment.now()
        for call in list(self._pending):
            to = call.choose()
            remaining_us = call.received_at_us + RETRY_DEADLINE_US - now
            if to is None or to == call.to or remaining_us < MIN_ATTEMPT_US:
                continue
            call.to, call.attempt = to, call.attempt + 1
            if to == self._replica.me:
                # Deferred, since other listeners of this member have not processed the new view yet.
                self._environment.after(0, self._handle_here, call, call.attempt)
            else:
                self._ask(call, remaining_us)

    def _handle_here(self, call: ForwardedCall, attempt: int) -> None:
        if attempt == call.attempt:
            call.handle(call.request, partial(self._on_answer, call, attempt))
