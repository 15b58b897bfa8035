"""The emulator on real sockets, and its command line: short runs that end by themselves."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lilacsill.emulator import report
from lilacsill.emulator.agents import start
from lilacsill.emulator.__main__ import main
from lilacsill.emulator.models.judge import Breach
from lilacsill.emulator.models.plan import make_plan
from lilacsill.emulator.own_processes import start_servers
from lilacsill.emulator.run import play
from lilacsill.emulator.scenario_file import load

ROOT = Path(__file__).parent.parent
SHORT = """
name = "short"
length_s = 2.5
[fleet]
servers = 4
notice_s = [0.1, 0.3]
[load]
rate = 60
agents = 2
[[trouble]]
kind = "death"
at_s = 0.8
part = 0.25
size = 0.5
[[trouble]]
kind = "deploy"
at_s = 0.5
len_s = 1.0
part = 0.25
size = 0.4
[[trouble]]
kind = "discovery_outage"
at_s = 1.0
len_s = 0.3
[[trouble]]
kind = "reconnect_storm"
at_s = 1.0
len_s = 0.5
size = 50
"""


def write(folder: Path, text: str = SHORT) -> str:
    path = folder / "short.toml"
    path.write_text(text)
    return str(path)


def test_a_run_keeps_the_rules_and_ends_whole(tmp_path: Path) -> None:
    path = write(tmp_path)
    result = asyncio.run(asyncio.wait_for(play(path, make_plan(load(path))), 60))
    assert result.requests > 60 and sum(result.outcomes.values()) == result.requests
    assert result.breaches == [] and set(result.rules.values()) == {0}
    assert result.outcomes["served"] + result.outcomes["late"] > 0
    assert len(result.machine["agents"]) == 2
    doc = json.loads(json.dumps(result.as_json()))
    assert doc["format"] == 1 and doc["scenario"] == "short"
    html = report.page(result)
    assert html.count("<svg") == 3 and "reconnect storm" in html
    assert "http:" not in html and "src=" not in html
    result.breaches = [Breach("lost", "no <answer>", "its story")]
    assert "no &lt;answer&gt;" in report.page(result)


def children(pid: int) -> list[int]:
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(p) for p in text.split()]


@pytest.mark.parametrize("after", ["agents", "requests"])
def test_ctrl_c_ends_every_child(tmp_path: Path, after: str) -> None:
    """Whenever it comes; the children are in groups of their own, so that the emulator has to end them."""
    path = write(tmp_path, SHORT.replace("length_s = 2.5", "length_s = 60"))
    process = subprocess.Popen(
        [sys.executable, "-m", "lilacsill.emulator", "run", path],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stderr is not None
    line = process.stderr.readline()
    assert line.startswith("short: ")
    if after == "requests":
        assert "sent" in process.stderr.readline()
    started = children(process.pid)
    process.send_signal(signal.SIGINT)
    _, err = process.communicate(timeout=60)
    assert process.returncode == 130 and "all that was started has ended" in err
    assert not any(os.path.exists(f"/proc/{pid}") for pid in started)


def test_a_run_that_is_cancelled_while_a_process_starts_leaves_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between its start and its first line nobody else knows of it: Ctrl-C then left it running."""

    async def run() -> None:
        async def cancelled(*_: Any) -> bytes:
            raise asyncio.CancelledError

        path = write(tmp_path, SHORT)
        monkeypatch.setattr(asyncio.StreamReader, "readline", cancelled)
        with pytest.raises(asyncio.CancelledError):
            await start_servers(path, make_plan(load(path)))
        with pytest.raises(asyncio.CancelledError):
            await start(load(path), 0, 1, {"revision": 1, "complete": True, "members": []}, tmp_path)

    before = set(children(os.getpid()))
    asyncio.run(run())
    assert set(children(os.getpid())) <= before


def result_file(folder: Path, name: str, **changes: Any) -> str:
    doc = {
        "format": 1,
        "scenario": "calm",
        "seed": 1,
        "service": 0.9,
        "worst_10s": 0.8,
        "by_class": {"a": 0.9},
        "by_tenant": {"t": 0.9},
        "latency_ms": {"p50": 10.0},
        "attempts_per_request": 1.0,
        "rules": {"lost": 0},
    } | changes
    path = folder / name
    path.write_text(json.dumps(doc))
    return str(path)


def test_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["list"]) == 0
    assert "bad_afternoon" in capsys.readouterr().out
    assert main(["check", "calm"]) == 0 and main(["check", "carm"]) == 2
    assert main(["run", "calm", "--report", str(tmp_path / "no" / "where.html")]) == 2
    a, b = result_file(tmp_path, "a.json"), result_file(tmp_path, "b.json", service=0.95, seed=2)
    capsys.readouterr()
    assert main(["compare", a, b]) == 0
    out = capsys.readouterr().out
    assert "+0.050" in out and "different days" in out
    (tmp_path / "bad.json").write_text("[]")
    assert main(["compare", a, str(tmp_path / "bad.json")]) == 2
    assert main(["compare", a, str(tmp_path / "none.json")]) == 2
    with pytest.raises(SystemExit):
        main([])
