"""Check at the head, before a change is accepted, that its caller still waits for the response. No I/O.

A change may be kept for any time in the socket of a suspended process, at the registry that its caller has connected to
or at a member that forwards it. Meanwhile, the caller has tried another registry, and may have been told that the
change is rejected. The head therefore asks the registry that received the call. A reply shows that the caller was
waiting after the question was sent; it counts only for `TIMEOUT_US` from then on. Within that time, and only then, the
same call may be rejected for the caller at another registry; `recent_refusals` covers it.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.environment import Environment, ask_in_time
from lilacsill.mesh.runtime.messages import CallerCheck, CallerCheckReply, CallOrigin, Message

TIMEOUT_US = 400_000


def check_caller(environment: Environment, origin: CallOrigin | None, done: Callable[[bool], None]) -> None:
    """Ask the registry that received a call whether the caller still waits.

    Args:
        environment: Sends the question.
        origin: The registry and the call. Without one there is nobody to ask, and the caller counts as waiting.
        done: Called once, with whether the caller waits; False if there is no reply in time.
    """
    if origin is None:
        done(True)
        return

    def on_reply(reply: Message | None) -> None:
        done(isinstance(reply, CallerCheckReply) and reply.is_waiting)

    ask_in_time(environment, origin.registry, CallerCheck(origin.number), TIMEOUT_US, on_reply)
