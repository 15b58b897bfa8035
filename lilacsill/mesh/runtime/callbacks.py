"""Wrappers of callbacks. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Answer = TypeVar("Answer")


def once(answered: Callable[[Answer], None]) -> Callable[[Answer], None]:
    """Return a callback that passes on only the first of several answers, or of an answer and a time-out."""
    is_answered = False

    def answer_once(answer: Answer) -> None:
        nonlocal is_answered
        if not is_answered:
            is_answered = True
            answered(answer)

    return answer_once
