"""What operators have asked for, as the processes of an agent share it, and its form in the file. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

VERSION = 1


@dataclass(slots=True, frozen=True)
class OperationsState:
    """The state that operators control, and which process of the agent serves."""

    disabled_backends: frozenset[str] = frozenset()
    draining: bool = False
    serving_pid: int = 0  # the process that became ready last; 0: none has

    def disable(self, backend: str) -> OperationsState:
        """Return the state with a backend taken out of service."""
        return replace(self, disabled_backends=self.disabled_backends | {backend})

    def enable(self, backend: str) -> OperationsState:
        """Return the state with a backend back in service."""
        return replace(self, disabled_backends=self.disabled_backends - {backend})

    def encode(self) -> bytes:
        """Return the state in the form of the file: one line of JSON."""
        doc = {
            "version": VERSION,
            "out": sorted(self.disabled_backends),
            "draining": self.draining,
            "serving": self.serving_pid,
        }
        return json.dumps(doc).encode() + b"\n"


def decode(data: bytes) -> OperationsState:
    """Parse the contents of the file.

    Raises:
        ValueError: `encode` did not write this; it may lack its end.
    """
    if not data.endswith(b"}\n"):
        raise ValueError("it is cut short")
    doc = json.loads(data)
    if not isinstance(doc, dict) or doc.get("version") != VERSION:
        raise ValueError(f"it is not of version {VERSION}")
    disabled, draining, serving_pid = doc.get("out"), doc.get("draining"), doc.get("serving")
    if not isinstance(disabled, list) or not all(isinstance(backend, str) for backend in disabled):
        raise ValueError("out: a list of backends is needed")
    if not isinstance(draining, bool) or type(serving_pid) is not int:
        raise ValueError("draining and serving: true or false, and a number")
    return OperationsState(frozenset(disabled), draining, serving_pid)
