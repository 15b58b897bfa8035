"""Forks agents from one process that has their modules loaded: ``python -m lilacsill.emulator.processes.fork_server``.

An agent's start costs 0.1 to 0.3 s of CPU, most of it imports; a hundred of them in the same second would overload the
machine and disturb the test. Each child runs the program's own `main`, with its own environment, session, limits and
log.

Commands are JSON lines on standard input: {"start": NAME, "argv": [...], "env": {...}, "sockets": N}. Lines on standard
output: {"name", "pid"} for each start, {"name", "pid", "line"} for each line of a log, {"name", "pid", "exit"} for each
end. When the standard input ends, all children are killed.
"""

from __future__ import annotations

import json
import os
import resource
import selectors
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, NoReturn

import lilacsill.__main__ as program

# What a start imports beyond it, depending on the operator file.
import lilacsill.agent.admin.operations  # noqa: F401
import lilacsill.agent.cli  # noqa: F401
import lilacsill.agent.operator.file  # noqa: F401
import lilacsill.agent.peers.channel  # noqa: F401

READ_BYTES = 65536
DEFAULT_DESCRIPTORS = 1024
INTERNAL_ERROR_STATUS = 70
"""The exit status of a child that raised (sysexits.h: EX_SOFTWARE)."""


@dataclass(slots=True)
class _Child:
    pid: int
    name: str
    partial_line: bytes = b""


class ForkServer:
    """The parent of all agents."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._children: dict[int, _Child] = {}  # by the descriptor of its log
        self._partial_command = b""

    def run(self) -> int:
        """Execute commands until the standard input ends; return the exit status."""
        self._selector.register(0, selectors.EVENT_READ)
        try:
            while True:
                for key, _ in self._selector.select():
                    data = os.read(key.fd, READ_BYTES)
                    if key.fd != 0:
                        self._forward_log(key.fd, data)
                    elif data:
                        self._execute(data)
                    else:
                        return 0
        finally:
            self._kill_children()

    def _execute(self, data: bytes) -> None:
        *lines, self._partial_command = (self._partial_command + data).split(b"\n")
        for line in lines:
            self._start(json.loads(line))

    def _kill_children(self) -> None:
        for child in self._children.values():
            with suppress(ProcessLookupError):
                os.kill(child.pid, signal.SIGKILL)
        for child in self._children.values():
            with suppress(ChildProcessError):
                os.waitpid(child.pid, 0)

    def _forward_log(self, log: int, data: bytes) -> None:
        child = self._children[log]
        *lines, child.partial_line = (child.partial_line + data).split(b"\n")
        for line in lines:
            _send({"name": child.name, "pid": child.pid, "line": line.decode(errors="replace")})
        if not data:  # the child has closed its last descriptor: it has ended
            self._selector.unregister(log)
            os.close(log)
            del self._children[log]
            _, status = os.waitpid(child.pid, 0)
            _send({"name": child.name, "pid": child.pid, "exit": os.waitstatus_to_exitcode(status)})

    def _start(self, command: dict[str, Any]) -> None:
        read_end, write_end = os.pipe()
        sys.stdout.flush()
        pid = os.fork()
        if pid == 0:
            self._selector.close()
            for log in self._children:
                os.close(log)
            os.close(read_end)
            _run_child(command, write_end)
        os.close(write_end)
        self._children[read_end] = _Child(pid, command["start"])
        self._selector.register(read_end, selectors.EVENT_READ)
        _send({"name": command["start"], "pid": pid})


def _send(message: dict[str, Any]) -> None:
    print(json.dumps(message), flush=True)


def _run_child(command: dict[str, Any], log: int) -> NoReturn:
    """Run an agent and exit, so that the parent's frames on the stack never continue."""
    status = INTERNAL_ERROR_STATUS
    try:
        os.setsid()
        null = os.open(os.devnull, os.O_RDWR)
        os.dup2(null, 0)
        os.dup2(null, 1)
        os.dup2(log, 2)
        os.close(null)
        os.close(log)
        os.environ.clear()
        os.environ.update(command["env"])
        descriptors = int(command.get("sockets", DEFAULT_DESCRIPTORS))
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        status = program.main(command.get("argv", []))
    except BaseException as error:  # also SystemExit: none may reach the parent's loop above
        os.write(2, f"{type(error).__name__}: {error}\n".encode())
    os._exit(status)


if __name__ == "__main__":
    sys.exit(ForkServer().run())
