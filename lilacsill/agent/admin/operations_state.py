"""The state that operators control, shared by the processes of an agent, and its file format. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

VERSION = 1


@dataclass(slots=True, frozen=True)
class OperationsState:
    """The state that operators control, and the process of the agent that serves."""

    disabled_backends: frozenset[str] = frozenset()
    draining: bool = False
    serving_pid: int = 0  # the process that last became ready; 0: none

    def disable(self, backend: str) -> OperationsState:
        """Return a copy of the state with a backend out of service."""
        return replace(self, disabled_backends=self.disabled_backends | {backend})

    def enable(self, backend: str) -> OperationsState:
        """Return a copy of the state with a backend in service."""
        return replace(self, disabled_backends=self.disabled_backends - {backend})

    def encode(self) -> bytes:
        """Encode the state in the file format: one line of JSON."""
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
        ValueError: The contents are truncated or invalid.
    """
    if not data.endswith(b"}\n"):
        raise ValueError(f"truncated file: {len(data)} bytes without the closing brace and line feed")
    doc = json.loads(data)
    if not isinstance(doc, dict) or doc.get("version") != VERSION:
        raise ValueError(f"not an object of version {VERSION}")
    disabled, draining, serving_pid = doc.get("out"), doc.get("draining"), doc.get("serving")
    if not isinstance(disabled, list) or not all(isinstance(backend, str) for backend in disabled):
        raise ValueError("invalid `out`: expected a list of backend ids")
    if not isinstance(draining, bool) or type(serving_pid) is not int:
        raise ValueError("invalid `draining` or `serving`: expected a boolean and a process id")
    return OperationsState(frozenset(disabled), draining, serving_pid)
