"""The type of the callback that sends the reply to a request."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.messages import Message

Replier = Callable[[Message], None]
