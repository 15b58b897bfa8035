"""A process of the emulator's own, which exchanges JSON lines with it over its standard input and output."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[3]
"""The root of the repository, where the processes run."""
MAX_LINE_BYTES = 1 << 28
END_TIMEOUT_S = 10.0
"""A process that has not ended so long after its input is killed."""


class PipeError(Exception):
    """A process of the emulator's own failed; the message says which."""


class Pipe:
    """A process that reads and writes JSON lines."""

    def __init__(self, process: asyncio.subprocess.Process, module: str) -> None:
        self.process, self._module = process, module

    @classmethod
    async def open(cls, module: str, *arguments: str) -> Pipe:
        """Start a module as a process with these arguments."""
        # A session of its own: Ctrl-C only reaches the emulator, which then ends what it has started.
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            start_new_session=True,
            limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(process, module)

    def send(self, message: dict[str, Any]) -> None:
        """Write a message."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(message).encode() + b"\n")

    async def receive(self) -> dict[str, Any] | None:
        """Read the next message; return None once the process has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        return json.loads(line) if line else None

    async def expect(self) -> dict[str, Any]:
        """Read the next message.

        Raises:
            PipeError: The process has ended.
        """
        message = await self.receive()
        if message is None:
            raise PipeError(f"{self._module} ended too early")
        return message

    async def request(self, message: dict[str, Any]) -> dict[str, Any]:
        """Write a message and read the answer.

        Raises:
            PipeError: The process has ended.
        """
        self.send(message)
        return await self.expect()

    def close(self) -> None:
        """End the input of the process."""
        assert self.process.stdin is not None
        self.process.stdin.close()

    async def end(self) -> None:
        """End the process by the end of its input, or kill it after a time-out."""
        self.close()
        try:
            await asyncio.wait_for(self.process.wait(), END_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
