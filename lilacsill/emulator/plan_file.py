"""Read what runs left on disk: plans, recordings of agents, and records of what they told each other."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lilacsill.agent.recorder.format import RecordingError, parse

from .models import stories
from .models.explained import Wave, explain
from .models.fleet_counts import FleetCounts, count
from .models.plan import Plan, make_plan
from .models.recorded import RecordedError, Recording, plan_of
from .models.scenario import Scenario
from .scenario_file import ScenarioError, load

SUFFIX = ".plan.json"
SERVER_RECORDS = "servers.json"
"""The file with the servers' own records, beside the recordings of a run."""
OLDER_SUFFIX = ".1"
"""The older half of a recording's ring has this after its name."""


@dataclass(slots=True, frozen=True)
class _RecordingFile:
    """A recording with the older half of its ring."""

    header: dict[str, Any]
    events: list[list[Any]]

    @property
    def began_unix_ms(self) -> int:
        return int(self.header["began_unix_ms"])


def read(path: str, seed: int | None = None) -> Plan:
    """Make a plan from a scenario, or read one that `write` wrote.

    Args:
        path: A scenario (`scenario_file.load`), or a plan's file.
        seed: In place of the scenario's own.

    Raises:
        ScenarioError: The file cannot be used.
    """
    if not path.endswith(SUFFIX):
        return make_plan(load(path), seed)
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        raise ScenarioError(f"{path}: no plan: {error}") from None


def write(plan: Plan, path: Path) -> None:
    """Write a plan, for the emulator's processes."""
    path.write_bytes(msgspec.json.encode(plan))


def _read_recording(path: Path) -> _RecordingFile:
    """Read a recording, the older half of its ring first.

    Raises:
        OSError: It cannot be read.
        RecordingError: It is no recording.
    """
    older = path.with_name(path.name + OLDER_SUFFIX)
    events: list[list[Any]] = []
    if older.exists():
        events += parse(older.read_bytes(), str(older))[1]
    header, newer = parse(path.read_bytes(), str(path))
    return _RecordingFile(header, events + newer)


def explain_run(folder: Path) -> list[Wave]:
    """Explain the waves of refusals of a run that was recorded in a folder.

    Raises:
        ScenarioError: The folder has no recorded run.
    """
    try:
        records = json.loads((folder / SERVER_RECORDS).read_bytes())
        agents: dict[str, list[list[Any]]] = {}
        for path in sorted(folder.glob("*.rec")):
            recording = _read_recording(path)
            shift_us = recording.header["began_unix_ms"] * 1000 - records["t0_unix_us"]
            agents[path.stem] = [[event[0], event[1] + shift_us, *event[2:]] for event in recording.events]
    except OSError as error:
        raise ScenarioError(f"{error.filename}: {error.strerror}; `run SCENARIO --record FOLDER` writes one") from None
    except RecordingError as error:
        raise ScenarioError(str(error)) from None
    except (ValueError, KeyError, TypeError) as error:
        raise ScenarioError(f"{folder / SERVER_RECORDS}: no book of servers: {error}") from None
    return explain(agents, records["attempts"])


def count_fleet(folder: Path) -> FleetCounts:
    """Sum up what all agents whose recordings are in a folder did together.

    Raises:
        ScenarioError: The folder has no recordings.
    """
    recordings: dict[str, tuple[int, list[list[Any]]]] = {}
    try:
        for path in sorted(folder.glob("*.rec")):
            recording = _read_recording(path)
            recordings[path.stem] = recording.began_unix_ms * 1000, recording.events
        if not recordings:
            raise ScenarioError(
                f"{folder}: no recording (*.rec); `run SCENARIO --record FOLDER` writes some; nor "
                "records of agents that know of each other (*.jsonl), which [peers] records writes"
            )
        return count(recordings)
    except OSError as error:
        raise ScenarioError(f"{error.filename}: {error.strerror}") from None
    except RecordingError as error:
        raise ScenarioError(str(error)) from None
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise ScenarioError(f"{folder}: an event that is none: {error}") from None


def join_stories(folder: Path) -> list[stories.Story]:
    """Join the records of what agents told each other; the list is empty without any.

    Raises:
        ScenarioError: A file has something else.
    """
    entries: list[tuple[str, stories.Entry]] = []
    try:
        for path in sorted([*folder.glob("*.jsonl"), *folder.glob(f"*.jsonl{OLDER_SUFFIX}")]):
            entries += stories.read(path.read_text().splitlines(), str(path))
    except OSError as error:
        raise ScenarioError(f"{error.filename}: {error.strerror}") from None
    except ValueError as error:  # also of a file in another encoding
        raise ScenarioError(str(error)) from None
    return stories.join(entries)


def from_recordings(paths: list[str], seed: int) -> Plan:
    """Make a plan of one recording of each agent.

    Raises:
        ScenarioError: A file is no recording, or they do not belong together.
    """
    try:
        files = [_read_recording(Path(path)) for path in paths]
        began_unix_ms = min(file.began_unix_ms for file in files)
        recordings = []
        for file in files:
            for event in file.events:
                event[1] += (file.began_unix_ms - began_unix_ms) * 1000
            recordings.append(Recording(file.header["classes"], file.header["tenants"], file.events))
        return plan_of(recordings, Scenario(name="defaults").classes, seed, Path(paths[0]).stem)
    except OSError as error:
        raise ScenarioError(f"{error.filename}: {error.strerror}") from None
    except (RecordingError, RecordedError) as error:
        raise ScenarioError(str(error)) from None
