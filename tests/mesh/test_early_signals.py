"""Signals that come while a process starts, before any of its parts could handle them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

PROGRAMS = ["proxy", "registry", "store"]
PATIENCE_S = 20.0
NOT_TOML = "= nothing"  # settings that end a process with status 2
EXIT_BAD_SETTINGS = 2


class StartingProcess:
    """A process that waits for its settings, which come through a pipe."""

    def __init__(self, process: subprocess.Popen[bytes], pipe: int) -> None:
        self.process, self._pipe = process, pipe

    def give_settings(self, text: str) -> None:
        os.write(self._pipe, text.encode())
        os.close(self._pipe)
        self._pipe = -1

    def close(self) -> None:
        if self._pipe >= 0:
            os.close(self._pipe)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@contextmanager
def starting(program: str, folder: Path) -> Iterator[StartingProcess]:
    path = folder / "node.toml"
    os.mkfifo(path)
    env = {**os.environ, "LILACSILL_SETTINGS": str(path)}
    process = subprocess.Popen([sys.executable, "-m", f"lilacsill.mesh.{program}"], env=env, stderr=subprocess.DEVNULL)
    opened: list[int] = []
    # Opening returns when the process has opened its settings, too.
    opener = threading.Thread(target=lambda: opened.append(os.open(path, os.O_WRONLY)), daemon=True)
    opener.start()
    opener.join(PATIENCE_S)
    assert opened, "the process does not read its settings"
    started = StartingProcess(process, opened[0])
    try:
        yield started
    finally:
        started.close()


# Guards against a process that a SIGHUP ends since it comes before the process handles signals.
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_sighup_during_the_start_ends_nothing(program: str, tmp_path: Path) -> None:
    with starting(program, tmp_path) as started:
        started.process.send_signal(signal.SIGHUP)
        started.give_settings(NOT_TOML)
        assert started.process.wait(PATIENCE_S) == EXIT_BAD_SETTINGS


# Guards against a SIGTERM during the start that looks like a crash to the platform.
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_sigterm_during_the_start_ends_the_process_in_order(program: str, tmp_path: Path) -> None:
    with starting(program, tmp_path) as started:
        started.process.send_signal(signal.SIGTERM)
        assert started.process.wait(PATIENCE_S) == 0


# Guards against an end by SIGHUP while the interpreter itself starts, before any code of the program runs.
def test_a_sighup_while_the_interpreter_starts_ends_nothing(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(NOT_TOML)
    env = {**os.environ, "LILACSILL_SETTINGS": str(path)}
    process = subprocess.Popen([sys.executable, "-m", "lilacsill.mesh.proxy"], env=env, stderr=subprocess.DEVNULL)
    process.send_signal(signal.SIGHUP)
    assert process.wait(PATIENCE_S) == EXIT_BAD_SETTINGS
