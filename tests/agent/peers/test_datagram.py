"""What comes to the socket: whole, known, signed, young and once, or dropped at no cost."""

from __future__ import annotations

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.agent.peers.datagram import (
    MAX_DATAGRAM_BYTES,
    MAX_RECORD_BYTES,
    REPLAY_WINDOW,
    Datagram,
    DatagramCodec,
    DropReason,
    StaleDatagram,
    fleet_id,
)
from lilacsill.agent.peers.fleet import Fleet, FleetSettings
from lilacsill.agent.peers.records import Ack, LeaseRequest, Ping, encode

OLD, NEW = b"0123456789abcdef", b"fedcba9876543210"


def gates(**more: tuple[bytes, ...]) -> tuple[DatagramCodec, DatagramCodec]:
    return DatagramCodec(0, 5, 4, **more), DatagramCodec(1, 5, 4, **more)


def ping(g: DatagramCodec, stamp: int = 1 << 16, to: int = 1) -> bytes:
    return g.encode(to, stamp, [encode(Ping(7, 4))])


def test_a_datagram_is_accepted_once() -> None:
    a, b = gates(secrets=(OLD,))
    data = ping(a)
    assert b.decode(data, 0) == Datagram(0, 1 << 16, [Ping(7, 4)])
    assert b.decode(data, 0) is DropReason.REPEATED


def test_reasons_to_drop_a_datagram() -> None:
    a, b = gates(secrets=(OLD,))
    data = ping(a)
    other_fleet = DatagramCodec(0, fleet_id("other"), 4, (OLD,))
    assert b.decode(data, None) is DropReason.FOREIGN
    assert b.decode(data, 2) is DropReason.FOREIGN  # under another's number
    assert b.decode(ping(a, to=2), 0) is DropReason.FOREIGN  # meant for another
    assert b.decode(data[:-1], 0) is DropReason.UNSIGNED
    assert b.decode(data[:20], 0) is DropReason.TORN
    assert b.decode(data + bytes(300), 0) is DropReason.TORN
    assert b.decode(b"XX" + data[2:], 0) is DropReason.TORN
    assert b.decode(data[:2] + b"\x02" + data[3:], 0) is DropReason.VERSION
    assert b.decode(ping(other_fleet), 0) is DropReason.FLEET
    assert b.decode(ping(DatagramCodec(0, 5, 4, (NEW,))), 0) is DropReason.UNSIGNED
    assert b.decode(a.encode(1, 1 << 16, [b"\x93\x63\x01\x02"]), 0) is DropReason.TORN  # no such record
    assert b.decode(a.encode(1, 1 << 16, [encode(LeaseRequest(300, 1, 1))]), 0) is DropReason.TORN  # out of bounds
    assert sum(b.dropped.values()) == 12


def test_secrets_change_while_running_by_an_overlap() -> None:
    a, b = gates(secrets=(OLD,))
    steps = [
        ((OLD, NEW), (OLD,)),
        ((OLD, NEW), (OLD, NEW)),
        ((NEW, OLD), (OLD, NEW)),
        ((NEW, OLD), (NEW, OLD)),
        ((NEW,), (NEW, OLD)),
        ((NEW,), (NEW,)),
    ]
    for mine, theirs in steps:
        a.secrets, b.secrets = mine, theirs
        assert isinstance(b.decode(ping(a), 0), Datagram) and isinstance(a.decode(ping(b, to=0), 1), Datagram)
    a.secrets = (OLD,)
    assert b.decode(ping(a), 0) is DropReason.UNSIGNED


def test_an_earlier_incarnation_is_recognised() -> None:
    a, b = gates()
    late = ping(a, 1 << 16)
    assert isinstance(b.decode(ping(DatagramCodec(0, 5, 4), 9 << 16), 0), Datagram)
    assert b.decode(late, 0) == StaleDatagram(0, 1 << 16, 9)
    assert isinstance(
        b.decode(ping(DatagramCodec(0, 5, 4), (9 << 16) + 3), 0), DropReason
    )  # the same life, a sequence used before


@given(st.lists(st.integers(0, 3 * REPLAY_WINDOW), min_size=1, max_size=60))
def test_each_sequence_number_is_accepted_once_in_any_order(order: list[int]) -> None:
    a, b = gates()
    sent = [ping(a) for _ in range(max(order) + 1)]
    taken: set[int] = set()
    newest = -1
    for i in order:
        got = b.decode(sent[i], 0)
        assert isinstance(got, Datagram) == (i not in taken and i > newest - REPLAY_WINDOW)
        if isinstance(got, Datagram):
            taken.add(i)
            newest = max(newest, i)


@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 20), st.integers(0, 3) | st.none())
def test_any_bytes_are_dropped_and_change_nothing(data: bytes, sender: int | None) -> None:
    f = Fleet(FleetSettings(1, 4, 4), 0, 5)
    f.start(0)
    f.receive(1, data, sender)
    assert not f.take_datagrams() and not f.changes


@given(st.data())
def test_a_flipped_bit_is_never_accepted_where_a_secret_is_set(data: st.DataObject) -> None:
    a, b = gates(secrets=(OLD,))
    sent = bytearray(ping(a))
    bit = data.draw(st.integers(0, 8 * len(sent) - 1))
    sent[bit // 8] ^= 1 << bit % 8
    assert isinstance(b.decode(bytes(sent), 0), DropReason)


def test_hostile_input_costs_no_memory() -> None:
    f = Fleet(FleetSettings(1, 4, 4, secrets=(OLD,)), 0, 5)
    f.start(0)
    hostile = DatagramCodec(0, 0, 4, (NEW,))
    f.receive(1, bytes(100), 0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(5000):
        f.receive(i, ping(hostile, (i + 1) << 16), i % 4)
        f.receive(i, i.to_bytes(8, "big") * 20, None)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert grown < 20_000 and not f.events.events and sum(f.codec.dropped.values()) == 10_001


def test_a_full_datagram_keeps_to_its_bound() -> None:
    a, b = gates(secrets=(OLD,))
    one = encode(Ack(2**32 - 1))
    data = a.encode(1, 2**62, [one] * (MAX_RECORD_BYTES // len(one)))
    assert len(data) <= MAX_DATAGRAM_BYTES and isinstance(b.decode(data, 0), Datagram)
