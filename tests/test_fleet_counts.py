"""Counting over a fleet: the sum of recordings that began at different times, by second and by backend."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from lilacsill.emulator.__main__ import main
from lilacsill.emulator.models.fleet_counts import SECOND, count
from lilacsill.agent.recorder.format import encode_header, encode_line

EVENTS: list[list[Any]] = [
    ["l", 0, 1, True, [["s0", "ready", 0], ["s1", "ready", 9_000]]],
    ["q", 10, 1, 0, 0, 400, False],
    ["a", 900_000, 1, 0, "s0", "ok", 50_000, [2.0, 1.0, 0.5]],
    ["f", 900_010, 1, 200],
    ["q", 1_000_010, 2, 0, 0, 400, True],
    ["a", 1_200_000, 2, 0, "s1", "timeout", 200_000, []],
    ["f", 1_200_010, 2, 503],
]
BEGAN_MS = 10_000


def write(folder: Path, name: str, began_ms: int, events: list[list[Any]] = EVENTS) -> None:
    text = encode_header(name, ["c"], ["t"], began_ms) + b"".join(encode_line(e) for e in events)
    (folder / f"{name}.rec").write_bytes(text)


def test_recordings_are_added_up_on_one_clock() -> None:
    counts = count({"n0": (BEGAN_MS * 1000, EVENTS), "n1": (BEGAN_MS * 1000 + SECOND, EVENTS)})
    assert [s.requests for s in counts.seconds.values()] == [1, 2, 1]
    assert [s.refused for s in counts.seconds.values()] == [0, 1, 1]
    assert [s.retries for s in counts.seconds.values()] == [0, 1, 1]
    assert [s.lists for s in counts.seconds.values()] == [1, 1, 0]
    s0, s1 = counts.backends["s0"], counts.backends["s1"]
    assert s0.attempts == {"ok": 2} and s0.mean_in_flight == 2.0 and s0.first_attempt_s is None and len(s0.agents) == 2
    assert s1.attempts == {"timeout": 2} and s1.first_attempt_s == pytest.approx(2.2) and s1.max_per_second == 1


def test_the_command_prints_a_table_and_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for i in range(2):
        write(tmp_path, f"n{i}", BEGAN_MS + 1000 * i)
    assert main(["fleet", str(tmp_path)]) == 0
    assert "s1" in capsys.readouterr().out
    assert main(["fleet", str(tmp_path), "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert sum(s["requests"] for s in rows["seconds"]) == 4
    assert rows["backends"]["s1"]["attempts"] == {"timeout": 2}


def test_bad_input_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["fleet", str(tmp_path)]) == 2 and "no recording" in capsys.readouterr().err
    write(tmp_path, "n0", BEGAN_MS, [["a", 5, 1]])
    assert main(["fleet", str(tmp_path)]) == 2 and str(tmp_path) in capsys.readouterr().err
    (tmp_path / "n1.rec").write_text("{}\n")
    assert main(["fleet", str(tmp_path)]) == 2 and "n1.rec" in capsys.readouterr().err
