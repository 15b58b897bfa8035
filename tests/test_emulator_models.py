"""The emulator's models without I/O: queues by the closed forms, warm-up and fall-over by hand, the judge."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.emulator.models.judge import AttemptRecord, RunRecords, Limits, RequestRecord, NotificationRecord, judge
from lilacsill.emulator.models.plan import make_plan
from lilacsill.emulator.models.scenario import Scenario, ScriptedFault
from lilacsill.emulator.models.server import FOREVER, Job, JobServer, RepeatMemory, ServerSpec, Span
from lilacsill.emulator.scenario_file import ScenarioError, load, names

MS, SECOND = 1_000, 1_000_000


def server(spec: ServerSpec, cold: bool = False, spans: list[Span] | None = None) -> JobServer:
    return JobServer(spec, 0, cold, spans or [], RepeatMemory(spec.memory_us), Random(1))


def ends(jobs: list[Job]) -> dict[str, int]:
    return {j.id: j.ended for j in jobs if j.ended is not None}


def finish(s: JobServer, until: int = 10**9) -> dict[str, int]:
    """When each job ended."""
    ended: dict[str, int] = {}
    while (at := s.due()) <= until:
        ended |= ends(s.advance(at))
    return ended


def test_one_job_takes_its_work_and_two_share_the_core() -> None:
    s = server(ServerSpec())
    s.arrive(0, Job("a", 10 * MS))
    assert finish(s) == {"a": 10 * MS}
    assert s.advance(20 * MS) == []
    s.arrive(20 * MS, Job("b", 10 * MS))
    s.arrive(20 * MS, Job("c", 10 * MS))
    assert finish(s) == {"b": 40 * MS, "c": 40 * MS}


def test_slots_queue_and_beyond() -> None:
    s = server(ServerSpec(slots=1, queue=2))
    assert [s.arrive(0, Job(str(i), 10 * MS)) for i in range(4)] == [True, True, True, False]
    assert (s.in_flight, s.queue) == (3, 2)
    assert finish(s) == {"0": 10 * MS, "1": 20 * MS, "2": 30 * MS}


def test_a_pause_stops_what_is_in_flight_and_a_neighbour_slows_it() -> None:
    s = server(ServerSpec(), spans=[Span(5 * MS, 205 * MS, 1.0), Span(300 * MS, 400 * MS, 0.5)])
    s.arrive(0, Job("paused", 10 * MS))
    assert finish(s, 250 * MS) == {"paused": 210 * MS}
    s.advance(300 * MS)
    s.arrive(300 * MS, Job("slowed", 10 * MS))
    assert finish(s) == {"slowed": 320 * MS}


def test_warming_up_by_hand() -> None:
    spec = ServerSpec(cold_share=0.2, warm_up_us=10 * SECOND)
    s = server(spec, cold=True)
    assert s.warmth(0) == pytest.approx(0.2) and s.warmth(5 * SECOND) == pytest.approx(0.6)
    assert s.warmth(10 * SECOND) == 1.0
    s.arrive(0, Job("a", 100 * MS))
    # At a fifth of the capacity, rising by 0.8 in ten seconds and looked at every 0.1 s: 4 steps of 20 to
    # 22.4 ms of work are done after 0.4 s, and the rest at 0.232.
    assert finish(s)["a"] == pytest.approx(465 * MS, abs=2 * MS)
    by_work = server(replace(spec, warm_by_work=True), cold=True)
    by_work.advance(9 * SECOND)
    assert by_work.warmth(9 * SECOND) == pytest.approx(0.2)


def test_falling_over_by_hand() -> None:
    # 0.2 of a core, 2.5 times that for 3 s: 1.5 s of work within any three seconds.
    spec = ServerSpec(cold_share=0.2, warm_up_us=1000 * SECOND, slots=100, queue=1000)
    for job, count, falls in ((100 * MS, 15, False), (100 * MS, 17, True), (10 * MS, 150, False)):
        s = server(spec, cold=True)
        for i in range(count):
            assert not s.fallen
            s.arrive(i * MS, Job(str(i), job))
        assert s.fallen is falls
    warm = server(spec)
    for i in range(100):
        warm.arrive(i, Job(str(i), 100 * MS))
    assert not warm.fallen


def test_a_repeat_is_dropped_for_as_long_as_it_is_remembered() -> None:
    memory = RepeatMemory(15 * SECOND)
    assert not memory.is_repeat("k", 0) and memory.is_repeat("k", 15 * SECOND)
    assert not memory.is_repeat("k", 15 * SECOND + 1) and memory.is_repeat("k", 16 * SECOND)
    s = server(ServerSpec())
    s.arrive(0, Job("first", 10 * MS, key="k"))
    finish(s)
    s.arrive(s._now, Job("again", 10 * MS, key="k"))
    assert finish(s)["again"] == 10 * MS


def waiting(cores: int, utilisation: float, fixed: bool, jobs: int, seed: int) -> float:
    """Mean wait in a queue, in service times."""
    rng = Random(seed)
    s = server(ServerSpec(cores=cores, slots=cores, queue=10**9))
    now, mean = 0.0, 100 * MS
    waits: list[int] = []
    for i in range(jobs):
        now += rng.expovariate(utilisation * cores / mean)
        waits += [j.began - j.arrived for j in s.advance(int(now)) if j.began is not None]
        s.arrive(int(now), Job(str(i), mean if fixed else max(1, int(rng.expovariate(1 / mean)))))
    return sum(waits) / len(waits) / mean


@pytest.mark.parametrize(
    "cores, fixed, formula",
    [
        (1, False, 0.5 / 0.5),
        (1, True, 0.5 / (2 * 0.5)),
        (2, False, 0.3333),
    ],
)
def test_queues_wait_as_the_closed_forms_say(cores: int, fixed: bool, formula: float) -> None:
    # M/M/1 and M/D/1 (Pollaczek-Khinchine) and M/M/2 (Erlang C) at half load; the benchmark has them to 3%.
    assert waiting(cores, 0.5, fixed, 30_000, 3) == pytest.approx(formula, rel=0.08)


@given(
    st.lists(st.tuples(st.integers(0, 50 * MS), st.integers(1, 30 * MS)), min_size=1, max_size=40),
    st.booleans(),
)
def test_nothing_is_lost_and_takes_at_least_its_time(arrivals: list[tuple[int, int]], cold: bool) -> None:
    s = server(ServerSpec(slots=3, queue=5, fall_multiple=1e9), cold, [Span(20 * MS, 90 * MS, 1.0)])
    now = 0
    taken: dict[str, int] = {}
    ended: dict[str, int] = {}
    for i, (gap, work) in enumerate(arrivals):
        now += gap
        ended |= ends(s.advance(now))
        if s.arrive(now, Job(str(i), work)):
            taken[str(i)] = now + work
        assert 0 <= s.queue <= 5 and s.in_flight <= 8
    ended |= finish(s, 10**10)
    assert ended.keys() == taken.keys() and s.due() == FOREVER
    assert all(ended[i] >= at - 1 for i, at in taken.items())


# Scenarios and plans


def test_the_same_seed_draws_the_same_plan_and_another_one_another() -> None:
    for name in names():
        scenario = load(name)
        assert make_plan(scenario) == make_plan(load(name))
        assert make_plan(scenario, 77).arrivals != make_plan(scenario).arrivals
    assert len(names()) >= 10


def test_a_plan_keeps_the_order_of_a_life() -> None:
    for name in names():
        plan = make_plan(load(name))
        addresses: dict[tuple[int, int], int] = {}
        for x in sorted(plan.incarnations, key=lambda x: x.start):
            assert x.stop is None or x.start < (x.drain if x.drain is not None else x.stop) <= x.stop
            assert addresses.get((x.machine, x.port), -2 * SECOND) <= x.start, "two at one address"
            addresses[x.machine, x.port] = x.stop if x.stop is not None else 10**12
        assert [n.at for n in plan.notices] == sorted(n.at for n in plan.notices)
        for n in plan.notices:
            x = plan.incarnations[n.incarnation]
            since = {"SERVING": x.start, "DRAINING": x.drain, "DELETED": x.stop}[n.phase]
            assert since is not None and n.at >= since, "discovery knew it ahead"


def test_a_flood_and_a_heavy_tail_change_the_arrivals() -> None:
    flood = make_plan(load("tenant_flood"))
    over = [a for a in flood.arrivals if a.over_share]
    assert over and all(5 * SECOND <= a.at < 17 * SECOND for a in over)
    assert {flood.scenario.tenants[a.tenant].name for a in over} == {"fletes-cardenas"}
    heavy = [a for a in make_plan(load("heavy_tail")).arrivals if a.work_us > 100 * MS]
    assert heavy and all(5 * SECOND <= a.at < 20 * SECOND for a in heavy)


BAD = {
    "": "missing required field `name`",
    "name = 'a'\nspeed = 3": "unknown section `speed`; allowed: name, about,",
    "name = 'a'\n[fleet]\nservres = 3": "[fleet] unknown key `servres`; allowed: servers,",
    "name = 'a'\n[fleet]\nservers = 0": "[fleet] servers: Expected `int` >= 1",
    "name = 'a'\n[load]\nrate = 'fast'": "[load] rate: Expected `float`, got `str`",
    "name = 'a'\n[[trouble]]\nkind = 'fire'\nat_s = 1": "[trouble[0]] kind: Invalid enum value 'fire'",
    "name = 'a'\n[[trouble]]\nkind = 'death'\nat_s = 1\nwho = 3": ("[trouble[0]] unknown key `who`; allowed: kind,"),
    "name = 'a'\n[[trouble]]\nkind = 'death'\nat_s = 99": "at_s: 99.0 is after the end",
    "name = 'a'\n[[trouble]]\nkind = 'flood'\nat_s = 1\ntarget = 'x'": ("target: 'x' is none of transportes-norvalle,"),
    "name = 'a'\n[[tenant]]\nname = 't'\nshare = 0.4": ("the shares of all [[tenant]] must add up to 1, not 0.400"),
    "name = ": "no TOML",
}


@pytest.mark.parametrize("text", BAD)
def test_a_bad_scenario_is_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as e:
        load(str(path))
    assert str(e.value).startswith(f"{path}: ") and BAD[text] in str(e.value) and "\n" not in str(e.value)


def test_an_unknown_scenario_lists_those_there_are() -> None:
    with pytest.raises(ScenarioError, match="no such scenario; there are .*calm"):
        load("carm")


def test_a_trouble_in_an_empty_fleet_is_none() -> None:
    scenario = Scenario(
        name="x",
        length_s=10,
        faults=[
            ScriptedFault(kind="vanish", at_s=1, part=1.0, size=60),
            ScriptedFault(kind="death", at_s=2),
            ScriptedFault(kind="deploy", at_s=3),
        ],
    )
    plan = make_plan(scenario)
    assert sum(x.stop is not None for x in plan.incarnations) == scenario.fleet.servers


# The judge: a clean book, then one breach planted at a time


def attempt(came: int, **changes: int | str | bool | None) -> AttemptRecord:
    book = AttemptRecord("r", 0, "s#0", came, began=came, ended=came + 10 * MS, answered=came + 10 * MS)
    return msgspec.structs.replace(book, **changes)


def clean(effect: str = "unsafe") -> RunRecords:
    request = RequestRecord("r", 0, "vale-almacen", "t", effect, "k", 0, 300 * MS, [(20 * MS, 200)])
    return RunRecords([attempt(5 * MS)], [request])


def reset_then(came: int, **changes: int | str | bool | None) -> list[AttemptRecord]:
    """A first attempt that ran and was reset, and a second one."""
    return [attempt(0, answered=None, closed=5 * MS), attempt(came, **changes)]


def change(b: RunRecords, **changes: object) -> None:
    """Set fields of the one request."""
    for name, value in changes.items():
        setattr(b.requests[0], name, value)


def attempts(b: RunRecords, *books: AttemptRecord, **changes: object) -> None:
    b.attempts[:] = books
    change(b, **changes)


def refused_unseen(count: int) -> list[AttemptRecord]:
    return [attempt(2 * i * MS, began=None, ended=None, answered=2 * i * MS + 1, rejected=True) for i in range(count)]


PLANTED: dict[str, tuple[str, Callable[[RunRecords], object]]] = {
    "no answer": ("lost", lambda b: b.requests[0].answers.clear()),
    "closed without an answer": ("lost", lambda b: change(b, answers=[], closed=9)),
    "2 final answers": ("lost", lambda b: b.requests[0].answers.append((30 * MS, 503))),
    "answered 360 ms after": ("lost", lambda b: change(b, answers=[(360 * MS, 200)])),
    "no backend made for it": ("lost", lambda b: change(b, right_body=False)),
    "after its final answer": ("lost", lambda b: attempts(b, attempt(90 * MS))),
    "that no client sent": ("lost", lambda b: b.requests.clear()),
    "refused though it ran": ("dup", lambda b: change(b, answers=[(20 * MS, 503)])),
    "may have run; 2 ran": ("dup", lambda b: attempts(b, *reset_then(10 * MS))),
    "may have run; 1 ran": ("dup", lambda b: attempts(b, *reset_then(10 * MS, began=None))),
    "two attempts at once": (
        "dup",
        lambda b: attempts(b, attempt(0, answered=None), attempt(9 * MS), effect="keyed"),
    ),
    "6 attempts, 5 are allowed": ("dup", lambda b: attempts(b, *refused_unseen(6))),
    "forgotten its key": (
        "dup",
        lambda b: attempts(
            b, *reset_then(16 * SECOND), effect="keyed", patience_us=60 * SECOND, answers=[(17 * SECOND, 200)]
        ),
    ),
    "was told that it drains or is gone": (
        "drain",
        lambda b: b.notifications.append(NotificationRecord(0, "s#0", -546 * MS)),
    ),
    "pushed over while cold": ("cold", lambda b: b.fallen.append((5, "s#0"))),
}


def test_clean_books_have_no_breach() -> None:
    for effect in ("safe", "keyed", "unsafe"):
        assert judge(clean(effect), Limits()) == []
    # Within the grace, another agent's telling, a turned away attempt before, a keyed repeat in time.
    b = clean()
    b.notifications = [NotificationRecord(0, "s#0", -500 * MS), NotificationRecord(1, "s#0", -9 * SECOND)]
    b.attempts.insert(0, attempt(0, began=None, answered=MS, rejected=True))
    assert judge(b, Limits()) == []
    b = clean("keyed")
    b.attempts = reset_then(10 * MS)
    assert judge(b, Limits()) == []
    b = clean()
    b.requests[0].answers.clear()
    b.requests[0].closed, b.requests[0].first_on_connection = 9, True
    b.attempts.clear()
    assert judge(b, Limits()) == []


@pytest.mark.parametrize("what", PLANTED)
def test_a_planted_breach_is_named_with_its_story(what: str) -> None:
    rule, plant = PLANTED[what]
    books = clean()
    plant(books)
    (breach,) = judge(books, Limits())
    assert breach.rule == rule and what in breach.what and breach.story
