"""A `store.db` that version 0.1 wrote is read completely, and is written in the same format.

The file in `data/` was written by the store of version 0.1 itself: operators' calls through its frontend, votes through
its acceptor, with a bound of two tombstones so that its floor has moved. It holds the limits, a service, a route that
was changed three times, four routes that were dropped (of which two tombstones are collected), a view that was adopted,
and a promise and a vote for the next one.
"""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.messages import Item, Member, PastView, View
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.network import Machine, Net
from lilacsill.mesh.store.accepted_changes import ChangeKind, classify_change
from lilacsill.mesh.store.disk import FILE_NAME, Disk
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.node import DiskContents, StoreSettings, recover
from lilacsill.mesh.store.replica import Replica

RECORDED = Path(__file__).parent / "data" / "store_of_version_0_1.db"
ADDRESS = "10.0.0.1:7661"
ME, SECOND, THIRD = Member(ADDRESS, "first"), Member("10.0.0.2:7661", "second"), Member("10.0.0.3:7661", "third")
FACTS = {  # byte for byte
    "incarnation": b"first",
    "seq": b"14",
    "floor": b"12",
    "whole": b"1",
    "view": b"\x93\x01\x92\x92\xad10.0.0.1:7661\xa5first\x92\xad10.0.0.2:7661\xa6second\x00",
    "accord": (
        b"\x94\x02\x92\x06\xad10.0.0.1:7661\x92\x05\xad10.0.0.2:7661\x93\x02\x93\x92\xad10.0.0.1:7661\xa5first"
        b"\x92\xad10.0.0.2:7661\xa6second\x92\xad10.0.0.3:7661\xa5third\x01"
    ),
}
DIGEST = 0x1ACEEA707B96A5A2  # of the whole state, as version 0.1 computed it


def rule(version: int, timeout_ms: int) -> dict[str, Any]:
    return {
        "Name": "kept",
        "ConfigVersion": f"r{version}",
        "RouteKind": "read_only",
        "TargetMs": 100,
        "Rank": 1,
        "When": {"PathPrefix": "/kept/"},
        "Then": {"TargetService": "backend", "TimeoutMs": timeout_ms, "MaxTries": 2},
    }


LIMITS = {"ConfigVersion": "r1", "MaxHeaderBytes": 16384}
SERVICE = {"Name": "backend", "ConfigVersion": "r1", "HealthPath": "/h", "MaxConnections": 9}
CONFIGURATION = {
    "Limits": LIMITS,
    "Listeners": [{"Host": "h.example", "Policy": [rule(7, 3000)]}],
    "Groups": [SERVICE],
}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A folder with a copy of the recorded file."""
    shutil.copy(RECORDED, tmp_path / FILE_NAME)
    return tmp_path


def contents(reactor: Reactor, folder: Path) -> DiskContents:
    disk = Disk(reactor, str(folder))
    disk.close()
    return DiskContents(disk.items, disk.facts)


def recovered(disk: DiskContents) -> Replica:
    machine = Machine(Net(1, 500), ADDRESS, 1000)
    machine.begin()
    return recover(machine, StoreSettings(ADDRESS, [ADDRESS], False, "another", 1), disk)


def rows(file: Path) -> list[tuple[Any, ...]]:
    # Immutable: sqlite makes no log beside the recorded file.
    with sqlite3.connect(f"file:{file}?immutable=1", uri=True) as db:
        found = db.execute("select * from item order by kind, name").fetchall()
        found += db.execute("select * from fact order by name").fetchall()
    db.close()
    return found


def test_the_items_and_tombstones_are_there(reactor: Reactor, folder: Path) -> None:
    replica = recovered(contents(reactor, folder))
    state = replica.state
    assert {key: (item.version, item.seq, item.body is None) for key, item in state.items.items()} == {
        ("limits", ""): (1, 1, False),
        ("service", "backend"): (1, 2, False),
        ("route", "kept"): (7, 10, False),
        ("route", "gone3"): (2, 13, True),
        ("route", "gone4"): (2, 14, True),
    }
    assert (state.seq, state.tombstone_floor, state.tombstones, state.size) == (14, 12, 2, 888)
    assert state.digest() == DIGEST
    assert msgspec.json.decode(state.to_json()) == CONFIGURATION


@pytest.mark.parametrize(
    ("version", "timeout_ms", "verdict"),
    [
        (1, 1000, ChangeKind.ACCEPTED),
        (4, 2000, ChangeKind.ACCEPTED),
        (5, 2500, ChangeKind.ACCEPTED),  # it came when 7 was in force
        (7, 3000, ChangeKind.ACCEPTED),
        (4, 2001, ChangeKind.CONFLICT),
        (5, 2501, ChangeKind.CONFLICT),
        (6, 2000, ChangeKind.SUPERSEDED),
        (8, 2000, ChangeKind.NEWER),
    ],
)
def test_the_earlier_versions_of_a_route_are_known(
    reactor: Reactor, folder: Path, version: int, timeout_ms: int, verdict: ChangeKind
) -> None:
    kept = recovered(contents(reactor, folder)).state.items["route", "kept"]
    assert classify_change(kept, version, {"Host": "h.example", "Rule": rule(version, timeout_ms)}) is verdict


def test_the_view_and_the_votes_are_there(reactor: Reactor, folder: Path) -> None:
    replica = recovered(contents(reactor, folder))
    assert replica.me == ME and replica.view == View(1, (ME, SECOND)) and replica.complete
    assert replica.is_head and replica.successor == SECOND and replica.view_pending
    vote = replica.acceptor.state
    assert (vote.view_number, vote.promised, vote.accepted_ballot) == (2, (6, ADDRESS), (5, SECOND.address))
    assert vote.accepted_view == View(2, (ME, SECOND, THIRD), 1)


def test_the_facts_are_written_as_they_were(reactor: Reactor, folder: Path) -> None:
    disk = contents(reactor, folder)
    assert disk.facts == FACTS
    replica = recovered(disk)
    view = msgspec.msgpack.decode(FACTS["view"])
    assert replica.view_facts() == {"view": msgspec.msgpack.encode([*view, []]), "whole": b"1", "intact": b"1"}
    *vote, accepted = msgspec.msgpack.decode(FACTS["accord"])
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(replica.acceptor.state)) == [*vote, [*accepted, []]]


def test_the_version_before_reads_what_is_written_now(reactor: Reactor, folder: Path) -> None:
    class EarlierView(msgspec.Struct, array_like=True):
        number: int
        members: list[list[str]]
        suspended: int = 0

    replica = recovered(contents(reactor, folder))
    replica.adopt(View(2, (SECOND, ME), 1, (PastView(1, (ME, SECOND)),)))
    written = replica.view_facts()
    view = msgspec.msgpack.decode(written["view"], type=EarlierView)
    assert (view.number, view.suspended, len(view.members)) == (2, 1, 2)
    assert written["whole"] == b"0" and written["complete_view"] == b"1"


def test_the_file_is_not_changed_by_reading_it(reactor: Reactor, folder: Path) -> None:
    contents(reactor, folder)
    assert rows(folder / FILE_NAME) == rows(RECORDED)


def test_items_that_are_written_again_make_the_same_rows(reactor: Reactor, folder: Path, tmp_path: Path) -> None:
    disk = contents(reactor, folder)
    (tmp_path / "new").mkdir()
    written = Disk(reactor, str(tmp_path / "new"))
    written.save(Save(disk.items, facts=disk.facts), lambda: None)
    written.close()
    assert rows(tmp_path / "new" / FILE_NAME) == rows(RECORDED)


def test_a_change_goes_on_from_the_recorded_file(reactor: Reactor, folder: Path) -> None:
    disk = Disk(reactor, str(folder))
    later = Item("route", "gone4", 3, 15, b"{}")
    disk.save(Save([later], facts={"seq": b"15"}), lambda: None)
    disk.close()
    replica = recovered(contents(reactor, folder))
    assert replica.state.seq == 15 and replica.state.items["route", "gone4"] == later and len(replica.state.items) == 5
