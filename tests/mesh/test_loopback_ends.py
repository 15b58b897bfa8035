"""A mesh on loopback ends all processes that it started, also where it fails."""

from __future__ import annotations

import errno
import subprocess
import sys
from collections.abc import Iterator
from typing import NoReturn

import pytest

from lilacsill.mesh.simulation import loopback, loopback_processes
from lilacsill.mesh.simulation.loopback import LoopbackMesh
from lilacsill.mesh.simulation.loopback_processes import Program

WAIT_FOR_A_SIGNAL = [sys.executable, "-c", "import signal; signal.pause()"]
real_popen = subprocess.Popen


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[subprocess.Popen[bytes]]]:
    """All processes that are started. They wait for a signal in place of the programs, and need no ports."""
    processes: list[subprocess.Popen[bytes]] = []

    def start(_command: list[str], **_options: object) -> subprocess.Popen[bytes]:
        processes.append(real_popen(WAIT_FOR_A_SIGNAL))
        return processes[-1]

    monkeypatch.setattr(subprocess, "Popen", start)
    monkeypatch.setattr(loopback, "Backend", IdleBackend)
    yield processes
    for process in processes:
        process.kill()
        process.wait()


class IdleBackend:
    """A backend without a port."""

    def __init__(self, _mesh: LoopbackMesh, _ip: str) -> None:
        self.is_closed = False

    def close(self) -> None:
        """Note that it is closed."""
        self.is_closed = True


@pytest.mark.parametrize("error", [OSError(errno.EADDRINUSE, "the port is in use"), KeyboardInterrupt()])
def test_a_mesh_that_cannot_begin_ends_its_processes(
    started: list[subprocess.Popen[bytes]], monkeypatch: pytest.MonkeyPatch, error: BaseException
) -> None:
    def fail(_mesh: LoopbackMesh, _ip: str) -> NoReturn:
        raise error

    monkeypatch.setattr(loopback, "Backend", fail)
    with pytest.raises(type(error)), LoopbackMesh(cores=3, sidecars=2):
        pytest.fail("the mesh has begun")
    assert len(started) == 7
    assert all(process.poll() is not None for process in started)


def test_a_run_that_fails_ends_a_process_that_was_left_to_end_by_itself(
    started: list[subprocess.Popen[bytes]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(loopback_processes.LoopbackProcesses, "signal", lambda *_: None)  # it does not obey
    mesh = LoopbackMesh(cores=1, sidecars=1)
    with pytest.raises(AssertionError, match="in time"), mesh:
        mesh.terminate(Program.PROXY, mesh.sidecars[0])
        raise AssertionError("it has not ended in time")
    assert len(started) == 3
    assert all(process.poll() is not None for process in started)


def test_both_runs_of_a_program_that_was_started_again_are_ended(started: list[subprocess.Popen[bytes]]) -> None:
    with LoopbackMesh(cores=1, sidecars=1) as mesh:
        mesh.start_core(mesh.cores[0])
    assert len(started) == 5
    assert all(process.poll() is not None for process in started)


def test_the_backends_are_closed(started: list[subprocess.Popen[bytes]]) -> None:
    with LoopbackMesh(cores=1, sidecars=1) as mesh:
        backends = [backend for backend in mesh.backends.values() if isinstance(backend, IdleBackend)]
    assert started and [backend.is_closed for backend in backends] == [True]
