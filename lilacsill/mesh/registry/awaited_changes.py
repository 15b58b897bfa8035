"""The changes whose callers wait for a response, so that the head of the store can ask whether one still waits.

A change may reach the head long after its caller has left, for example out of the socket of a process that was
suspended. By then, the caller may have been told by another registry that the change is rejected.
"""

from __future__ import annotations

import os

import msgspec

from lilacsill.mesh.runtime.control import Responder
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.messages import CallOrigin


class AwaitedChange(msgspec.Struct, frozen=True):
    """A change without a response yet."""

    responder: Responder
    deadline: int  # time by which the caller must have a response, in microseconds


class AwaitedChanges:
    """The changes that one registry has received and not responded to."""

    def __init__(self, registry: str) -> None:
        """`registry`: address at which the store can ask this registry."""
        self._registry = registry
        self._changes: dict[int, AwaitedChange] = {}  # by number of the call

    def add(self, responder: Responder, deadline: int) -> CallOrigin:
        """Add a change, and return its origin."""
        number = incarnation_id(os.urandom(INCARNATION_ID_BYTES))  # an earlier run must not have used it
        self._changes[number] = AwaitedChange(responder, deadline)
        return CallOrigin(self._registry, number)

    def remove(self, origin: CallOrigin) -> None:
        """Remove a change that gets its response now."""
        self._changes.pop(origin.number, None)

    def is_awaited(self, number: int, now: int) -> bool:
        """Return whether the caller still waits for the response to the change with this number."""
        change = self._changes.get(number)
        return change is not None and now < change.deadline and change.responder.is_awaited()
