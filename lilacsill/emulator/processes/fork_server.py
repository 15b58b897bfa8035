"""Forks agents from one process that has their modules loaded: ``python -m lilacsill.emulator.processes.nursery``.

An agent's start costs 0.1 to 0.3 s of CPU, most of it imports; a hundred of them in the same second would be a trouble
of the rig's own. What runs in each child is the program's own `main`, with its own environment, group, limits and log.

Commands as JSON lines on standard input: {"start": NAME, "argv": [...], "env": {...}, "sockets": N}. Lines on standard
output: {"name", "pid"} for each start, {"name", "pid", "line"} for each line of a log, {"name", "pid", "exit"} for each
end. When the standard input ends all children are killed.
"""

from __future__ import annotations

import json
import os
import resource
import selectors
import signal
import sys
from contextlib import suppress
from typing import Any, NoReturn

import lilacsill.__main__ as program

# What a start imports beyond it, once a file asks for it.
import lilacsill.agent.admin.operations  # noqa: F401
import lilacsill.agent.cli  # noqa: F401
import lilacsill.agent.operator.file  # noqa: F401
import lilacsill.agent.peers.channel  # noqa: F401


class Nursery:
    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._children: dict[int, tuple[str, int]] = {}  # pid: name and its log
        self._pieces: dict[int, bytes] = {}
        self._commands = b""

    def run(self) -> int:
        self._selector.register(0, selectors.EVENT_READ)
        try:
            while True:
                for key, _ in self._selector.select():
                    fd = key.fd
                    data = os.read(fd, 65536)
                    if fd == 0:
                        if not data:
                            return 0
                        *lines, self._commands = (self._commands + data).split(b"\n")
                        for line in lines:
                            self._start(json.loads(line))
                    else:
                        self._log(fd, data)
        finally:
            for pid in self._children:
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            for pid in self._children:
                with suppress(ChildProcessError):
                    os.waitpid(pid, 0)

    def _log(self, fd: int, data: bytes) -> None:
        pid, name = next((p, n) for p, (n, f) in self._children.items() if f == fd)
        *lines, self._pieces[fd] = (self._pieces.get(fd, b"") + data).split(b"\n")
        for line in lines:
            _say({"name": name, "pid": pid, "line": line.decode(errors="replace")})
        if not data:  # its last descriptor is closed: it has ended
            self._selector.unregister(fd)
            os.close(fd)
            del self._children[pid], self._pieces[fd]
            _, status = os.waitpid(pid, 0)
            _say({"name": name, "pid": pid, "exit": os.waitstatus_to_exitcode(status)})

    def _start(self, what: dict[str, Any]) -> None:
        ours, theirs = os.pipe()
        sys.stdout.flush()
        pid = os.fork()
        if pid == 0:
            self._selector.close()
            for _, fd in self._children.values():
                os.close(fd)
            os.close(ours)
            _child(what, theirs)
        os.close(theirs)
        self._children[pid] = (what["start"], ours)
        self._selector.register(ours, selectors.EVENT_READ)
        _say({"name": what["start"], "pid": pid})


def _say(what: dict[str, Any]) -> None:
    print(json.dumps(what), flush=True)


def _child(what: dict[str, Any], log: int) -> NoReturn:
    """Never returns: what stands above on the stack is the nursery's."""
    status = 70
    try:
        os.setsid()
        nothing = os.open(os.devnull, os.O_RDWR)
        os.dup2(nothing, 0)
        os.dup2(nothing, 1)
        os.dup2(log, 2)
        os.close(nothing)
        os.close(log)
        os.environ.clear()
        os.environ.update(what["env"])
        sockets = int(what.get("sockets", 1024))
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        status = program.main(what.get("argv", []))
    except BaseException as e:  # whatever it is, it ends this child and not the nursery's loop above it
        os.write(2, f"{type(e).__name__}: {e}\n".encode())
    os._exit(status)


if __name__ == "__main__":
    sys.exit(Nursery().run())
