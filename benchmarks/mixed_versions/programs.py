"""Starts programs of a source tree as processes, waits until they answer, and ends them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import msgspec

from .source_trees import NEW_FOLDER, SourceTree

HOST = "127.0.0.1"
START_TIMEOUT_S, END_TIMEOUT_S = 15.0, 15.0
POLL_S = 0.05
CALL_TIMEOUT_S = 10.0


class ProgramError(Exception):
    """A program does not start, answer or end as it should."""


class Servers(msgspec.Struct, frozen=True):
    """Ports of stand-ins for the backends and their discovery, as `benchmarks.standins` prints them."""

    backends: list[int]
    discovery: int


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Return ports on loopback that nothing uses now."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


@contextmanager
def running(
    tree: SourceTree, log_path: Path, environment: dict[str, str], module: str, *arguments: str
) -> Iterator[subprocess.Popen[bytes]]:
    """Run `python -m MODULE` of a tree; at the end it gets SIGTERM and must end with status 0.

    Raises:
        ProgramError: It ended in another way, or not in time.
    """
    with log_path.open("ab") as log_file:
        process = subprocess.Popen(
            tree.command(module, *arguments),
            cwd=tree.folder,
            env={**os.environ, **environment},
            stdout=log_file,
            stderr=log_file,
        )
    try:
        yield process
        process.send_signal(signal.SIGTERM)
        status = process.wait(END_TIMEOUT_S)
        if status != 0:
            raise ProgramError(f"{module} of the {tree.name} build ended with status {status}: {last_line(log_path)}")
    except subprocess.TimeoutExpired:
        raise ProgramError(f"{module} of the {tree.name} build did not end in {END_TIMEOUT_S:.0f} s") from None
    finally:
        process.kill()
        process.wait()


@contextmanager
def running_servers(count: int, delay_ms: float) -> Iterator[Servers]:
    """Run stand-ins for backends and discovery in one process."""
    command = [sys.executable, "-m", "benchmarks.standins", "--backends", str(count), "--delay-ms", str(delay_ms)]
    process = subprocess.Popen(command, cwd=NEW_FOLDER, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        if process.stdout is None:
            raise ProgramError("the stand-ins have no standard output")
        yield msgspec.json.decode(process.stdout.readline(), type=Servers)
    finally:
        process.kill()
        process.wait()


def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds; calls that fail count as not yet.

    Raises:
        ProgramError: It did not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except httpx.HTTPError:
            pass
        time.sleep(POLL_S)
    raise ProgramError(f"not within {timeout_s:.0f} s: {description}")


def last_line(log_path: Path) -> str:
    """Return the last line that a program printed."""
    lines = log_path.read_text(errors="replace").strip().splitlines()
    return lines[-1] if lines else "it printed nothing"
