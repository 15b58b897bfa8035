"""The link to the successor as a state machine, message by message, and the callbacks that wait for commits."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import pytest

from lilacsill.mesh.runtime.environment import OnReply
from lilacsill.mesh.runtime.messages import (
    Item,
    Member,
    Message,
    Replicate,
    ReplicateReply,
    Summary,
    SummaryRequest,
    View,
)
from lilacsill.mesh.store import successor
from lilacsill.mesh.store.commit_waiters import CommitWaiters
from lilacsill.mesh.store.digests import RANGE_COUNT
from lilacsill.mesh.store.environment import Done, Save
from lilacsill.mesh.store.facts import StoredReplica
from lilacsill.mesh.store.paxos import AcceptorState
from lilacsill.mesh.store.replica import Replica
from lilacsill.mesh.store.state import ConfigState
from lilacsill.mesh.store.successor import RETRY_DELAY_US, LinkState, SuccessorLink
from lilacsill.timers import Timer, TimerWheel

HEAD, TAIL = Member("10.0.0.1:1", "a"), Member("10.0.0.2:1", "b")


class RecordingEnvironment:
    """An environment that keeps requests and timers until the test answers or fires them."""

    def __init__(self) -> None:
        self.requests: list[tuple[Message, OnReply]] = []
        self.timers: list[tuple[int, Callable[..., None], tuple[Any, ...]]] = []
        self.saves: list[Save] = []

    def now(self) -> int:
        return 0

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        self.timers.append((delay_us, call, arguments))
        return Timer(TimerWheel(), call, arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        raise AssertionError("not used by a link")

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        assert address == TAIL.address
        self.requests.append((message, answered))

    def save(self, save: Save, done: Done) -> None:
        self.saves.append(save)

    def oldest_save_age_us(self) -> int:
        return 0

    def answer(self, reply: Message | None) -> None:
        """Answer the oldest request."""
        self.requests.pop(0)[1](reply)

    def fire(self, delay_us: int) -> None:
        """Fire the oldest timer with that delay."""
        timer = next(timer for timer in self.timers if timer[0] == delay_us)
        self.timers.remove(timer)
        timer[1](*timer[2])


class RecordingChain:
    """Keeps the events that a link reports."""

    def __init__(self) -> None:
        self.pending_saves = 0
        self.events: list[str] = []

    def on_successor_confirmed(self) -> None:
        self.events.append("confirmed")

    def on_successor_acknowledged(self) -> None:
        self.events.append("acknowledged")

    def on_learner_synced(self) -> None:
        self.events.append("learner synced")


class Head:
    """A head with two items, its link to the tail, and what the link does."""

    def __init__(self) -> None:
        self.environment, self.chain = RecordingEnvironment(), RecordingChain()
        stored = StoredReplica(HEAD, View(1, (HEAD, TAIL)), True, 2, 0, AcceptorState())
        self.replica = Replica(self.environment, stored, items(1, 2))
        self.link = SuccessorLink(self.replica, self.chain)

    def state(self) -> LinkState:
        return self.link._state

    def sent(self) -> Message:
        """Return the only message in flight."""
        ((message, _),) = self.environment.requests
        return message

    def replicate_sent(self) -> Replicate:
        message = self.sent()
        assert isinstance(message, Replicate)
        return message

    def stream(self) -> None:
        """Bring the link to the state in which the successor has everything."""
        self.link.start()
        self.environment.answer(summary_of(items(1, 2), 2))
        self.environment.answer(ReplicateReply(True, 2))


def items(*seqs: int) -> list[Item]:
    return [Item("route", f"r{seq}", 1, seq, b"{}") for seq in seqs]


def summary_of(held: Iterable[Item], seq: int, complete: bool = True) -> Summary:
    state = ConfigState()
    state.apply(held, seq)
    return Summary(complete, seq, list(state.digests))


def test_a_link_begins_with_a_summary_request() -> None:
    head = Head()
    assert head.state() is LinkState.UNKNOWN and head.link.acked_seq is None
    head.link.start()
    assert head.state() is LinkState.SUMMARISING
    assert head.sent() == SummaryRequest(1, False)


def test_a_successor_that_is_behind_gets_the_changes_that_it_lacks() -> None:
    head = Head()
    head.link.start()
    head.environment.answer(summary_of(items(1), 1))
    assert head.state() is LinkState.STREAMING and head.chain.events == ["confirmed"]
    message = head.replicate_sent()
    assert (message.items, message.seq, message.is_repair, message.last) == (items(2), 2, False, True)
    assert head.link.acked_seq is None  # not before the reply
    head.environment.answer(ReplicateReply(True, 2))
    assert head.state() is LinkState.IDLE and head.link.acked_seq == 2
    assert head.chain.events == ["confirmed", "acknowledged"] and not head.environment.requests


def test_one_batch_is_in_flight_and_the_next_carries_all_later_changes() -> None:
    head = Head()
    head.stream()
    for seq in (3, 4, 5):
        head.replica.state.apply(items(seq), seq)
        head.link.advance()
    assert head.replicate_sent().items == items(3)
    head.environment.answer(ReplicateReply(True, 3))
    assert head.replicate_sent().items == items(4, 5)


def test_a_successor_that_differs_is_repaired_range_by_range() -> None:
    head = Head()
    head.link.start()
    other = [Item("route", "r1", 1, 1, b"other"), *items(2)]
    head.environment.answer(summary_of(other, 2))
    assert head.state() is LinkState.REPAIRING
    message = head.replicate_sent()
    assert message.is_repair and message.last and len(message.ranges) == 1 and message.items == items(1)
    assert head.link.repairs == [f"{TAIL.address}: 1 ranges as of 2, it had 2"]


def test_a_repair_comes_in_chunks_and_only_the_last_one_acknowledges(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(successor, "REPAIR_CHUNK_BYTES", 1)
    head = Head()
    head.link.start()
    head.environment.answer(Summary(False, 0, []))
    chunks = [head.replicate_sent()]
    while not chunks[-1].last:
        head.environment.answer(ReplicateReply(True, 0))
        assert head.link.acked_seq is None
        chunks.append(head.replicate_sent())
    assert len(chunks) > 1 and all(chunk.is_repair for chunk in chunks)
    assert [number for chunk in chunks for number in chunk.ranges] == list(range(RANGE_COUNT))
    assert sorted(item.seq for chunk in chunks for item in chunk.items) == [1, 2]
    head.environment.answer(ReplicateReply(True, 2))
    assert head.state() is LinkState.IDLE and head.link.acked_seq == 2


def test_a_message_without_a_reply_is_followed_by_a_summary_request_after_a_delay() -> None:
    head = Head()
    head.stream()
    head.replica.state.apply(items(3), 3)
    head.link.advance()
    head.environment.answer(None)
    assert head.state() is LinkState.RETRYING and head.link.acked_seq is None
    head.link.advance()
    assert not head.environment.requests  # not before the delay is over
    head.environment.fire(RETRY_DELAY_US)
    assert head.state() is LinkState.SUMMARISING


def test_a_reply_of_an_earlier_view_is_dropped() -> None:
    head = Head()
    head.link.start()
    head.link.reset_for_view()
    head.environment.answer(summary_of(items(1, 2), 2))
    assert head.state() is LinkState.UNKNOWN and not head.link.is_confirmed and head.chain.events == []


def test_a_successor_that_has_more_makes_this_copy_outdated() -> None:
    head = Head()
    head.link.start()
    head.environment.answer(summary_of(items(1, 2, 3), 3))
    assert head.state() is LinkState.UNKNOWN and not head.replica.complete and head.chain.events == []
    assert head.environment.saves[-1].facts["whole"] == b"0"
    head.link.advance()
    assert not head.environment.requests


def test_only_a_successor_that_is_not_synced_is_resynced() -> None:
    head = Head()
    head.stream()
    head.link.resync(TAIL.address, 1, True)
    head.link.resync(TAIL.address, 2, False)
    head.link.resync("10.0.0.3:1", 1, False)
    assert head.state() is LinkState.IDLE
    head.link.resync(TAIL.address, 1, False)
    assert head.state() is LinkState.SUMMARISING and head.link.acked_seq is None


def test_waiters_are_called_back_in_order_up_to_the_committed_change() -> None:
    waiters, called = CommitWaiters(), list[tuple[int, bool]]()
    for seq in (3, 1, 2, 4):
        waiters.add(seq, lambda ok, seq=seq: called.append((seq, ok)))  # type: ignore[misc]
    waiters.complete(None)
    assert called == []
    waiters.complete(3)
    assert called == [(3, True), (1, True), (2, True)]
    waiters.complete(3)
    waiters.fail_all()
    waiters.fail_all()
    assert called[3:] == [(4, False)]


def test_what_changes_during_a_repair_comes_with_the_last_chunk(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(successor, "REPAIR_CHUNK_BYTES", 1)
    head = Head()
    head.link.start()
    head.environment.answer(Summary(False, 0, []))
    copy = ConfigState()
    while True:
        chunk = head.replicate_sent()
        copy.replace_ranges(chunk.ranges, chunk.items, chunk.seq if chunk.last else None)
        if chunk.last:
            break
        head.replica.state.apply(items(head.replica.state.seq + 1), head.replica.state.seq + 1)
        head.environment.answer(ReplicateReply(True, 0))
    assert copy.digests == head.replica.state.digests
    assert chunk.seq == copy.seq == head.replica.state.seq == max(item.seq for item in copy.items.values())


def test_changes_that_are_too_large_for_one_message_come_in_several(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(successor, "MAX_BATCH_BYTES", 1000)
    monkeypatch.setattr(successor, "REPAIR_CHUNK_BYTES", 500)
    head = Head()
    head.stream()
    copy = ConfigState()
    copy.apply(items(1, 2), 2)
    head.replica.state.apply(items(*range(3, 50)), 49)
    head.link.advance()
    chunks = [head.replicate_sent()]
    while not chunks[-1].last:
        assert head.link.acked_seq == 2 and chunks[-1].is_repair and not chunks[-1].ranges
        copy.replace_ranges([], chunks[-1].items, None)
        latest = head.replica.state.seq + 1
        head.replica.state.apply([Item("route", f"r{latest % 60}", 2, latest, b"{}")], latest)
        head.environment.answer(ReplicateReply(True, 0))
        chunks.append(head.replicate_sent())
    copy.replace_ranges([], chunks[-1].items, chunks[-1].seq)
    assert len(chunks) > 2 and sum(len(chunk.items) for chunk in chunks) < 70
    assert copy.digests == head.replica.state.digests and copy.seq == head.replica.state.seq
