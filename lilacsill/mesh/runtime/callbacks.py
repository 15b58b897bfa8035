"""Callback wrappers. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

ValueT = TypeVar("ValueT")


def once(callback: Callable[[ValueT], None]) -> Callable[[ValueT], None]:
    """Return a wrapper that forwards only its first call, such as the first of a reply and a time-out."""
    was_called = False

    def call_once(value: ValueT) -> None:
        nonlocal was_called
        if not was_called:
            was_called = True
            callback(value)

    return call_once
