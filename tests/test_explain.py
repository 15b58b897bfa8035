"""Refusals explained: belief against the servers' own book, from a run's recordings."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.agent.recorder.format import RecordingError, encode_header, encode_line, parse
from lilacsill.agent.recorder.ring import Recorder
from lilacsill.balancing.interface import BackendEstimate, Settings
from lilacsill.clock import Clock
from lilacsill.emulator.__main__ import main
from lilacsill.emulator.lab.module import ModuleError, at_commit
from lilacsill.emulator.models.explained import ServerOccupancy, explain, table
from lilacsill.emulator.models.judge import PollRecord, RunRecords, Limits, notifications_by_timeout
from lilacsill.emulator.models.plan import make_plan
from lilacsill.emulator.models.scenario import Scenario, ScriptedFault

from tests.balancing.helpers import SAFE

MS = 1_000


def attempt(server: str, came: int, ended: int | None, turned_away: bool = False) -> dict[str, object]:
    return {"server": server, "came": came, "ended": ended, "turned_away": turned_away}


@given(st.lists(st.tuples(st.integers(0, 100), st.integers(1, 100)), max_size=30), st.integers(0, 250))
def test_the_book_counts_what_has_come_and_not_ended(spans: list[tuple[int, int]], at: int) -> None:
    occupancy = ServerOccupancy([attempt("a#0", came, came + lasts) for came, lasts in spans])
    assert occupancy.in_flight("a", at) == sum(came <= at < came + lasts for came, lasts in spans)
    assert occupancy.in_flight("b", at) == 0


def test_a_wave_shows_the_worst_gaps_first_and_who_was_idle() -> None:
    events: list[list[object]] = [["f", 1000 + i, i, 503] for i in range(5)]
    events += [["f", 2 * 10**6, 9, 503], ["f", 500, 10, 200]]
    events.append(["b", 1002, [["a", 1, 0.0, 0.0, 3, 8.0, 1], ["b", 0, 9.0, 1.0, 2000, 75.0, 0]]])
    book = [attempt("a#0", 0, None), attempt("b#0", 0, 900), attempt("b#0", 1, None, True)]
    waves = explain({"n0": events}, book)
    assert [(w.start_us, w.end_us, w.refused, w.idle) for w in waves] == [(1000, 1004, 5, 1)]
    worst, other = waves[0].gaps
    assert (worst.server, worst.believed, worst.truth, worst.admitted) == ("b", 10.0, 0, False)
    assert (other.server, other.error) == ("a", 0.0)
    text = table(waves, 1)
    assert "5 refused" in text and " b " in text and " a " not in text
    assert table([], 3) == "no wave of refusals"


def belief() -> list[BackendEstimate]:
    return [
        BackendEstimate("s", 2, 0.5, 1.25, 7_900, 8_123.0, True),
        BackendEstimate("t", 0, 0.0, 0.0, -1, 1.0, False),
    ]


def test_beliefs_are_recorded_at_refusals_and_not_too_often(tmp_path: Path) -> None:
    class Stepped(Clock):
        at = 10**9

        def now(self) -> int:
            return self.at

    for every, wanted in ((0, 0), (5 * MS, 2)):
        clock = Stepped()
        path = tmp_path / f"{every}.rec"
        recorder = Recorder(str(path), 2**20, "n0", Settings(classes=(SAFE,)), clock, belief, every)
        for step, status in enumerate((503, 503, 200, 503)):
            clock.at += 3 * MS * step
            recorder.request_answered(step, status)
        recorder.close()
        head, events = parse(path.read_bytes(), path.name)
        found = [e for e in events if e[0] == "b"]
        assert head["version"] == 2 and len(found) == wanted
        for e in found:
            assert e[2] == [["s", 2, 0.5, 1.25, 7, 8.12, 1], ["t", 0, 0.0, 0.0, -1, 0.0, 0]]


def test_older_recordings_are_read_and_newer_ones_refused() -> None:
    old = encode_header("n0", ["a"], ["t"], 1).replace(b'"version":2', b'"version":1')
    assert parse(old + encode_line(["f", 1, 1, 200]), "x")[1] == [["f", 1, 1, 200]]
    with pytest.raises(RecordingError, match="version 3; this program reads version 2"):
        parse(old.replace(b'"version":1', b'"version":3'), "x")


def test_explain_reads_the_folder_of_a_run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", str(tmp_path)]) == 2
    assert "servers.json" in capsys.readouterr().err
    (tmp_path / "servers.json").write_text(
        json.dumps({"t0_unix_us": 5_000_000, "attempts": [attempt("a#0", 400 * MS, 600 * MS)]})
    )
    events = [encode_line(["f", (i + 1) * MS, i, 503]) for i in range(4)]
    events.append(encode_line(["b", 2 * MS, [["a", 0, 5.0, 0.0, 1, 9.0, 1]]]))
    (tmp_path / "n0.rec").write_bytes(encode_header("n0", ["a"], ["t"], 5_500) + b"".join(events))
    assert main(["explain", str(tmp_path), "--json"]) == 0
    wave = json.loads(capsys.readouterr().out)[0]
    assert wave["refused"] == 4 and wave["gaps"][0]["truth"] == 1 and wave["gaps"][0]["at_us"] == 502 * MS
    (tmp_path / "servers.json").write_text("[]")
    assert main(["explain", str(tmp_path)]) == 2 and "no book" in capsys.readouterr().err


def test_a_pause_of_the_agents_is_planned() -> None:
    plan = make_plan(
        Scenario(
            name="x",
            faults=[
                ScriptedFault(kind="agent_pause", at_s=1.0, size=0.25),
                ScriptedFault(kind="agent_pause", at_s=2.0),
            ],
        )
    )
    assert [(x.at, x.until, x.agent) for x in plan.agent_faults if x.kind == "pause"] == [
        (at, until, n) for at, until in ((1_000_000, 1_250_000), (2_000_000, 2_150_000)) for n in (0, 1)
    ]


def test_a_control_that_is_not_there_is_told_plainly(tmp_path: Path) -> None:
    with pytest.raises(ModuleError, match="nosuchcommit"):
        at_commit("nosuchcommit", Path(__file__).parent, tmp_path)


# The judge holds an agent to asking discovery in time


@pytest.mark.parametrize(
    "asks, told",
    [
        ([(0, 400), (410, None)], []),  # a watch that still waits
        ([(0, 400), (900, 950), (1300, None)], []),  # never silent for long enough
        (
            [(0, 100), (800, None)],
            [650],
        ),  # silent from 100 on: told at 600 and the slack, or when it is known
        ([(0, 100)], [650, 1500]),  # silent to the end
        ([(0, 100), (590, 590), (1060, None)], []),  # a try counts, also one that fails
    ],
)
def test_who_does_not_ask_in_time_counts_as_told(asks: list[tuple[int, int | None]], told: list[int]) -> None:
    books = RunRecords(
        [],
        [],
        polls=[PollRecord(0, a * MS, None if b is None else b * MS) for a, b in asks],
        leaving=[(300 * MS, "s#0"), (1500 * MS, "s#1")],
    )
    found = notifications_by_timeout(books, Limits(poll_interval_us=500 * MS))
    assert sorted(t.at for t in found) == [at * MS for at in told]
