"""What is trusted after a start, the saved state's form, its generations, and the phases of a return."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.address import Address
from lilacsill.agent.config import ConfigError
from lilacsill.agent.discovery.listing import Listing, ListingParser, Member
from lilacsill.agent.recovery.phases import MIN_ANSWERS, WINDOW_US, Phase, PhaseTracker
from lilacsill.agent.recovery.state import SavedLatencyModel, SavedMember, SavedState, StateError, decode, encode
from lilacsill.agent.recovery.store import StateStore, check_folder
from lilacsill.agent.recovery.trust import (
    LATENCY_HALVING_S,
    MAX_LATENCY_ANSWERS,
    MIN_WEIGHT,
    RETENTION,
    StateKind,
    ListSource,
    SavedListing,
    StartTime,
    age_s,
    choose_initial_state,
    listing_doc,
    age_weight,
)
from lilacsill.balancing.interface import Backend, LatencyModelRestored, Outcome, Send
from lilacsill.balancing.interface import BackendState as Serving
from lilacsill.clock import Clock
from tests.balancing.helpers import SECOND, Drive, only

DAY_S = 86_400
PARSER = ListingParser(Clock(), ("a", "b"), ("m",))
ANY = st.characters(codec="utf-8")
MEMBERS = st.lists(
    st.builds(
        SavedMember,
        st.text(ANY, min_size=1, max_size=20),
        st.just("127.0.0.1:80"),
        st.sampled_from(["SERVING", "DRAINING"]),
        st.integers(0, 2**50),
        st.sampled_from([None, "a", "b"]),
        st.sampled_from([None, "m"]),
        st.integers(0, 9),
        st.floats(0.1, 100),
    ),
    max_size=5,
)


def state(**changes: Any) -> SavedState:
    facts: dict[str, Any] = {
        "fleet": "f",
        "agent": "n0",
        "saved_unix_ms": 10**12,
        "boot_id": "b1",
        "saved_us": 10**9,
        "incarnation": 7,
        "revision": 50,
        "members": [SavedMember("s1", "127.0.0.1:80", "DRAINING", 5, "b", "m")],
        "latency_model": SavedLatencyModel(1e4, 1.3e4, 500),
        "disabled_backends": ["s9"],
    }
    return SavedState(**(facts | changes))


def start_of(saved: SavedState, now: StartTime, revision: int = 41) -> Any:
    configured = Listing(revision, True, (Member(Backend("s1"), Address("127.0.0.1", 80)),))
    return choose_initial_state(configured, saved, PARSER.parse(listing_doc(saved)), now)


# Form


@given(MEMBERS, st.text(ANY, max_size=9), st.lists(st.text(ANY, max_size=9), max_size=3), st.integers(0, 2**50))
def test_a_state_is_read_as_it_was_written(members: list[SavedMember], agent: str, out: list[str], at: int) -> None:
    saved = state(members=members, agent=agent, disabled_backends=out, saved_unix_ms=at)
    assert decode(encode(saved), "f", agent) == saved


def test_a_state_truncated_or_altered_in_any_byte_is_rejected() -> None:
    data = encode(state())
    for cut in range(len(data)):
        with pytest.raises(StateError):
            decode(data[:cut], "f", "n0")
    for at in range(len(data)):
        with pytest.raises(StateError):
            decode(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], "f", "n0")


def test_a_state_of_another_agent_or_a_later_version_is_rejected() -> None:
    data = encode(state())
    for bad, why in (
        (data.replace(b"state 1 ", b"state 2 ", 1), "version 2"),
        (b"\x7fELF" + data, "no saved state"),
        (b"", "no saved state"),
    ):
        with pytest.raises(StateError, match=why):
            decode(bad, "f", "n0")
    for fleet, agent in (("g", "n0"), ("f", "n1")):
        with pytest.raises(StateError, match="it is of agent 'n0' of fleet 'f'"):
            decode(data, fleet, agent)


@given(MEMBERS)
def test_the_saved_list_is_parsed_to_the_same_members(members: list[SavedMember]) -> None:
    unique = list({m.id: m for m in members}.values())
    told = PARSER.parse(listing_doc(state(members=unique)))
    learned = SavedListing(PARSER.encode)
    learned.update(told)
    again = PARSER.parse(listing_doc(state(members=list(learned.members.values()))))
    assert again == told


def test_the_saved_list_follows_changes() -> None:
    learned = SavedListing(PARSER.encode)
    at = Address("::1", 80)
    learned.update(Listing(1, True, (Member(Backend("x"), at), Member(Backend("y"), at))))
    learned.update(
        Listing(2, False, (Member(Backend("x", Serving.GONE), at), Member(Backend("y", Serving.DRAINING), at)))
    )
    assert learned.revision == 2
    assert [(m.id, m.phase, m.host_port) for m in learned.members.values()] == [("y", "DRAINING", "[::1]:80")]
    learned.update(Listing(3, True, ()))
    assert not learned.members


# Trust


def test_every_kind_of_knowledge_has_its_row() -> None:
    assert set(RETENTION) == set(StateKind)
    assert not RETENTION[StateKind.LEASES].is_saved and RETENTION[StateKind.DRAINING].is_saved


@given(st.floats(0, 1e8), st.floats(0, 1e8))
def test_trust_falls_with_age_and_an_unknown_age_has_none(a: float, b: float) -> None:
    low, high = sorted((a, b))
    assert 1 >= age_weight(low, DAY_S) >= age_weight(high, DAY_S) >= 0
    assert age_weight(None, DAY_S) == 0 and age_weight(0, DAY_S) == 1 and age_weight(DAY_S, DAY_S) == 0.5
    assert age_weight(a, DAY_S) == 0 or age_weight(a, DAY_S) >= MIN_WEIGHT


def test_the_age_is_the_machines_own_within_one_start_and_the_wall_clocks_else() -> None:
    saved = state()
    assert age_s(saved, StartTime(0, "b1", 10**9 + 3 * SECOND)) == 3  # the wall clock was set back: no matter
    assert age_s(saved, StartTime(10**12 + 5000, "b2", 0)) == 5
    assert age_s(saved, StartTime(10**12 - 1, "b2", 0)) is None
    assert age_s(state(boot_id=""), StartTime(10**12 + 5000, "", 10**9)) == 5
    assert age_s(saved, StartTime(10**12, "b1", 5)) is None


def test_the_later_list_is_used_and_a_drain_is_not_forgotten() -> None:
    now = StartTime(10**12 + 1000, "b2", 0)
    kept = start_of(state(), now)
    assert kept.source is ListSource.SAVED and kept.known.revision == 50
    assert [m.backend.state for m in kept.known.members] == [Serving.DRAINING]
    assert kept.disabled_backends == {"s9"} and kept.previous_incarnation == 7
    for revision in (50, 51):
        configured = start_of(state(), now, revision)
        assert configured.source is ListSource.CONFIGURATION and configured.known.revision == revision
    old = start_of(state(), StartTime(10**12 + 30 * DAY_S * 1000, "b2", 0))
    assert old.known.members[0].backend.state is Serving.DRAINING and not old.latency_model.answers


@pytest.mark.parametrize(
    ("age", "answers"),
    [(0, MAX_LATENCY_ANSWERS), (LATENCY_HALVING_S, MAX_LATENCY_ANSWERS // 2), (8 * LATENCY_HALVING_S, 0)],
)
def test_saved_latencies_weigh_less_the_older_they_are(age: float, answers: int) -> None:
    start = start_of(state(), StartTime(10**12 + int(age * 1000), "b2", 0))
    assert start.latency_model.answers == answers
    assert (
        start_of(state(latency_model=SavedLatencyModel(1e4, 1e4, 3)), StartTime(10**12, "b2", 0)).latency_model.answers
        == 3
    )


def test_latencies_of_unknown_age_do_not_count_and_without_a_state_the_configuration_is_used() -> None:
    assert start_of(state(), StartTime(1, "b2", 0)).latency_model == SavedLatencyModel()
    configured = Listing(1, True, ())
    assert choose_initial_state(configured, None, None, StartTime(1, "", 0)).known is configured


# Generations


def test_the_newest_valid_generation_is_used(tmp_path: Path) -> None:
    store = StateStore(str(tmp_path), "f", "n0", 3)
    assert store.load().state is None
    for revision in (1, 2, 3, 4):
        store.save(state(revision=revision))
    assert sorted(p.name for p in tmp_path.iterdir()) == ["n0.state", "n0.state.1", "n0.state.2"]
    for expected in (4, 3, 2):
        loaded = store.load()
        assert loaded.state is not None and loaded.state.revision == expected
        assert loaded.generation == 4 - expected
        path = store.path(loaded.generation)
        path.write_bytes(path.read_bytes()[:-7])
    loaded = store.load()
    assert loaded.state is None and len(loaded.skipped) == 3


def killed_at(step: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process ends at that call of a save: nothing after it happens."""
    calls = 0

    def counted(real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            nonlocal calls
            calls += 1
            if calls == step:
                raise KeyboardInterrupt
            return real(*arguments)

        return call

    monkeypatch.setattr(os, "fsync", counted(os.fsync))
    monkeypatch.setattr(Path, "replace", counted(Path.replace))
    monkeypatch.setattr(Path, "unlink", lambda *_: None)


@pytest.mark.parametrize("step", range(1, 7))
def test_a_process_killed_at_any_step_of_a_save_leaves_a_valid_generation(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    store = StateStore(str(tmp_path), "f", "n0", 3)
    for revision in (1, 2, 3):
        store.save(state(revision=revision))
    with monkeypatch.context() as m:
        killed_at(step, m)
        try:
            store.save(state(revision=4))
        except KeyboardInterrupt:
            pass
        else:
            assert step == 6  # five calls in all
    found = store.load().state
    assert found is not None and found.revision == (4 if step >= 5 else 3)
    store.save(state(revision=5))
    assert [(s := store.load().state) and s.revision] == [5]


def test_a_disk_that_fails_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = StateStore(str(tmp_path), "f", "n0", 2)
    store.save(state(revision=1))

    def full(_: int) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as m:
        m.setattr(os, "fsync", full)
        with pytest.raises(OSError, match="No space"):
            store.save(state(revision=2))
    assert [p.name for p in tmp_path.iterdir()] == ["n0.state"]
    loaded = store.load().state
    assert loaded is not None and loaded.revision == 1
    with pytest.raises(ConfigError, match=r"op.toml: \[recovery\] folder: .* is not a directory"):
        check_folder(str(tmp_path / "none"), "op.toml")


def test_agents_that_share_a_folder_keep_to_their_own(tmp_path: Path) -> None:
    for name in ("a/b", "a%2fb", ""):
        StateStore(str(tmp_path), "f", name, 2).save(state(agent=name))
    for name in ("a/b", "a%2fb", ""):
        loaded = StateStore(str(tmp_path), "f", name, 2).load().state
        assert loaded is not None and loaded.agent == name
    assert all(p.parent == tmp_path for p in tmp_path.rglob("*"))


# PhaseTracker


def test_phases_depend_on_answers_and_not_on_time() -> None:
    p, now = PhaseTracker(0), 0

    def window(good: int, bad: int) -> Phase:
        nonlocal now
        for i in range(good + bad):
            p.request_answered(i < good, now)
        now += WINDOW_US
        p.request_answered(True, now)  # the first of the next one closes it
        return p.phase

    for _ in range(100):
        p.request_answered(False, now)
        now += WINDOW_US
    assert p.phase is Phase.WAITING
    assert window(1, 20) is Phase.RETURNING
    for _ in range(50):  # what is sent again holds it down
        assert window(10, 10) is Phase.RETURNING
    assert window(MIN_ANSWERS - 3, 0) is Phase.RETURNING  # too few tell nothing
    assert window(40, 1) is Phase.STEADY
    assert window(12, 10) is Phase.STEADY
    assert window(2, 20) is Phase.RETURNING
    assert [phase for _, phase in p.changes] == [Phase.RETURNING, Phase.STEADY, Phase.RETURNING]


# The module


def test_a_restored_latency_model_counts_until_the_first_answer_and_then_by_its_weight() -> None:
    d = Drive(servers=4)
    d.event(LatencyModelRestored(10_000, 12_000, 80))
    assert d.balancer.latency_model() == LatencyModelRestored(10_000, 12_000, 80)
    d.serve(1)
    told = d.balancer.latency_model()
    assert told.answers == 81 and 9_000 < told.service_time_us < 11_000
    d.event(LatencyModelRestored(99_000, 99_000, 80))  # too late: something was learned here
    assert d.balancer.latency_model() == told
    with pytest.raises(ValueError):
        LatencyModelRestored(-1, 0, 0)


def test_backends_that_may_be_cold_unseen_do_not_teach_that_the_fleet_is_slow() -> None:
    """The first one back from a power loss takes ten times as long, and its list tells of its old start."""
    paces = {}
    for until in (0, 60 * SECOND):
        d = Drive(servers=4)
        d.event(LatencyModelRestored(10_000, 12_000, 80, d.now + until))
        for _ in range(60):
            for s in only(d.request()[1], Send):
                d.end(s, Outcome.OK, took_us=60_000)
        paces[until] = d.balancer.latency_model().service_time_us
    assert paces[0] > 20_000 and paces[60 * SECOND] <= 12_500
