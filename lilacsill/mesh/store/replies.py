"""Replies to requests. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.messages import Message

Replier = Callable[[Message], None]


def once(reply: Replier) -> Replier:
    """Return a callback that passes on only the first of several answers."""
    is_answered = False

    def answer(message: Message) -> None:
        nonlocal is_answered
        if not is_answered:
            is_answered = True
            reply(message)

    return answer
