"""Admission without I/O: the policy as a table, the account of descriptors and the addresses on a virtual clock."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lilacsill.agent.admission.addresses import AddressTable
from lilacsill.agent.admission.descriptor_account import DescriptorAccount, Side
from lilacsill.agent.admission.policy import (
    NewConnection,
    EvictionRank,
    RefusalReason,
    ConnectionView,
    ConnectionState,
    Verdict,
    decide,
    keeps_alive,
    eviction_rank,
)
from lilacsill.agent.admission.settings import AdmissionSettings, DescriptorBudget, client_identity, parse_network
from lilacsill.agent.admission.episode import EPISODE_QUIET_US, Episode

SECOND, HOUR = 1_000_000, 3_600_000_000
ROOM = NewConnection(
    known=False,
    below_cap=True,
    within_rate=True,
    open=5,
    capacity=10,
    unused_reserve=0,
    victim=None,
    may_close=True,
    can_close_idle_upstream=False,
)
FULL = replace(ROOM, open=10)


@pytest.mark.parametrize(
    "connection, verdict",
    [
        (ROOM, Verdict.ADMIT),
        (replace(ROOM, below_cap=False), RefusalReason.ADDRESS_CAP),
        (replace(ROOM, below_cap=False, known=True), RefusalReason.ADDRESS_CAP),
        (replace(ROOM, within_rate=False), RefusalReason.ADDRESS_RATE),
        (replace(ROOM, within_rate=False, known=True), Verdict.ADMIT),
        (replace(ROOM, busy=True), RefusalReason.BUSY),
        (replace(ROOM, busy=True, known=True), Verdict.ADMIT),
        (replace(ROOM, unused_reserve=5), RefusalReason.FULL),
        (replace(ROOM, unused_reserve=4), Verdict.ADMIT),
        (replace(ROOM, unused_reserve=5, known=True), Verdict.ADMIT),
        (FULL, RefusalReason.FULL),
        (replace(FULL, known=True), RefusalReason.FULL),
        (replace(FULL, victim=EvictionRank.OVER_CAP), Verdict.REPLACE),
        (replace(FULL, victim=EvictionRank.SILENT), Verdict.REPLACE),
        (replace(FULL, victim=EvictionRank.SILENT, can_close_idle_upstream=True), Verdict.REPLACE),
        (replace(FULL, victim=EvictionRank.IDLE, can_close_idle_upstream=True), Verdict.BORROW),
        (replace(FULL, victim=EvictionRank.IDLE), Verdict.REPLACE),
        (replace(FULL, victim=EvictionRank.IDLE, may_close=False), RefusalReason.FULL),
        (replace(FULL, can_close_idle_upstream=True), Verdict.BORROW),
        (replace(FULL, can_close_idle_upstream=True, may_close=False), RefusalReason.FULL),
        (replace(FULL, can_close_idle_upstream=True, open=11), RefusalReason.FULL),
        (replace(FULL, can_close_idle_upstream=True, unused_reserve=1), RefusalReason.FULL),
        (replace(FULL, can_close_idle_upstream=True, unused_reserve=1, known=True), Verdict.BORROW),
        (replace(FULL, open=12, victim=EvictionRank.READING, known=True), Verdict.REPLACE),
    ],
)
def test_decision_on_a_new_connection(connection: NewConnection, verdict: Verdict | RefusalReason) -> None:
    decided, reason = decide(connection)
    assert (reason or decided) is verdict
    assert (decided is Verdict.REFUSE) == (reason is not None)


@pytest.mark.parametrize("state", ConnectionState)
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("over_cap", [False, True])
@pytest.mark.parametrize("long", [False, True])
def test_connections_that_are_never_evicted(state: ConnectionState, known: bool, over_cap: bool, long: bool) -> None:
    c = ConnectionView(state, known, over_cap, long)
    if state is ConnectionState.IN_FLIGHT:
        assert eviction_rank(c, True) is None and eviction_rank(c, False) is None
    if known:
        assert eviction_rank(c, False) is None


STRANGER = ConnectionView(ConnectionState.SILENT, known=False, over_cap=False, long_in_state=False)


@pytest.mark.parametrize(
    "standing, for_stranger, for_known",
    [
        (replace(STRANGER, over_cap=True), EvictionRank.OVER_CAP, EvictionRank.OVER_CAP),
        (replace(STRANGER, state=ConnectionState.IDLE, over_cap=True), EvictionRank.OVER_CAP, EvictionRank.OVER_CAP),
        (replace(STRANGER, state=ConnectionState.READING, over_cap=True), None, EvictionRank.READING),
        (STRANGER, EvictionRank.SILENT, EvictionRank.SILENT),
        (replace(STRANGER, state=ConnectionState.LINGERING), None, None),
        (
            replace(STRANGER, state=ConnectionState.LINGERING, long_in_state=True),
            EvictionRank.LINGERING,
            EvictionRank.LINGERING,
        ),
        (replace(STRANGER, state=ConnectionState.IDLE, long_in_state=True), EvictionRank.IDLE, EvictionRank.IDLE),
        (replace(STRANGER, state=ConnectionState.IDLE), None, EvictionRank.BETWEEN),
        (replace(STRANGER, state=ConnectionState.READING), None, EvictionRank.READING),
        (replace(STRANGER, known=True), None, None),
        (replace(STRANGER, known=True, long_in_state=True), None, EvictionRank.KNOWN_SILENT),
        (replace(STRANGER, known=True, state=ConnectionState.IDLE, long_in_state=True), None, EvictionRank.KNOWN_IDLE),
        (replace(STRANGER, known=True, state=ConnectionState.READING, long_in_state=True), None, None),
    ],
)
def test_order_of_eviction(
    standing: ConnectionView, for_stranger: EvictionRank | None, for_known: EvictionRank | None
) -> None:
    assert (eviction_rank(standing, False), eviction_rank(standing, True)) == (for_stranger, for_known)


def test_answers_close_beyond_the_bound_but_not_for_known_clients() -> None:
    assert keeps_alive(False, 85, 85) and not keeps_alive(False, 86, 85) and keeps_alive(True, 1000, 85)


# The account

BUDGET = DescriptorBudget(limit=128, base=8)  # 91 shared: 45 of clients and 27 of backends are never lent


def fill(account: DescriptorAccount, side: Side) -> int:
    while account.has_room(side):
        account.acquire(side)
    return account.open_count(side)


@pytest.mark.parametrize("side", Side)
def test_each_side_borrows_all_but_the_others_floor(side: Side) -> None:
    account = DescriptorAccount(BUDGET)
    assert fill(account, side) == account.shared - account.floor(side.other)
    assert account.exceeds_floor(side) and not account.exceeds_floor(side.other)
    assert fill(account, side.other) == account.floor(side.other)
    assert sum(account.open_count(s) for s in Side) == account.shared


def test_the_unused_reserve_is_not_lent_to_backends() -> None:
    account = DescriptorAccount(BUDGET, reserve=20)
    for _ in range(40):
        account.acquire(Side.DOWNSTREAM)
    assert fill(account, Side.UPSTREAM) == account.shared - 60
    account.acquire(Side.DOWNSTREAM, known=True)
    assert account.unused_reserve == 19 and not account.has_room(Side.UPSTREAM)


def test_an_evicted_connection_counts_until_the_kernel_frees_its_descriptor() -> None:
    account = DescriptorAccount(BUDGET)
    fill(account, Side.DOWNSTREAM)
    for _ in range(BUDGET.closing):
        assert account.may_close
        account.start_closing(Side.DOWNSTREAM)
        account.acquire(Side.DOWNSTREAM)
    assert not account.may_close and account.closing == BUDGET.closing
    account.finish_closing()
    assert account.may_close


def test_an_exhausted_account_counts_on_what_is_open_and_recovers_the_rest_in_steps() -> None:
    account = DescriptorAccount(BUDGET)
    for _ in range(10):
        account.acquire(Side.DOWNSTREAM)
    account.lower_limit()
    assert account.shared == 10 and not account.has_room(Side.DOWNSTREAM)
    account.lower_limit(needs=1)
    assert account.excess == 1
    steps = 0
    while not account.raise_limit():
        steps += 1
        assert account.limit <= BUDGET.limit
    assert steps > 5 and account.limit == BUDGET.limit


def test_a_limit_lowered_below_what_is_open_leaves_an_excess() -> None:
    account = DescriptorAccount(BUDGET)
    held = fill(account, Side.DOWNSTREAM)
    account.set_limit(60)
    assert account.excess == held - account.shared and not account.has_room(Side.UPSTREAM)
    account.set_limit(128)
    assert not account.excess


# Addresses, on a virtual clock


@pytest.mark.parametrize(
    "host, name",
    [
        ("127.0.0.1", "127.0.0.1"),
        ("::ffff:127.0.0.1", "127.0.0.1"),
        ("::FFFF:7f00:1", "127.0.0.1"),
        ("2001:db8:7:1::9", "2001:db8:7:1::"),
        ("2001:db8:7:1:ffff::", "2001:db8:7:1::"),
        ("fe80::1%eth0", "fe80::"),
        ("no address", "no address"),
        ("no:address", "no:address"),
    ],
)
def test_one_client_has_one_identity(host: str, name: str) -> None:
    assert client_identity(host) == name


@pytest.mark.parametrize(
    "host, networks, known",
    [
        ("10.4.9.1", ["10.4.0.0/16"], True),
        ("10.5.9.1", ["10.4.0.0/16"], False),
        ("::ffff:10.4.9.1", ["10.4.0.0/16"], True),
        ("10.4.9.1", ["::ffff:10.4.0.0/112"], True),
        ("2001:db8:7::5", ["2001:db8:7::/64"], True),
        ("2001:db8:8::5", ["2001:db8:7::/64"], False),
        ("127.0.0.1", ["127.0.0.1"], True),
        ("x", ["0.0.0.0/0"], False),
    ],
)
def test_the_list_of_known_clients(host: str, networks: list[str], known: bool) -> None:
    settings = AdmissionSettings(known=tuple(map(parse_network, networks)))
    assert settings.is_listed(client_identity(host)) is known


@pytest.mark.parametrize("text", ["", "10.4.0.1/16", "10.4.0.0/33", "host", "2001:db8::1"])
def test_a_bad_network_is_named(text: str) -> None:
    with pytest.raises(ValueError, match=repr(text)):
        parse_network(text)


LEARNING = AdmissionSettings(learn_known_s=3600.0, learn_after_s=5.0, addresses=16)


def serve(table: AddressTable, host: str, now: int, storm: bool = False) -> bool:
    """One connection that is served. Returns whether it was known when it came."""
    entry = table.entry_for(host, now)
    known = table.is_known(entry, now)
    table.connection_opened(entry)
    table.request_served(entry, now, storm)
    table.connection_closed(entry)
    return known


def test_a_client_is_learned_outside_storms_and_forgotten_after_hours() -> None:
    table = AddressTable(LEARNING)
    assert not serve(table, "10.0.0.1", 0)
    assert not serve(table, "10.0.0.1", 4 * SECOND)  # too soon
    assert not serve(table, "10.0.0.1", 5 * SECOND)
    assert serve(table, "10.0.0.1", 50 * 60 * SECOND)
    assert serve(table, "10.0.0.1", 50 * 60 * SECOND + HOUR)
    assert not serve(table, "10.0.0.1", 100 * HOUR)


def test_no_client_becomes_known_in_a_storm() -> None:
    table = AddressTable(LEARNING)
    serve(table, "10.0.0.1", 0)  # known before
    serve(table, "10.0.0.1", 6 * SECOND)
    serve(table, "10.0.0.2", 7 * SECOND)  # of the storm, and a little ahead of it
    table.restart_learning()
    for at in range(8, 60):
        assert serve(table, "10.0.0.1", at * SECOND, storm=True)
        assert not serve(table, "10.0.0.2", at * SECOND, storm=True)
    assert not serve(table, "10.0.0.2", 61 * SECOND)
    # The known one's last answer counts from within the storm.
    assert serve(table, "10.0.0.1", 59 * SECOND + HOUR)


def test_a_flood_of_addresses_neither_grows_the_table_nor_evicts_learned_clients() -> None:
    table = AddressTable(LEARNING)
    serve(table, "10.0.0.1", 0)
    serve(table, "10.0.0.1", 6 * SECOND)
    held = table.entry_for("held", 6 * SECOND)
    table.connection_opened(held)
    for i in range(10_000):
        serve(table, f"172.16.{i // 256}.{i % 256}", 7 * SECOND, storm=True)
        assert len(table) <= 2 * LEARNING.addresses + 1
    assert table.entry_for("held", 8 * SECOND) is held and serve(table, "10.0.0.1", 9 * SECOND)


def test_the_rate_of_new_connections_by_address() -> None:
    table = AddressTable(AdmissionSettings(new_per_s=2.0, new_burst=3))
    spent = [table.take_token(table.entry_for("a", 0), 0) for _ in range(5)]
    assert spent == [True, True, True, False, False]
    assert table.take_token(table.entry_for("b", 0), 0)
    assert [table.take_token(table.entry_for("a", SECOND), SECOND) for _ in range(3)] == [True, True, False]
    # Hours later it has one burst, not hours of it.
    assert sum(table.take_token(table.entry_for("a", 9 * HOUR), 9 * HOUR) for _ in range(10)) == 3


def test_a_storm_is_two_lines() -> None:
    episode = Episode("storm")
    lines = [episode.record(i * 1000, "refused") for i in range(5000)]
    assert lines[0] == "storm begins: refused" and not any(lines[1:])
    assert episode.poll(5 * SECOND) is None
    over = episode.poll(5 * SECOND + EPISODE_QUIET_US)
    assert over == "storm over after 5.0 s: 5000 × refused"
    assert not episode.is_active and episode.poll(HOUR) is None and episode.record(HOUR, "refused") is not None
