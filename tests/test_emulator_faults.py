"""Faults between many agents: how a scenario names them, what the judge makes of them, links that are cut."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Literal

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

import lilacsill.emulator.parts
import lilacsill.emulator.run
from lilacsill.emulator import herd
from lilacsill.emulator.models.faults import LinkFault, sides
from lilacsill.emulator.models.groups import members
from lilacsill.emulator.models.judge import (
    PollRecord,
    AttemptRecord,
    Absence,
    RunRecords,
    Limits,
    RequestRecord,
    NotificationRecord,
    judge,
)
from lilacsill.emulator.models.plan import Plan, make_plan
from lilacsill.emulator.models.scenario import Fleet, Load, Scenario, ScriptedFault
from lilacsill.emulator.parts import client_parts, server_parts
from lilacsill.emulator.run import play
from lilacsill.emulator.scenario_file import ScenarioError, load
from lilacsill.emulator.sockets.listener import Listener, Wire
from lilacsill.emulator.sockets.memory import SharedMemory

SECOND, MS = 1_000_000, 1_000
HANG_S = 60


# Groups


@given(st.integers(1, 300), st.integers(1, 12), st.floats(0.01, 1), st.integers(0, 9))
def test_zones_part_the_agents_and_a_share_is_as_large_as_it_says(
    agents: int, zones: int, share: float, seed: int
) -> None:
    rng = Random(seed)
    parts = [members(f"zone {z}", agents, zones, rng) for z in range(zones)]
    assert sorted(n for part in parts for n in part) == list(range(agents))
    sizes = [len(p) for p in parts]
    assert max(sizes) - min(sizes) <= 1
    some = members(f"share {share}", agents, zones, rng)
    assert len(some) == max(1, round(share * agents)) and list(some) == sorted(set(some))
    assert members("all", agents, zones, rng) == tuple(range(agents))


def test_numbers_and_ranges() -> None:
    assert members("7, 0-2,2", 8, 1, Random(1)) == (0, 1, 2, 7)


BAD = {
    "agent_kill|agents='0-9'": "agents: '0-9': there is no agent 9, they are 0 to 1",
    "agent_kill|agents='1-0'": "runs backwards",
    "agent_stall|agents='zone 1'": "there is no zone 1, they are 0 to 0",
    "agent_stall|agents='share 0'": "a share above 0 and at most 1",
    "agent_stall|agents='share x'": "a share above 0 and at most 1",
    "agent_restart|agents='٣'": "names no agents; allowed: `all`",
    "partition|agents='0'|to='moon'": "to: 'moon' names no agents",
    "partition|to='others'": "nobody is left on the other side",
    "lossy|agents='0'|to='servers'": "only a partition may name it",
    "late|size=200.0|p99_ms=100.0": "p99_ms: 100 is below size, the median, 200",
}


@pytest.mark.parametrize("text", BAD)
def test_a_bad_group_is_one_line_that_names_the_key(tmp_path: Path, text: str) -> None:
    kind, *keys = text.split("|")
    path = tmp_path / "bad.toml"
    path.write_text("\n".join(["name = 'x'", "[[trouble]]", "at_s = 1", f"kind = '{kind}'", *keys, ""]))
    with pytest.raises(ScenarioError) as e:
        load(str(path))
    assert BAD[text] in str(e.value) and f"[[trouble]] {kind}" in str(e.value) and "\n" not in str(e.value)


# Plans


def plan_of(*troubles: ScriptedFault, agents: int = 12, rate: float = 200) -> Plan:
    return make_plan(
        Scenario(name="x", load=Load(agents=agents, rate=rate), fleet=Fleet(servers=6), faults=list(troubles)),
        3,
    )


def test_after_a_power_loss_each_is_back_at_a_time_of_its_own() -> None:
    plan = plan_of(ScriptedFault(kind="power_loss", at_s=2, part=1.0, size=4))
    back = [x.until for x in plan.agent_faults]
    assert len(set(back)) == 12 and all(4 * SECOND <= b <= 8 * SECOND for b in back)
    assert {x.agent for x in plan.agent_faults} == set(range(12))
    servers = [x.start for x in plan.incarnations if x.start > 0]
    assert len(servers) == 6 == len(set(servers)) and all(x.cold for x in plan.incarnations if x.start > 0)
    assert len(plan.outages) == 1


def test_a_stall_comes_in_bursts_and_never_while_it_lasts() -> None:
    plan = plan_of(ScriptedFault(kind="agent_stall", at_s=1, len_s=3, size=0.5, every_s=1, agents="4"))
    at = [(x.at, x.until) for x in plan.agent_faults]
    assert at == [(n * SECOND, n * SECOND + SECOND // 2) for n in (1, 2, 3)]
    row = ScriptedFault(kind="agent_stall", at_s=1, len_s=3, size=2, every_s=0.1, agents="4")
    dense = plan_of(row).agent_faults
    assert all(a.until < b.at for a, b in zip(dense, dense[1:], strict=False))


def test_agents_that_are_cut_off_together_are_one_side() -> None:
    a = LinkFault(0, 1, (0, 1, 2), "servers")
    b = LinkFault(0, 1, (2, 3), "servers")
    assert sides([a, b, LinkFault(0, 1, (0,), (1,))], 5) == [0, 0, 1, 2, 3]
    assert sides([LinkFault(0, 1, (0,), "discovery")], 5) == []


def test_the_relay_is_told_which_way_is_cut() -> None:
    rules = {}
    ways: tuple[Literal["both", "out", "in"], ...] = ("both", "out", "in")
    for way in ways:
        t = ScriptedFault(kind="partition", at_s=2, len_s=3, agents="0-1", to="2", way=way)
        rules[way] = herd.relay_rules(plan_of(t, agents=3).link_faults, -SECOND)[0]
    assert rules["both"] == {
        "in_s": 3.0,
        "len_s": 3.0,
        "from": [0, 1],
        "to": [2],
        "both": True,
        "cut": True,
        "loss": 0.0,
        "median_ms": 0.0,
        "p99_ms": 0.0,
        "twice": 0.0,
    }
    assert (rules["out"]["from"], rules["out"]["both"]) == ([0, 1], False)
    assert (rules["in"]["from"], rules["in"]["to"], rules["in"]["both"]) == ([2], [0, 1], False)
    assert herd.relay_rules(plan_of(ScriptedFault(kind="partition", at_s=1, to="servers")).link_faults, 0) == []


def test_a_large_scenario_is_spread_over_processes() -> None:
    assert (client_parts(plan_of()), server_parts(plan_of())) == (1, 1)
    large = plan_of(agents=400, rate=2000)
    assert client_parts(large) == 3 and server_parts(large) == 4
    assert client_parts(plan_of(agents=2, rate=9000)) == 2  # no agent's clients are in two processes


# The judge: a killed agent owes no answer, and nothing else is forgiven


def unanswered(sent: int = 0, **changes: int | None) -> RunRecords:
    book = RequestRecord("0.1.0", 0, "c", "t", "unsafe", "", sent, 300 * MS)
    for key, value in changes.items():
        setattr(book, key, value)
    return RunRecords(requests=[book])


@pytest.mark.parametrize(
    ("away", "broken"),
    [
        (Absence(0, 100 * MS, 2 * SECOND), 0),  # killed while it held the request
        (Absence(1, 100 * MS, 2 * SECOND), 1),  # that was another one
        (Absence(0, -2 * SECOND, -1 * SECOND), 1),  # it was back in time
        (Absence(0, SECOND, 2 * SECOND), 1),  # it should have answered before
    ],
)
def test_what_a_killed_agent_held_is_not_owed(away: Absence, broken: int) -> None:
    for books in (unanswered(), unanswered(closed=200 * MS)):
        books.absences = [away]
        assert [b.rule for b in judge(books, Limits())] == ["lost"] * broken
    late = unanswered()
    late.requests[0].answers = [(SECOND, 503)]
    late.absences = [away]
    assert [b.rule for b in judge(late, Limits())] == ["lost"] * broken


def test_an_agent_that_was_stopped_may_neither_answer_nor_send_twice() -> None:
    books = unanswered()
    books.requests[0].answers = [(SECOND, 503), (SECOND + 1, 503)]
    books.absences = [Absence(0, 100 * MS, 2 * SECOND)]
    a = AttemptRecord("0.1.0", 0, "s", 10 * MS, began=11 * MS, closed=20 * MS)
    books.attempts = [a, msgspec.structs.replace(a, received=30 * MS, began=31 * MS, closed=40 * MS)]
    assert [b.rule for b in judge(books, Limits())] == ["lost", "dup", "dup"]


def test_who_is_stopped_reads_of_a_drain_when_it_goes_on() -> None:
    books = unanswered()
    books.requests[0].answers = [(5 * SECOND, 200)]
    books.notifications = [NotificationRecord(0, "s", SECOND)]
    books.polls = [PollRecord(0, 0)]
    books.attempts = [AttemptRecord("0.1.0", 0, "s", 4 * SECOND, answered=4 * SECOND)]
    books.requests[0].sent = 4 * SECOND
    books.requests[0].patience_us = 2 * SECOND
    assert [b.rule for b in judge(books, Limits())] == ["drain"]
    books.absences = [Absence(0, SECOND // 2, 3 * SECOND + 900 * MS)]
    assert judge(books, Limits()) == []
    books.absences = [Absence(0, SECOND // 2, 2 * SECOND)]
    assert [b.rule for b in judge(books, Limits())] == ["drain"]


def test_a_cut_hides_a_close_and_makes_late_what_was_sent_into_it() -> None:
    books = unanswered()
    books.requests[0].answers = [(300 * MS, 503)]
    books.requests[0].effect = "keyed"
    books.attempts = [
        AttemptRecord("0.1.0", 0, "a", 10 * MS, began=SECOND, answered=SECOND),
        AttemptRecord("0.1.0", 0, "b", 900 * MS, began=900 * MS, answered=901 * MS),
    ]
    rules = [b.rule for b in judge(books, Limits())]
    assert rules == ["lost", "dup"]
    books.unreachable = [Absence(0, 100 * MS, 800 * MS)]
    assert judge(books, Limits()) == []
    books.attempts[1].received = 3 * SECOND  # long after the link had healed
    assert [b.rule for b in judge(books, Limits())] == ["lost"]


# Links


class Echo(Wire):
    """Says back what it hears, and keeps it."""

    heard = b""

    def data_received(self, data: bytes) -> None:
        self.heard += data
        self.send(data)


async def connected() -> tuple[Listener, asyncio.StreamReader, asyncio.StreamWriter, Echo]:
    listener = Listener(Echo, ("127.0.0.1", 0))
    await listener.open()
    reader, writer = await asyncio.open_connection(*listener.address)
    writer.write(b"a")
    assert await reader.readexactly(1) == b"a"
    (wire,) = listener.wires
    assert isinstance(wire, Echo)
    return listener, reader, writer, wire


async def turns() -> None:
    """What is ready on loopback is handled."""
    for _ in range(50):
        await asyncio.sleep(0)


@pytest.mark.parametrize(("deaf", "dumb"), [(True, True), (True, False), (False, True)])
def test_a_cut_link_is_silent_and_goes_on_once_it_heals(deaf: bool, dumb: bool) -> None:
    async def run() -> None:
        listener, reader, writer, wire = await connected()
        listener.cut(deaf, dumb)
        writer.write(b"b")
        await turns()
        assert wire.heard == (b"a" if deaf else b"ab")
        late = [asyncio.ensure_future(asyncio.open_connection(*listener.address)) for _ in range(3)]
        _, waiting = await asyncio.wait(late, timeout=0.2)
        assert len(waiting) == 3  # connects neither come up nor fail
        answer = asyncio.ensure_future(reader.readexactly(1))
        await turns()
        assert not answer.done()
        await listener.heal(deaf, dumb)
        assert await answer == b"b"
        for task in waiting:
            task.cancel()
        writer.close()
        listener.close()

    asyncio.run(asyncio.wait_for(run(), HANG_S))


def test_what_was_given_up_during_a_cut_is_lost_with_its_connection() -> None:
    async def run() -> None:
        listener, _, writer, wire = await connected()
        listener.cut(True, True)
        writer.write(b"b")
        writer.close()
        await writer.wait_closed()
        await listener.heal(True, True)
        while listener.wires:
            await asyncio.sleep(0)
        assert wire.heard == b"a"
        listener.close()

    asyncio.run(asyncio.wait_for(run(), HANG_S))


def test_cuts_overlap_and_a_server_that_dies_in_one_is_felt_after_it() -> None:
    async def run() -> None:
        listener, reader, writer, wire = await connected()
        listener.cut(True, True)
        listener.cut(True, False)
        await listener.heal(True, True)
        writer.write(b"b")
        await turns()
        assert wire.heard == b"a" and listener.deaf and not listener.dumb
        listener.cut(True, True)
        listener.close()
        wire.end()
        gone = asyncio.ensure_future(reader.read(1))
        await turns()
        assert not gone.done()
        await listener.heal(True, True)
        await listener.heal(True, False)
        with pytest.raises(ConnectionResetError):
            await gone
        assert not listener.listening
        writer.close()

    asyncio.run(asyncio.wait_for(run(), HANG_S))


def test_a_key_that_ran_in_one_process_is_a_repeat_in_another() -> None:
    async def run() -> None:
        one, two = SharedMemory(SECOND, lambda: 0), SharedMemory(SECOND, lambda: 0)
        for m in (one, two):
            m.join([one.port, two.port])
        assert not one.is_repeat("k", 0)
        while "k" not in two._first:
            await asyncio.sleep(0)
        assert two.is_repeat("k", 1) and not two.is_repeat("l", 1)

    asyncio.run(asyncio.wait_for(run(), HANG_S))


# All of it on sockets

ROUGH = """
name = "rough"
length_s = 5
[fleet]
servers = 4
notice_s = [0.1, 0.3]
lines_per_s = 20000
[load]
agents = 6
zones = 2
rate = 90
[peers]
enabled = true
period_ms = 200
"""
ROWS = [
    ("partition", "agents = '0-2'\nlen_s = 1"),
    ("lossy", "len_s = 1\npart = 0.3\ntwice = 0.2"),
    ("late", "len_s = 1\nsize = 20\np99_ms = 80"),
    ("agent_stall", "agents = '1'\nsize = 0.5"),
    ("agent_kill", "agents = '2'\nsize = 0.5"),
    ("agent_restart", "agents = '3'"),
    ("partition", "agents = 'zone 1'\nto = 'servers'\nlen_s = 1"),
    ("partition", "agents = 'zone 1'\nto = 'discovery'\nlen_s = 1"),
    ("power_loss", "agents = '0'\npart = 0.5\nsize = 0.5"),
]


def test_every_fault_at_once_breaks_no_rule_and_everybody_is_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lilacsill.emulator.run, "server_parts", lambda plan: 2)
    monkeypatch.setattr(lilacsill.emulator.parts, "client_parts", lambda plan: 2)
    path = tmp_path / "rough.toml"
    path.write_text(
        ROUGH
        + "".join(
            f"[[trouble]]\nkind = '{kind}'\nat_s = {1 + n * 0.3:.1f}\n{keys}\n" for n, (kind, keys) in enumerate(ROWS)
        )
    )
    result = asyncio.run(asyncio.wait_for(play(str(path), make_plan(load(str(path)))), 90))
    assert result.breaches == []
    assert sum(result.outcomes.values()) == result.requests > 200
    assert result.outcomes["served"] > 0 and not [v for v in result.void if "ended" in v]
    assert all(result.machine["agents"])  # all run at the end
