"""The type of what a request is answered with."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.messages import Message

Replier = Callable[[Message], None]
