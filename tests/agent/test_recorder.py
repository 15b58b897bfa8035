"""Recordings: what is written, within its bound, what is read back, and what becomes of it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import Outcome
from lilacsill.emulator import plan_file
from lilacsill.emulator.models.recorded import RecordedError, Recording, plan_of
from lilacsill.emulator.models.scenario import Scenario
from lilacsill.emulator.scenario_file import ScenarioError
from lilacsill.clock import Clock
from lilacsill.agent.recorder.format import RecordingError, encode_header, encode_line, parse
from lilacsill.agent.recorder.ring import Recorder
from tests.agent.loopback import load_config, config_doc, post, world

CLASSES = Scenario(name="x").classes
HEAD = encode_header("n0", ["registro-servicio", "vale-almacen"], ["a", "b"], 5)


def recorder(folder: Path, max_bytes: int = 10**6) -> Recorder:
    config = load_config(folder, config_doc(9, []), Clock())
    return Recorder(str(folder / "n0.rec"), max_bytes, "n0", config.settings, Clock())


def test_what_an_agent_saw_is_read_back(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            w.agent.observer = r = recorder(tmp_path)
            client = await w.ask(post(body=b"secret body"))
            await (await w.request()).answer(200, b"done", Server_Load="inflight=1,queue=0,util=0.1")
            assert (await client.read()).status == 200
            r.close()

    asyncio.run(run())
    data = (tmp_path / "n0.rec").read_bytes()
    assert b"secret" not in data and b"5c0f" not in data  # neither body nor key
    head, events = parse(data, "n0")
    assert head["classes"] == ["registro-servicio", "vale-almacen"] and head["tenants"] == ["norvalle"]
    assert [e[0] for e in events] == ["q", "a", "f"]
    assert events[0][2:] == [1, 0, 0, 30_000, 0]
    assert events[1][2:6] == [1, 0, "s0", "ok"] and events[1][7] == [1.0, 0.0, 0.1]
    assert events[2][2:] == [1, 200] and 0 <= events[0][1] <= events[2][1]


def test_the_ring_stays_within_its_bound_and_keeps_the_newest(tmp_path: Path) -> None:
    r = recorder(tmp_path, max_bytes=400_000)
    for number in range(40_000):
        r.attempt_ended(number, 0, "s0", Outcome.OK, 9000, (1.0, 0.0, 0.5))
    r.close()
    files = [tmp_path / "n0.rec.1", tmp_path / "n0.rec"]
    # A half is closed once it is over its bound, by a buffer at most.
    assert sum(f.stat().st_size for f in files) <= 400_000 + 2 * 70_000
    numbers = [e[2] for f in files for e in parse(f.read_bytes(), f.name)[1]]
    assert numbers == list(range(numbers[0], 40_000)) and len(numbers) > 3000


def test_a_disk_that_fails_ends_the_recording_with_one_line(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    for path in ("/dev/full", str(tmp_path / "no" / "where")):
        config = load_config(tmp_path, config_doc(9, []), Clock())
        r = Recorder(path, 10**6, "n0", config.settings, Clock())
        for number in range(9000):
            r.request_answered(number, 200)
        r.close()
    assert [m.split(":")[0] for m in caplog.messages] == ["recording stopped"] * 2


@pytest.mark.parametrize(
    "data, why",
    [
        (b"", "not a recording"),
        (b"{}\n", "not a recording"),
        (b"[]\n", "not a recording"),
        (b"\xff\n", "n0:1: invalid JSON"),
        (HEAD.replace(b'"version":2', b'"version":3'), "version 3; this program reads version 2"),
        (HEAD + b"{\n", "n0:2: invalid JSON"),
        (HEAD + b"[]\n", "n0:2: not an event"),
        (HEAD + b'["q","soon",1]\n', "n0:2: not an event"),
    ],
)
def test_what_is_no_recording_is_named(data: bytes, why: str) -> None:
    with pytest.raises(RecordingError, match=why):
        parse(data, "n0")


def test_a_last_line_that_is_cut_short_is_left_out() -> None:
    whole = HEAD + encode_line(["f", 1, 2, 200])
    assert parse(whole + b'["f",1', "n0") == parse(whole, "n0")


@given(st.binary(max_size=80))
def test_any_bytes_are_a_recording_or_an_error(data: bytes) -> None:
    try:
        parse(HEAD + data, "n0")
    except RecordingError as e:
        assert str(e).startswith("n0:")


# From recordings to a plan


def served(number: int, at: int, cls: int, backend: str, latency: int, held: float = 1.0) -> list[list[Any]]:
    return [
        ["q", at, number, cls, 0, 750, 0],
        ["a", at + latency, number, 0, backend, "ok", latency, [held, 0.0, 0.5]],
        ["f", at + latency, number, 200],
    ]


def test_a_plan_of_a_recording() -> None:
    events: list[list[Any]] = [["l", 0, 1, True, [["s0", "ready", 0], ["s1", "ready", 0]]]]
    for number, ms in enumerate(range(0, 8000, 20), 1):
        slow = 3 if 4000 <= ms < 5000 else 1
        events += served(number, ms * 1000, number % 2, "s0", 11_500 * slow)
        if 2000 <= ms < 3000:
            events.append(["a", ms * 1000, number, 1, "s1", "connect_failed", 100, []])
        elif ms % 40 == 0:
            events.append(["a", ms * 1000, number, 1, "s1", "ok", 11_500, [1.0, 0.0, 0.5]])
    events.append(["q", 100, 9999, 0, 0, 750, 1])  # a client's retry
    events.append(["l", 6_000_000, 2, False, [["s1", "draining", 0], ["s2", "ready", 77]]])
    plan = plan_of([Recording(["registro-servicio", "vale-almacen"], ["a", "b"], events)], CLASSES, 3, "r")
    assert len(plan.arrivals) == 400 and {a.work_us for a in plan.arrivals} == {10_000}
    assert [c.effect for c in plan.scenario.classes] == ["keyed", "unsafe"]
    s0, s1, again, s2 = plan.incarnations
    assert [(s.start, s.end) for s in s0.spans] == [(4_000_000, 4_500_000), (4_500_000, 5_000_000)]
    assert all(0.6 < s.taken < 0.75 for s in s0.spans)
    # All attempts failed for a second: the process was away, and came back cold.
    assert (s1.stop, again.start, again.cold, again.id) == (2_000_000, 2_980_000, True, "s1")
    assert again.drain == 6_000_000 and s1.drain is None and (s2.start, s2.cold) == (6_000_000, True)


def test_recordings_that_make_no_plan() -> None:
    one = Recording(["c"], ["t"], [])
    for recordings in ([], [one], [one, Recording(["d"], ["t"], [])]):
        with pytest.raises(RecordedError):
            plan_of(recordings, CLASSES, 1, "r")


def test_plan_files(tmp_path: Path) -> None:
    path = tmp_path / "n0.rec"
    path.write_bytes(HEAD + b"".join(map(encode_line, served(1, 5, 0, "s0", 9000))))
    plan = plan_file.from_recordings([str(path), str(path)], 1)
    assert plan.scenario.load.agents == 2 and len(plan.arrivals) == 2
    out = tmp_path / f"x{plan_file.SUFFIX}"
    plan_file.write(plan, out)
    assert plan_file.read(str(out)) == plan
    out.write_text(json.dumps({"seed": 1}))
    with pytest.raises(ScenarioError, match="no plan"):
        plan_file.read(str(out))
    for bad in (tmp_path / "none", out):
        with pytest.raises(ScenarioError):
            plan_file.from_recordings([str(bad)], 1)
