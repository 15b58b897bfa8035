"""The records of all processes, joined into stories by the id of what began each."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from lilacsill.emulator.__main__ import main
from lilacsill.emulator.models.stories import join, read

from .fleets import OPERATOR, burst, fleet, until


def line(event: str, at: int, agent: int, cause: str, **facts: object) -> str:
    return json.dumps({"event": event, "at_unix_us": at, "agent": agent, "cause": cause, "name": "x", **facts})


def test_entries_join_by_their_cause_whatever_file_they_stand_in() -> None:
    entries = read([line("heard", 30, 2, "1.4"), line("said", 10, 1, "1.4"), line("said", 5, 1, "1.3")], "a")
    entries += read([line("acted", 20, 3, "1.4"), line("given_back", 1, 3, "3.0")], "b")
    stories = join(entries)
    assert [s.cause for s in stories] == ["1.3", "1.4"]
    assert [(e.agent, e.kind) for e in stories[1].entries] == [(1, "said"), (3, "acted"), (2, "heard")]


def test_a_last_line_that_was_cut_off_costs_itself_and_any_other_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good = line("said", 10, 1, "1.4")
    assert len(read([good, good[:20]], "a")) == 1
    for lines in ([good, good[:20], good], [good[:20]], [good, "{}", good]):
        (tmp_path / "n0.jsonl").write_text("\n".join(lines))
        assert main(["fleet", str(tmp_path)]) == 2
        assert f"n0.jsonl: line {1 if len(lines) == 1 else 2}: not a record" in capsys.readouterr().err


def test_who_said_it_who_heard_it_and_who_acted_is_one_story_of_many_processes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """One agent alone finds a backend dead; another is killed. Nothing is asked but the records of those that run."""
    records = tmp_path / "records"
    records.mkdir()
    operator = OPERATOR + f'records = "{records}/nNUMBER.jsonl"\n'

    async def run() -> None:
        async with fleet(
            6,
            tmp_path,
            backends=6,
            serve_s=0.05,
            operator=operator,
            dead_for=lambda agent, backend: agent == 0 and backend == 0,
        ) as r:
            for n in range(1, 6):
                while not (await r.peers(n))["judgements"]:
                    await burst(r.agents[0])
            await r.kill(5)
            for n in range(5):
                await until(r, n, lambda t: any(m["number"] == 5 and m["state"] == "dead" for m in t["members"]))

    asyncio.run(run())
    assert main(["fleet", str(records), "--json"]) == 0
    stories = json.loads(capsys.readouterr().out)["stories"]
    [said] = [s for s in stories if any(e["event"] == "said" and e["backend"] == "s0" for e in s["entries"])][:1]
    assert said["entries"][0]["agent"] == 0 and said["cause"].startswith("0.")
    for event in ("heard", "acted"):
        assert {e["agent"] for e in said["entries"] if e["event"] == event} >= {1, 2, 3, 4}
    deaths = [e for s in stories for e in s["entries"] if e["event"] == "member" and e["after"] == "dead"]
    assert {e["member"] for e in deaths} == {5} and {e["agent"] for e in deaths} == {0, 1, 2, 3, 4}
    assert main(["fleet", str(records), "--top", "3"]) == 0
    shown = capsys.readouterr().out
    assert "the 3 that most agents have a part in" in shown and "agents, the last" in shown
