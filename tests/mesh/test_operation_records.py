"""Records of operations are items of a copy, of its disk and of its repairs, and no configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random


from lilacsill.mesh.runtime.messages import Item, OperationOwner
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.network import Disk as SimulatedDisk
from lilacsill.mesh.simulation.network import Time
from lilacsill.mesh.store.digests import RANGE_COUNT
from lilacsill.mesh.store.disk import Disk
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.operation_records import floor_item, operation_item
from lilacsill.mesh.store.state import ConfigState


def operation(number: int, seq: int, version: int = 1) -> Item:
    return operation_item(f"{number:04x}", version, seq, OperationOwner("10.1.0.1:1", 7, number))


def route(name: str, seq: int, body: bytes | None = b"{}") -> Item:
    return Item("note", name, seq, seq, body)


def names(items: Iterable[Item]) -> list[str]:
    return [item.name for item in items]


def filled() -> ConfigState:
    """A state with two items of the configuration and three operations, in turns."""
    state = ConfigState()
    state.apply([route("a", 1), operation(1, 2), operation(2, 3), route("b", 4), operation(3, 5)], 5)
    return state


def test_the_configuration_does_not_see_operations() -> None:
    state = filled()
    assert (state.seq, state.config_seq, state.operation_count) == (5, 4, 3)
    assert names(state.items.values()) == ["a", "b"] and state.size == 204
    assert names(state.config_items_since(1)) == ["b"] and names(state.config_items_since(4)) == []
    assert names(state.items_since(1)) == ["0001", "0002", "b", "0003"]
    assert state.to_json() == b'{"Listeners":[],"Groups":[]}'


def test_a_floor_deletes_the_operations_up_to_it() -> None:
    state, before = filled(), filled().digest()
    state.apply([floor_item(3, 6)], 6)
    assert state.operation("0002") is None and state.operation("0003") is not None
    assert (state.operation_count, state.operation_floor, state.oldest_operation_seq()) == (1, 3, 5)
    assert state.digest() != before
    other = ConfigState()
    other.apply([route("a", 1), route("b", 4), operation(3, 5), floor_item(3, 6)], 6)
    assert other.digests == state.digests


def test_a_repair_brings_operations_and_takes_back_a_floor_that_was_never_committed() -> None:
    state, copy = filled(), filled()
    copy.apply([floor_item(5, 6)], 6)
    ranges = [number for number in range(RANGE_COUNT) if state.digests[number] != copy.digests[number]]
    for number in ranges:
        copy.replace_ranges([number], state.items_in_range(number), state.seq if number == ranges[-1] else None)
    assert copy.digests == state.digests and copy.items_since(0) == state.items_since(0)
    assert (copy.seq, copy.operation_count, copy.operation_floor) == (5, 3, 0)


def test_the_number_of_the_configuration_never_goes_back() -> None:
    state, highest, random = ConfigState(), 0, Random(1)
    for seq in range(1, 3000):
        draw = random.random()
        if draw < 0.6:
            changes, floor = [operation(random.randrange(50), seq)], 0
        elif draw < 0.8:
            changes, floor = [route(f"{random.randrange(9)}", seq, random.choice((b"{}", None)))], 0
        elif draw < 0.9:
            changes, floor = [floor_item(seq - 20, seq)], 0
        else:
            changes, floor = [route("z", seq)], state.config_seq
        state.apply(changes, seq, floor)
        assert highest <= state.config_seq <= state.seq
        highest = state.config_seq
        reloaded = ConfigState()
        everything = state.items_since(0)
        random.shuffle(everything)
        reloaded.apply(everything, state.seq, state.tombstone_floor)
        assert reloaded.config_seq == highest and reloaded.digests == state.digests


SAVES = [
    Save([route("a", 1), operation(1, 2), operation(2, 3)], facts={"seq": b"3"}),
    Save([operation(1, 4, version=2), route("b", 5, None)], facts={"seq": b"5"}),
    Save([floor_item(3, 6)], facts={"seq": b"6"}),
    Save([operation(3, 7)], facts={"seq": b"7"}),
]
LEFT = ["", "0001", "0003", "a", "b"]


def save_all(save: Callable[[Save, Callable[[], None]], None], reported: list[int]) -> None:
    for number, each in enumerate(SAVES):
        save(each, lambda number=number: reported.append(number))  # type: ignore[misc]


def test_a_floor_deletes_operations_on_disk_in_the_same_transaction(reactor: Reactor, tmp_path: Path) -> None:
    reported: list[int] = []
    disk = Disk(reactor, str(tmp_path))
    save_all(disk.save, reported)
    reactor.after(5_000_000, reported.extend, range(9))
    while len(reported) < len(SAVES):
        reactor.run_once()
    assert reported == [0, 1, 2, 3]
    disk.close()
    reopened = Disk(reactor, str(tmp_path))
    assert sorted(names(reopened.items)) == LEFT
    state = ConfigState()
    state.apply(reopened.items, 7)
    assert (state.config_seq, state.operation_count, state.operation_floor) == (5, 2, 3)
    reopened.close()


def test_the_simulated_disk_does_the_same() -> None:
    time, reported = Time(), list[int]()
    disk = SimulatedDisk(time, Random(1), 1000)
    save_all(disk.save, reported)
    time.run(time.now + 1_000_000)
    assert reported == [0, 1, 2, 3] and sorted(names(disk.items.values())) == LEFT
