"""Mixed builds: arguments, source trees and how the plays are judged; no play is started here."""

from __future__ import annotations

import json
import os
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest

from benchmarks.mixed_versions import __main__ as program
from benchmarks.mixed_versions.checks import (
    Check,
    equality_check,
    first_difference,
    format_table,
    has_passed,
    summarize,
)
from benchmarks.mixed_versions.mesh import initial_trees, plan_changes, rollout_lanes
from benchmarks.mixed_versions.mesh_judge import (
    Census,
    Phase,
    ProxyRun,
    ProxyRuns,
    StoreHistory,
    count_forwarded,
    count_phases,
    count_replayed,
    judge_decoding,
    judge_directions,
    judge_mixture,
    judge_phases,
    judge_rollout,
    judge_rules,
    judge_statuses,
    judge_stores,
    tree_at,
)
from benchmarks.mixed_versions.recovery import judge_recovery, judge_served
from benchmarks.mixed_versions.source_trees import (
    BYTECODE_VARIABLE,
    NEW_FOLDER,
    SourceTree,
    TreePair,
    bytecode_kept_in,
    make_pair,
)
from lilacsill.mesh.simulation.loopback_processes import LoopbackProcesses, ProcessKey, Program
from lilacsill.mesh.soak.observations import BackendWork, ClientRequest, ItemChange, Record, WorkEnd
from lilacsill.mesh.soak.violations import Rule, Violation

CORES, PROXIES = ["127.9.1.1", "127.9.1.2", "127.9.1.3"], ["127.9.2.1", "127.9.2.2", "127.9.2.3"]
PAIR = TreePair(SourceTree("old", Path("/old")), SourceTree("new", Path("/new")))
PASSED, FAILED = Check("mesh", "a", True, "1 served"), Check("hosted", "longer", False, "nothing")
ALL_NEW: Census = Counter({("store", "new"): 3, ("registry", "new"): 3, ("proxy", "new"): 6})


# Arguments and trees


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--old"],
        ["--old", "x", "--seconds", "1"],
        ["--old", "x", "--seconds", "601"],
        ["--old", "x", "--only", "y"],
        ["--old", "x", "--seed", "y"],
    ],
)
def test_arguments_that_cannot_be_used_end_with_status_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        program.main(arguments)
    assert ended.value.code == program.EXIT_USAGE


def test_a_folder_without_the_package_is_no_old_build(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert program.main(["--old", str(tmp_path)]) == program.EXIT_USAGE
    assert "has no package lilacsill" in capsys.readouterr().err


def test_the_new_build_is_not_its_own_old_build(capsys: pytest.CaptureFixture[str]) -> None:
    assert program.main(["--old", str(NEW_FOLDER)]) == program.EXIT_USAGE
    assert "is the tree of the new build" in capsys.readouterr().err


def test_processes_of_the_old_build_import_its_package(tmp_path: Path) -> None:
    package = tmp_path / "lilacsill"
    package.mkdir()
    (package / "__init__.py").touch()
    with bytecode_kept_in(tmp_path / "bytecode"):
        pair = make_pair(tmp_path)
    assert pair.tree_of(tmp_path) == pair.old and pair.tree_of(NEW_FOLDER) == pair.new
    assert pair.tree_of(Path("/elsewhere")) is None
    assert not (package / "__pycache__").exists()


def test_the_variable_for_bytecode_is_put_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(BYTECODE_VARIABLE, raising=False)
    with bytecode_kept_in(tmp_path):
        assert os.environ[BYTECODE_VARIABLE] == str(tmp_path)
    assert BYTECODE_VARIABLE not in os.environ


def test_an_area_that_breaks_off_fails_and_the_others_are_played(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def break_off(_trees: TreePair, _seed: int, _seconds: float) -> list[Check]:
        raise RuntimeError("no configuration")

    monkeypatch.setattr(program, "AREAS", {"mesh": break_off, "hosted": lambda *_: [PASSED]})
    monkeypatch.setattr(program, "make_pair", lambda _folder: PAIR)
    assert program.main(["--old", str(tmp_path)]) == program.EXIT_FAILED
    result = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert result["failed"] == ["mesh: the play ends"] and len(result["checks"]) == 2
    assert "RuntimeError: no configuration" in result["checks"][0]["figures"]


def test_status_0_needs_that_every_check_passed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(program, "make_pair", lambda _folder: PAIR)
    for checks, status in (([PASSED], 0), ([PASSED, FAILED], 1), ([], 1)):
        monkeypatch.setattr(program, "AREAS", {"mesh": lambda *_, checks=checks: checks})
        assert program.main(["--old", str(tmp_path)]) == status


# Checks


def test_the_table_has_a_line_for_each_check() -> None:
    assert format_table([PASSED, FAILED]).splitlines() == [
        "mesh    a       passed  1 served",
        "hosted  longer  failed  nothing",
    ]
    assert format_table([]) == "" and not has_passed([])
    assert summarize([PASSED, FAILED], 7, 1.26)["failed"] == ["hosted: longer"]


@pytest.mark.parametrize(
    ("expected", "found", "difference"),
    [
        ({"a": [1, {"b": None}]}, {"a": [1, {"b": None}]}, ""),
        ({"a": [1, {"b": 2}]}, {"a": [1, {"b": 3}]}, "$.a[1].b: 2, then 3"),
        ({"a": 1}, {"b": 1}, "$: keys ['a', 'b'] are on one side only"),
        ([1, 2], [1], "$: 2 items, then 1"),
        ({"a": {}}, {"a": []}, "$.a: {}, then []"),
    ],
)
def test_the_first_difference_is_named(expected: object, found: object, difference: str) -> None:
    assert first_difference(expected, found) == difference
    check = equality_check("hosted", "a", expected, found, "3 tenants equal")
    assert check.passed is (difference == "")
    assert check.figures == (difference or "3 tenants equal")


# The mesh


def test_each_program_begins_in_both_builds_and_both_meet_on_each_core_machine() -> None:
    trees = initial_trees(PAIR, CORES, PROXIES)
    assert len(trees) == 9
    for key_program in Program:
        assert {tree.name for key, tree in trees.items() if key.program is key_program} == {"old", "new"}
    for ip in CORES:
        assert trees[ProcessKey(Program.STORE, ip)] != trees[ProcessKey(Program.REGISTRY, ip)]


def test_a_rolling_change_restarts_one_core_machine_at_a_time() -> None:
    core, proxies = rollout_lanes(CORES, PROXIES)
    assert [{key.ip for key in group} for group in core] == [{ip} for ip in CORES]
    assert [len(group) for group in proxies] == [2, 1]
    restarted = [key for lane in (core, proxies) for group in lane for key in group]
    assert sorted(restarted, key=str) == sorted(initial_trees(PAIR, CORES, PROXIES), key=str)


def test_the_plan_ends_no_process_before_the_traffic_ends() -> None:
    plan = plan_changes(Random(1), 20_000_000)
    assert plan == plan_changes(Random(1), 20_000_000)
    names = {event.fault.value for event in plan.events}
    assert not [name for name in names if "kill" in name or "restart" in name or "freeze" in name]
    assert [event.at for event in plan.events] == sorted(event.at for event in plan.events)
    assert plan.events[-1].at < 20_000_000


def test_processes_start_from_this_tree_where_no_other_is_named() -> None:
    processes = LoopbackProcesses(CORES)
    try:
        assert processes.source_folders == {}
    finally:
        processes.close()


def request(ended_at: int, status: int = 200, operation_key: str = "") -> ClientRequest:
    return ClientRequest(
        "1-1", PROXIES[0], "shelf", True, 0, 0, status=status, ended_at=ended_at, operation_key=operation_key
    )


def test_answers_count_for_the_phase_they_came_in() -> None:
    record = Record(
        requests=[request(10), request(19, operation_key="k"), request(20), request(25, status=503), request(40)],
        changes=[
            ItemChange("a", 1, None, 0, acknowledged_at=12),
            ItemChange("a", 2, None, 0),
            ItemChange("a", 3, None, 0, acknowledged_at=30),
        ],
    )
    counts = count_phases(record, [Phase("a", 10, 20), Phase("b", 20)], 40)
    assert [(c.name, c.served, c.served_writes, c.changes) for c in counts] == [("a", 2, 1, 1), ("b", 1, 0, 1)]
    assert [(check.name, check.passed) for check in judge_phases(counts, ("a", "b", "c"))] == [
        ("traffic: a", True),
        ("traffic: b", False),
        ("traffic: c", False),
    ]


def test_one_broken_rule_fails_and_so_does_a_soak_without_repeats() -> None:
    violation = Violation(Rule.LOST_CHANGE, 1, "extra-1 r7: it is missing")
    assert judge_rules([], 9, 1).passed
    assert not judge_rules([], 9, 0).passed
    broken = judge_rules([violation], 9, 1)
    assert not broken.passed and "extra-1 r7" in broken.figures and "1 violations" in broken.figures


def test_both_builds_run_side_by_side_only_if_each_program_ran_from_both() -> None:
    both: Census = Counter({(p, tree): 1 for p in ("store", "registry", "proxy") for tree in ("old", "new")})
    assert judge_mixture(both).passed
    del both["proxy", "old"]
    assert not judge_mixture(both).passed
    assert not judge_mixture(Counter()).passed


def test_a_rolling_change_is_judged_by_the_processes_that_ran_after_it() -> None:
    phase = Phase("old to new", 2_000_000, completed_at=9_500_000, census=ALL_NEW)
    assert judge_rollout([phase], "old to new", "new").figures.startswith("7.5 s, then 6 x proxy new")
    assert judge_rollout([phase], "old to new", "new").passed
    assert not judge_rollout([phase], "old to new", "old").passed
    assert not judge_rollout([phase], "new to old", "old").passed
    unfinished = Phase("old to new", 2_000_000, census=ALL_NEW)
    assert not judge_rollout([unfinished], "old to new", "new").passed
    mixed = Phase("old to new", 0, completed_at=1, census=ALL_NEW + Counter({("proxy", "old"): 1}))
    assert not judge_rollout([mixed], "old to new", "new").passed
    absent = Phase("old to new", 0, completed_at=1, census=Counter({("proxy", "new"): 6}))
    assert not judge_rollout([absent], "old to new", "new").passed


@pytest.mark.parametrize(
    ("trees", "files", "passed"),
    [
        (["old", "new", "old", "new"], {7}, True),
        (["new", "old", "new"], {7}, True),
        (["old", "new"], {7}, False),
        (["old", "old"], {7}, False),
        (["new", "old", "new"], {7, 8}, False),
        (["new", "old", "new"], set(), False),
        ([], set(), False),
    ],
)
def test_a_store_goes_from_each_build_to_the_other_on_one_file(trees: list[str], files: set[int], passed: bool) -> None:
    ip = CORES[0]
    assert [check.passed for check in judge_stores({ip: StoreHistory(trees, files)}, [ip])] == [passed]
    assert [check.passed for check in judge_stores({}, [ip])] == [False]


# Recovery


def answer(**changed: Any) -> dict[str, Any]:
    found: dict[str, Any] = {
        "loaded": {"used": True, "generation": 0, "left_aside": []},
        "list": {"source": "saved", "backends": 4},
        "pace": {"answers": 80},
        "out": ["s3"],
        "life": 8,
    }
    return {**found, **changed}


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({}, ""),
        ({"loaded": {"used": False, "generation": 0, "left_aside": []}}, "the state is not used"),
        (
            {"loaded": {"used": True, "generation": 1, "left_aside": [{"generation": 0, "why": "torn"}]}},
            "generations are left aside",
        ),
        ({"list": {"source": "configuration", "backends": 4}}, "the list is not the saved one"),
        ({"list": {"source": "saved", "backends": 1}}, "the list is not the saved one"),
        ({"pace": {"answers": 0}}, "the latencies are not used"),
        ({"out": []}, "the disabled backend is forgotten"),
        ({"life": 7}, "the incarnation is not greater"),
    ],
)
def test_a_saved_state_counts_as_used_only_if_all_of_it_is(changed: dict[str, Any], reason: str) -> None:
    check = judge_recovery("new uses the state that old saved", answer(life=7), answer(**changed))
    assert check.passed is (reason == "") and check.figures.endswith(reason)


def test_each_agent_must_serve_its_requests() -> None:
    assert judge_served("a", [300, 270]).passed
    assert not judge_served("a", [300, 269]).passed


# What proxies of both builds did for each other

RUNS: ProxyRuns = {
    PROXIES[0]: [ProxyRun("old", 0), ProxyRun("new", 100)],
    PROXIES[1]: [ProxyRun("new", 0), ProxyRun("old", 100)],
}


def attempt(number: int, ip: str, ended_at: int, sealed_by: int, status: int = 200) -> ClientRequest:
    found = ClientRequest(f"1-{number}", ip, "reserve", False, 0, 0, status=status, ended_at=ended_at)
    found.operation_key, found.sealed_by = "k", f"1-{sealed_by}"
    return found


def work(number: int, ip: str, end: WorkEnd = WorkEnd.ANSWERED) -> BackendWork:
    return BackendWork(f"1-{number}", ip, 0, end)


def test_a_proxy_counts_for_the_build_it_ran_from_at_the_time() -> None:
    assert [tree_at(RUNS, PROXIES[0], at) for at in (0, 99, 100)] == ["old", "old", "new"]
    assert tree_at(RUNS, PROXIES[2], 50) == "" and tree_at(RUNS, PROXIES[0], -1) == ""


def test_only_a_request_with_one_answer_from_another_machine_was_served_across() -> None:
    record = Record(
        requests=[attempt(n, PROXIES[0], 150 if n == 5 else 50, n, 503 if n == 4 else 200) for n in range(1, 6)],
        work={
            "1-1": [work(1, PROXIES[1])],
            "1-2": [work(2, PROXIES[0])],
            "1-3": [work(3, PROXIES[1]), work(3, PROXIES[0])],  # a second try: the first response may have been lost
            "1-4": [work(4, PROXIES[1])],
            "1-5": [work(5, PROXIES[1])],
        },
    )
    directions = count_forwarded(record, RUNS)
    assert directions == {("old", "new"): 1, ("new", "old"): 1}
    assert judge_directions("a", directions).passed
    del directions["new", "old"]
    assert not judge_directions("a", directions).passed


def test_a_repeat_counts_where_another_proxy_had_the_response() -> None:
    record = Record(
        requests=[
            attempt(1, PROXIES[0], 10, 1),
            attempt(2, PROXIES[1], 20, 1),  # new asks old
            attempt(3, PROXIES[0], 30, 1),  # the owner itself
            attempt(4, PROXIES[1], 150, 1),  # both have changed
            attempt(5, PROXIES[1], 30, 1, status=503),
        ]
    )
    assert count_replayed(record, RUNS) == {("new", "old"): 1, ("old", "new"): 1}


def statuses(**changed: Any) -> list[dict[str, Any]]:
    store = {"members": CORES, "complete": True, "view": 7}
    registry = {"sure": True, "registry_versions": {"b": 1, "c": 1}, "endpoints": [{"endpoint": {}}] * 3}
    node = {"tables": {}, "sure": True, "config_seq": 9}
    odd = [{key: changed.get(key, value) for key, value in one.items()} for one in (store, registry, node)]
    return [*[store] * 2, *[registry] * 2, *[node] * 2, *odd]


@pytest.mark.parametrize(
    ("changed", "passed"),
    [
        ({}, [True, True, True]),
        ({"view": 8}, [False, True, True]),
        ({"members": CORES[:2]}, [False, True, True]),
        ({"complete": False}, [False, True, True]),
        ({"registry_versions": {"b": 1}}, [True, False, True]),
        ({"endpoints": [{"endpoint": {}}, {"endpoint": {}}, {"endpoint": None}]}, [True, False, True]),
        ({"sure": False}, [True, False, False]),
        ({"config_seq": 0}, [True, True, False]),
    ],
)
def test_one_process_that_stays_apart_fails(changed: dict[str, Any], passed: list[bool]) -> None:
    assert [check.passed for check in judge_statuses(statuses(**changed), 3, 3)] == passed
    assert not any(check.passed for check in judge_statuses([], 3, 3))


@pytest.mark.parametrize(
    "line",
    [
        "8.1 a peer sent an invalid message: Invalid value 'Answer' - at `$[0]`",
        "8.1 other words: Expected `int`, got `str` - at `$[3]`",
        "8.1 other words: Expected `array` of at least length 5, got 4",
        "8.1 other words: MessagePack data is malformed: invalid opcode (byte 0)",
    ],
)
def test_a_message_that_is_not_decoded_fails(line: str) -> None:
    assert judge_decoding({"store": "8.0 started\n", "proxy": ""}).passed
    found = judge_decoding({"store": f"8.0 started\n{line}\n", "proxy": ""})
    assert not found.passed and found.figures == f"1 failures in the logs of 2 processes: store: {line}"
    assert not judge_decoding({}).passed
