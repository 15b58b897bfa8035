"""Replication to the successor in the chain: the state machine of the sender. No I/O.

The sender first requests a summary of the successor's copy. It then sends either the changes that the successor lacks
(streaming) or, if the digests show that the copies differ, all items of the differing ranges (repair, a form of
anti-entropy). One message is in flight at a time and carries all changes that are pending, so that under load many
changes share a message. Copies that are up to date are compared periodically.

The successor of the tail is the learner that is being synced, if any. No commit waits for a learner.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from functools import partial
from typing import Protocol

from lilacsill.mesh.runtime.environment import OnReply
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item, Member, Message, Replicate, ReplicateReply, Summary, SummaryRequest

from .digests import differing_ranges
from .replica import Replica
from .state import size_of

REPLICATE_TIMEOUT_US = 900_000  # the time within which all members behind the sender must have a message on disk
TRANSFER_US_PER_BYTE = 8  # added to the timeout: links transfer at least 1 Mbit/s
SUMMARY_TIMEOUT_US = 400_000
RETRY_DELAY_US = 50_000  # after a failed message
REPAIR_CHUNK_BYTES = 32_000  # initial size of a repair message: heartbeats share the link and must not be delayed
MAX_REPAIR_CHUNK_BYTES = 16 * REPAIR_CHUNK_BYTES  # when chunks are acknowledged fast
FAST_CHUNK_US = 100_000  # if a chunk is acknowledged within this time, the next chunk may be twice as large
MAX_BATCH_BYTES = 2 * REPAIR_CHUNK_BYTES  # of the changes in one message; larger batches are split
COMPARE_INTERVAL_US = 5_000_000  # interval of the comparisons of copies that are up to date
MAX_REPORTED_REPAIRS = 16


class LinkState(Enum):
    """The state of the link to the successor."""

    UNKNOWN = auto()  # no message is in flight, and the successor's state is unknown
    SUMMARISING = auto()  # a summary request is in flight
    REPAIRING = auto()  # a chunk of a repair is in flight
    STREAMING = auto()  # a batch of changes is in flight
    IDLE = auto()  # no message is in flight, and the successor has all changes up to `SuccessorLink.acked_seq`
    RETRYING = auto()  # a message failed, and `RETRY_DELAY_US` has not elapsed


class SendingChain(Protocol):
    """The methods of the chain that the link to the successor uses."""

    @property
    def pending_saves(self) -> int:
        """The number of saves of items that are not on this disk yet."""
        ...

    def on_successor_confirmed(self) -> None:
        """Handle the first summary in this view, from a successor that is not a complete copy ahead of this one."""

    def on_successor_acknowledged(self) -> None:
        """Handle an acknowledgement: more changes may be on the disks of all members from the successor to the tail."""

    def on_learner_synced(self) -> None:
        """Handle the event that the learner behind this tail has all changes that the tail has."""


class SuccessorLink:
    """The link from one member to its successor in the current view.

    Attributes:
        acked_seq: All changes up to this sequence number are on the disks of all members from the successor to the
            tail. None: unknown in this view.
        is_confirmed: Whether the successor has shown in this view that it is not a complete copy ahead of this one.
        repairs: Descriptions of the latest repairs, newest last, for operators.
    """

    def __init__(self, replica: Replica, chain: SendingChain) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._state = LinkState.UNKNOWN
        self._epoch = 0  # incremented for each view and each learner; replies from an earlier epoch are ignored
        self._chunk_bytes = REPAIR_CHUNK_BYTES
        self.acked_seq: int | None = None
        self.is_confirmed = False
        self.repairs: list[str] = []
        self.repair_count = 0  # since the process started

    def start(self) -> None:
        """Start replication and the periodic comparison of copies."""
        self.advance()
        self._environment.after(COMPARE_INTERVAL_US, self._compare)

    def reset(self) -> None:
        """Discard the known state of the successor, because the successor changes."""
        self._epoch += 1
        self._forget_progress()
        self._chunk_bytes = REPAIR_CHUNK_BYTES
        self._replica.state.drop_range_index()

    def reset_for_view(self) -> None:
        """Discard the known state of the successor at the start of a view."""
        self.reset()
        self.is_confirmed = False

    def resync(self, address: str, view_number: int, synced: bool) -> None:
        """Restart replication if the successor at `address` reports that it is not synced, as after a restart."""
        successor = self._replica.successor
        if successor is None or successor.address != address:
            return
        if view_number == self._replica.view.number and not synced and not self._is_busy:
            self._forget_progress()
            self.advance()

    def advance(self) -> None:
        """Send the changes that the successor lacks, unless a message is in flight or this copy is not up to date."""
        successor = self._replica.successor
        if successor is None or self._is_busy or not self._replica.is_up_to_date:
            return
        if self.acked_seq is None:
            self._request_summary(successor)
        elif self.acked_seq < self._replica.state.seq:
            self._send_batch(self._epoch, self.acked_seq)

    @property
    def _is_busy(self) -> bool:
        return self._state is not LinkState.UNKNOWN and self._state is not LinkState.IDLE

    def _forget_progress(self) -> None:
        self._state, self.acked_seq = LinkState.UNKNOWN, None

    # Summary

    def _request_summary(self, successor: Member) -> None:
        self._state = LinkState.SUMMARISING
        self._ask_for_summary(successor, partial(self._on_summary, self._epoch))

    def _ask_for_summary(self, successor: Member, answered: OnReply) -> None:
        request = SummaryRequest(self._replica.view.number, self._replica.is_tail)
        self._environment.ask(successor.address, request, SUMMARY_TIMEOUT_US, answered)

    def _on_summary(self, epoch: int, summary: Message | None) -> None:
        if epoch != self._epoch:
            return
        if not isinstance(summary, Summary):
            self._retry_later(epoch)
            return
        state = self._replica.state
        if summary.complete and summary.seq > state.seq:
            # A complete successor can be ahead of this copy only if this disk has lost acknowledged changes.
            self._forget_progress()
            self._replica.mark_outdated()
            return
        if not self.is_confirmed:
            self.is_confirmed = True
            self._chain.on_successor_confirmed()
        if summary.complete and (summary.seq < state.seq or summary.digests == state.digests):
            self._send_batch(epoch, summary.seq)
            return
        # The successor lacks changes, has changes that were never acknowledged, or has corrupt items.
        ranges = differing_ranges(state.digests, summary.digests)
        self._report_repair(ranges, summary)
        self._send_repair(epoch, ranges, state.seq)

    def _report_repair(self, ranges: list[int], summary: Summary) -> None:
        successor = self._replica.successor
        assert successor is not None
        seq, incomplete = self._replica.state.seq, "" if summary.complete else ", incomplete"
        report = f"{successor.address}: {len(ranges)} ranges as of {seq}, it had {summary.seq}{incomplete}"
        self.repairs = [*self.repairs[1 - MAX_REPORTED_REPAIRS :], report]
        self.repair_count += 1
        log.info("repairing successor %s", report)

    # Repair

    def _send_repair(self, epoch: int, ranges: list[int], seq: int) -> None:
        """Send the next chunk: as many ranges as fit into it, and at least one.

        Items that change during the repair are sent with the last chunk. A complete copy therefore has no item newer
        than the copy's own sequence number: as the head, it would assign the number of such an item to another change.
        An interrupted repair starts again with a summary, whose digests show which ranges remain to be sent.
        """
        self._state = LinkState.REPAIRING
        items, count = self._chunk_of(ranges)
        remaining = ranges[count:]
        state = self._replica.state
        if not remaining:
            items, seq = _with_changes(items, state.items_since(seq)), state.seq
        message = self._repair_message(items, seq, ranges[:count], not remaining)
        send_rest = partial(self._send_repair, epoch, remaining, seq)
        self._send_chunk(epoch, message, send_rest)

    def _repair_message(self, items: list[Item], seq: int, ranges: list[int], last: bool) -> Replicate:
        replica = self._replica
        floor = replica.state.tombstone_floor
        return Replicate(replica.view.number, seq, items, True, ranges, last, floor, replica.is_tail)

    def _send_chunk(self, epoch: int, message: Replicate, send_rest: Callable[[], None]) -> None:
        sent_at_us = self._environment.now()
        self._send(message, partial(self._on_chunk_reply, epoch, message.last, send_rest, sent_at_us))

    def _chunk_of(self, ranges: list[int]) -> tuple[list[Item], int]:
        """Return the items of the next chunk and the number of ranges that they cover."""
        items: list[Item] = []
        size = count = 0
        while count < len(ranges):
            more = self._replica.state.items_in_range(ranges[count])
            size += sum(map(size_of, more))
            if count and size > self._chunk_bytes:
                break
            items += more
            count += 1
        return items, count

    def _on_chunk_reply(
        self, epoch: int, was_last: bool, send_rest: Callable[[], None], sent_at_us: int, reply: Message | None
    ) -> None:
        if epoch != self._epoch:
            return
        if was_last or not isinstance(reply, ReplicateReply) or not reply.ok:
            self._chunk_bytes = REPAIR_CHUNK_BYTES
            self._replica.state.drop_range_index()
            self._on_batch_reply(epoch, reply)
            return
        if self._environment.now() - sent_at_us < FAST_CHUNK_US:
            self._chunk_bytes = min(2 * self._chunk_bytes, MAX_REPAIR_CHUNK_BYTES)
        else:
            self._chunk_bytes = max(self._chunk_bytes // 2, REPAIR_CHUNK_BYTES)
        send_rest()

    # Batches of changes

    def _send_batch(self, epoch: int, after_seq: int) -> None:
        """Send all changes after that sequence number, in several messages if they exceed `MAX_BATCH_BYTES`."""
        state = self._replica.state
        items = state.items_since(after_seq)
        if sum(map(size_of, items)) > MAX_BATCH_BYTES:
            self._send_large_batch(epoch, after_seq)
            return
        self._state = LinkState.STREAMING
        message = Replicate(
            self._replica.view.number,
            state.seq,
            items,
            False,
            [],
            True,
            state.tombstone_floor,
            self._replica.is_tail,
        )
        self._send(message, partial(self._on_batch_reply, epoch))

    def _send_large_batch(self, epoch: int, after_seq: int) -> None:
        """Send the first part of the changes after that sequence number, as a repair without ranges.

        The successor is incomplete until it has the last part: an earlier part lacks each change that was superseded
        by a change of the same item in a later part.
        """
        self._state = LinkState.REPAIRING
        state = self._replica.state
        changes = state.items_since(after_seq)
        part = _first_part(changes, self._chunk_bytes)
        is_last = len(part) == len(changes)
        seq = state.seq if is_last else part[-1].seq
        send_rest = partial(self._send_large_batch, epoch, seq)
        self._send_chunk(epoch, self._repair_message(part, seq, [], is_last), send_rest)

    def _on_batch_reply(self, epoch: int, reply: Message | None) -> None:
        """Handle the reply to a batch or to the last chunk of a repair."""
        if epoch != self._epoch:
            return
        if not isinstance(reply, ReplicateReply) or not reply.ok:
            self.acked_seq = None
            self._retry_later(epoch)
            return
        self._state = LinkState.IDLE
        self.acked_seq = reply.seq if self.acked_seq is None else max(self.acked_seq, reply.seq)
        if not self._replica.is_tail:
            self._chain.on_successor_acknowledged()
        elif self.acked_seq >= self._replica.state.seq:
            self._chain.on_learner_synced()
            return
        self.advance()

    def _send(self, message: Replicate, answered: OnReply) -> None:
        successor = self._replica.successor
        assert successor is not None
        timeout_us = REPLICATE_TIMEOUT_US + TRANSFER_US_PER_BYTE * sum(map(size_of, message.items))
        self._environment.ask(successor.address, message, timeout_us, answered)

    # Retries and comparisons

    def _retry_later(self, epoch: int) -> None:
        self._state = LinkState.RETRYING
        self._environment.after(RETRY_DELAY_US, self._retry, epoch)

    def _retry(self, epoch: int) -> None:
        if epoch == self._epoch:
            self._forget_progress()
            self.advance()

    def _compare(self) -> None:
        """Check, while no changes are in flight, that the successor's copy still equals this one."""
        self._environment.after(COMPARE_INTERVAL_US, self._compare)
        replica, epoch = self._replica, self._epoch
        successor = replica.successor
        if successor is None or self._is_busy or self._chain.pending_saves or not replica.complete:
            return
        if self.acked_seq is None or self.acked_seq < replica.state.seq:
            return
        self._ask_for_summary(successor, partial(self._on_comparison, epoch))

    def _on_comparison(self, epoch: int, summary: Message | None) -> None:
        state = self._replica.state
        if epoch != self._epoch or self._is_busy or self._chain.pending_saves or self.acked_seq != state.seq:
            return  # the copies have changed in the meantime, so the summary is outdated
        if isinstance(summary, Summary) and summary.seq == state.seq and summary.digests != state.digests:
            self._forget_progress()
            self.advance()


def _with_changes(items: list[Item], changes: list[Item]) -> list[Item]:
    """Return the items, followed by the changes of items that are not among them."""
    if not changes:
        return items
    sent = {(item.kind, item.name) for item in items}
    return items + [item for item in changes if (item.kind, item.name) not in sent]


def _first_part(changes: list[Item], max_bytes: int) -> list[Item]:
    """Return the first changes up to `max_bytes` in total, but at least one if there are any."""
    size = 0
    for index, item in enumerate(changes):
        size += size_of(item)
        if size > max_bytes and index:
            return changes[:index]
    return changes
