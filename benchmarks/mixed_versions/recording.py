"""Recordings of agents: those of one build are explained by both, with equal results."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from .checks import Check, equality_check
from .programs import ProgramError
from .source_trees import SourceTree, TreePair

AREA = "recording"
MODULE = "lilacsill.emulator"
PLAYED = (0, 1, 3)  # exit statuses of a run that was played; of the agents' results nothing is judged here
COMMANDS = ("explain", "fleet")
# The agents get no processor time at first, so that requests are refused: there is something to explain.
SCENARIO = """name = "mixed"
length_s = 2
[fleet]
servers = 6
slots = 1
queue = 9
[load]
rate = 440
swing = 0.0
[[class]]
name = "registro-servicio"
share = 1.0
work_ms = [5, 16]
effect = "keyed"
worth = 10
aim_ms = 80
deadline_ms = 400
[[trouble]]
kind = "agent_pause"
at_s = 0.01
size = 0.25
"""


def check_recording(trees: TreePair, seed: int, _seconds: float) -> list[Check]:
    """Have each build record a run, and both explain it."""
    checks: list[Check] = []
    for writer, reader in trees.orders:
        with tempfile.TemporaryDirectory(prefix="lilacsill.recording-") as folder:
            _record(writer, Path(folder), seed)
            checks += [_check_command(command, writer, reader, Path(folder)) for command in COMMANDS]
    return checks


def _record(tree: SourceTree, folder: Path, seed: int) -> None:
    scenario = folder / "mixed.toml"
    scenario.write_text(SCENARIO)
    played = tree.run(MODULE, "run", str(scenario), "--seed", str(seed), "--record", str(folder))
    if played.returncode not in PLAYED:
        raise ProgramError(f"run of the {tree.name} build: {played.stderr.strip()}")


def _check_command(command: str, writer: SourceTree, reader: SourceTree, folder: Path) -> Check:
    expected, found = (_output(tree, command, folder) for tree in (writer, reader))
    name = f"{command}: {reader.name} reads what {writer.name} recorded"
    size = len(json.dumps(expected))
    if not expected:
        return Check(AREA, name, False, "there was nothing to explain")
    return equality_check(AREA, name, expected, found, f"{size} bytes of JSON equal")


def _output(tree: SourceTree, command: str, folder: Path) -> object:
    printed = tree.run(MODULE, command, str(folder), "--json")
    if printed.returncode:
        raise ProgramError(f"{command} of the {tree.name} build: {printed.stderr.strip()}")
    decoded: object = json.loads(printed.stdout)
    return decoded
