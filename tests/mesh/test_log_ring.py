"""The log of a process: kept in memory, and written to standard error when something goes wrong."""

from __future__ import annotations

import subprocess
import sys

import pytest

from lilacsill.mesh.runtime.log_ring import LogRing

# As a process of the mesh ends: without the interpreter's own clean-up.
PROGRAM = """
import os, sys
from lilacsill.mesh.runtime.log_ring import log
log.info("state %s", "ready")
{call}
sys.stderr.flush()
os._exit(0)
"""


def written_by(call: str) -> str:
    ran = subprocess.run([sys.executable, "-c", PROGRAM.format(call=call)], capture_output=True, text=True, check=True)
    return ran.stderr


# Guards against a logger without a level, which wrote nothing at all.
@pytest.mark.parametrize("call", ['log.warning("disk %d", 7)', 'log.info("disk 7"); log.flush()'])
def test_a_warning_and_a_flush_write_out_the_lines_that_are_kept(call: str) -> None:
    lines = written_by(call).splitlines()
    assert [line.partition(" ")[2] for line in lines] == ["state ready", "disk 7"]


def test_without_a_warning_nothing_is_written() -> None:
    assert written_by("") == ""


def test_the_oldest_lines_make_room() -> None:
    ring = LogRing(max_lines=2)
    for number in range(3):
        ring.info("line %d", number)
    assert [line.partition(" ")[2] for line in ring.tail()] == ["line 1", "line 2"]
