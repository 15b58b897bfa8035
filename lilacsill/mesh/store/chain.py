"""Calls down the chain, word of them up: each member has them on its disk before it passes them on. No I/O.

Between two members there is one parcel at a time, with all that the next one lacks: under load calls go together. A
copy that may hold something else is compared by digests over ranges of names, and of those that differ it gets all, in
pieces; standing copies are compared so now and then.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item, Member, Message, Replicate, ReplicateReply, Summary, SummaryRequest

from .digests import differing_ranges, range_of
from .environment import Save
from .replica import Replica
from .state import size_of

PASS_US = 900_000  # for a parcel to be on all disks below
THIN_US = 8  # and for each byte of it: a link of 1 Mbit/s
LACK_US = 400_000
AGAIN_US = 50_000
PIECE = 32_000  # bytes of a mend that go down at once, at first: heartbeats on the same link must not be late behind it
MOST_PIECE = 16 * PIECE  # and where pieces are quick
QUICK_US = 100_000  # a piece that is on the next disk within this may be followed by one of twice the size
PARCEL = 2 * PIECE  # bytes of changes that go down together
COMPARE_US = 5_000_000


class Chain:
    """One member's part."""

    def __init__(self, replica: Replica) -> None:
        self._replica, self._environment = replica, replica.environment
        self._acked = -1  # all below have this on disk; -1: not asked yet in this view and life
        self._busy = False
        self._era = 0  # counts views and learners; what was asked of the next one in an earlier era is dropped
        self._waiting: list[tuple[int, Callable[[bool], None]]] = []  # for a number to be on all disks
        self._piece = PIECE
        self._fed = False  # the member before has told how far the chain is
        self._confirmed = False  # the member below has told, in this view and life, that it has no more than this one
        self.repairs: list[str] = []  # what was found and mended below, the latest last
        self.pending_saves = 0  # items on their way to this disk
        self.on_commit: Callable[[], None] = lambda: None
        self.on_writable: Callable[[], None] = lambda: None
        self.on_learner_synced: Callable[[], None] = lambda: None
        replica.on_view.append(self._new_view)

    def start(self) -> None:
        self._push()
        self._environment.after(COMPARE_US, self._compare)

    @property
    def committed(self) -> int:
        """All members have it; -1 while that is not known. The tail waits for no learner, and a learner for nobody."""
        if not self._replica.complete:
            return -1
        if self._replica.is_tail or not self._replica.in_chain:
            return self._replica.state.seq
        return min(self._acked, self._replica.state.seq)

    @property
    def synced(self) -> bool:
        """Whole, and known to be so to the member before."""
        return self.committed >= 0 and (self._replica.is_head or self._fed)

    @property
    def may_append(self) -> bool:
        """Whether the head may give out the next number: it has all that was acknowledged, for the copy below has no
        more, and what is on its way to this disk, perhaps from a view before, has gone first."""
        replica = self._replica
        return replica.is_head and replica.complete and not self.pending_saves and (replica.is_tail or self._confirmed)

    def _new_view(self) -> None:
        self._era += 1
        self._acked, self._busy, self._fed, self._confirmed = -1, False, False, False
        self._piece = PIECE
        self._replica.state.drop_range_index()
        waiting, self._waiting = self._waiting, []
        # Those who wait get no clear answer: the call may have been dropped with the head of the view before.
        for _, done in waiting:
            done(False)
        self._push()

    def sync_learner(self, learner: Member | None) -> None:
        """The tail: whom to fill from here on. Calls do not wait for it."""
        if learner == self._replica.learner:
            return
        self._replica.learner = learner
        self._era += 1
        self._acked, self._busy, self._piece = -1, False, PIECE
        self._replica.state.drop_range_index()
        self._push()

    def replicate(self, items: list[Item], seq: int, done: Callable[[bool], None]) -> None:
        """The head's own: on its disk, then in its state, then down. `done(True)` when all have it."""
        view, state = self._replica.view.number, self._replica.state
        floor = state.tombstone_floor_after(items)

        def on_disk() -> None:
            state.apply(items, seq, floor)
            self._push()  # also where the view has changed meanwhile: it counts as part of the state from now on
            if view != self._replica.view.number:
                return done(False)
            self.wait_for_commit(seq, done)
            self._tell()

        self._save(self._saved_as(items, [], {"seq": b"%d" % seq}, floor), on_disk)

    def _saved_as(self, items: list[Item], ranges: list[int], facts: dict[str, bytes], floor: int) -> Save:
        """With the floor, where it is another."""
        if floor == self._replica.state.tombstone_floor:
            return Save(items, ranges, facts)
        return Save(items, ranges, {**facts, "floor": b"%d" % floor}, floor)

    def _save(self, save: Save, done: Callable[[], None]) -> None:
        def saved() -> None:
            self.pending_saves -= 1
            done()
            self.on_writable()

        self.pending_saves += 1
        self._environment.save(save, saved)

    def wait_for_commit(self, seq: int, done: Callable[[bool], None]) -> None:
        """`done(True)` once all members have that on disk."""
        if self.committed >= seq:
            return done(True)
        self._waiting.append((seq, done))

    def _tell(self) -> None:
        committed = self.committed
        due = [w for w in self._waiting if w[0] <= committed]
        if due:
            self._waiting = [w for w in self._waiting if w[0] > committed]
            for _, done in due:
                done(True)
        self.on_commit()

    # To the next

    def resync(self, address: str, view: int, synced: bool) -> None:
        """The next one has lost its place, as after a start: it is told again."""
        below = self._replica.successor
        if (
            below is not None
            and below.address == address
            and view == self._replica.view.number
            and not synced
            and not self._busy
        ):
            self._acked = -1
            self._push()

    def _push(self) -> None:
        replica = self._replica
        below = replica.successor
        if below is None or self._busy or not replica.complete or not (replica.is_head or self._fed):
            return
        if self._acked >= replica.state.seq:
            return
        self._busy = True
        era = self._era
        if self._acked < 0:
            self._environment.ask(
                below.address,
                SummaryRequest(replica.view.number, replica.is_tail),
                LACK_US,
                lambda m: self._have(era, m),
            )
        else:
            self._parcel(era, self._acked)

    def _have(self, era: int, m: Message | None) -> None:
        if era != self._era:
            return
        if not isinstance(m, Summary):
            return self._again(era)
        state = self._replica.state
        if m.complete and m.seq > state.seq:
            # A copy below never has more than this one, but where this disk has lost what it had told.
            self._busy = False
            return self._replica.mark_outdated()
        if not self._confirmed:
            self._confirmed = True
            self.on_writable()
        if m.complete and (m.seq < state.seq or m.digests == state.digests):
            return self._parcel(era, m.seq)
        # It missed something, or holds calls that nobody acknowledged, or what it holds is not what it was given.
        ranges = differing_ranges(state.digests, m.digests)
        below = self._replica.successor
        assert below is not None
        incomplete = "" if m.complete else ", not whole"
        told = f"{below.address}: {len(ranges)} ranges as of {state.seq}, it had {m.seq}{incomplete}"
        self.repairs = [*self.repairs[-15:], told]
        log.info("mends %s", told)
        self._mend(era, ranges, state.seq)

    def _mend(self, era: int, ranges: list[int], seq: int) -> None:
        """The next piece: as many ranges as go into it, one at least. What changes meanwhile has a later number, and
        follows as a parcel. After a break the digests tell which ranges are still to come."""
        items: list[Item] = []
        size = at = 0
        while at < len(ranges):
            more = self._replica.state.items_in_range(ranges[at])
            size += sum(map(size_of, more))
            if at and size > self._piece:
                break
            items += more
            at += 1
        rest = ranges[at:]
        floor = self._replica.state.tombstone_floor
        began = self._environment.now()
        self._hand_down(
            Replicate(self._replica.view.number, seq, items, True, ranges[:at], not rest, floor, self._replica.is_tail),
            lambda m: self._mended(era, rest, seq, m, self._environment.now() - began),
        )

    def _mended(self, era: int, rest: list[int], seq: int, m: Message | None, took_us: int) -> None:
        if era != self._era:
            return
        if not rest or not isinstance(m, ReplicateReply) or not m.ok:
            self._piece = PIECE
            self._replica.state.drop_range_index()
            return self._passed(era, m)
        quick = took_us < QUICK_US
        self._piece = min(2 * self._piece, MOST_PIECE) if quick else max(self._piece // 2, PIECE)
        self._mend(era, rest, seq)

    def _parcel(self, era: int, have: int) -> None:
        """All that it lacks; where that is too much for one message, its ranges go down in pieces instead."""
        state = self._replica.state
        items = state.items_since(have)
        if sum(map(size_of, items)) > PARCEL:
            return self._mend(era, sorted({range_of(i.kind, i.name) for i in items}), state.seq)
        self._hand_down(
            Replicate(
                self._replica.view.number,
                state.seq,
                items,
                False,
                [],
                True,
                state.tombstone_floor,
                self._replica.is_tail,
            ),
            lambda m: self._passed(era, m),
        )

    def _hand_down(self, message: Replicate, answered: Callable[[Message | None], None]) -> None:
        below = self._replica.successor
        assert below is not None
        bytes_down = sum(map(size_of, message.items))
        self._environment.ask(below.address, message, PASS_US + bytes_down * THIN_US, answered)

    def _compare(self) -> None:
        """Now and then, when all is quiet: does the next one still hold what it was given?"""
        self._environment.after(COMPARE_US, self._compare)
        replica, era = self._replica, self._era
        below = replica.successor
        if below is None or self._busy or self.pending_saves or self._acked < replica.state.seq or not replica.complete:
            return

        def answered(m: Message | None) -> None:
            quiet = era == self._era and not self._busy and not self.pending_saves and self._acked == replica.state.seq
            if quiet and isinstance(m, Summary) and m.seq == replica.state.seq and m.digests != replica.state.digests:
                self._acked = -1
                self._push()

        self._environment.ask(below.address, SummaryRequest(replica.view.number, replica.is_tail), LACK_US, answered)

    def _passed(self, era: int, m: Message | None) -> None:
        if era != self._era:
            return
        if not isinstance(m, ReplicateReply) or not m.ok:
            self._acked = -1
            return self._again(era)
        self._busy = False
        self._acked = max(self._acked, m.seq)
        if self._replica.is_tail:
            if self._acked >= self._replica.state.seq:
                return self.on_learner_synced()
        else:
            self._tell()
        self._push()

    def _again(self, era: int) -> None:
        self._environment.after(AGAIN_US, self._retry, era)

    def _retry(self, era: int) -> None:
        if era == self._era:
            self._busy = False
            self._push()

    # From the one before

    def _is_for_me(self, m: SummaryRequest | Replicate) -> bool:
        """A machine that has lost its disk is not the one that the chain takes it for: it would acknowledge alone."""
        replica = self._replica
        return m.view_number == replica.view.number and m.to_learner is not replica.in_chain and not replica.is_head

    def handle_summary_request(self, m: SummaryRequest, reply: Callable[[Message], None]) -> None:
        replica = self._replica
        if not self._is_for_me(m):
            return reply(ReplicateReply(False, 0))
        reply(Summary(replica.complete, replica.state.seq, list(replica.state.digests)))

    def handle_replicate(self, m: Replicate, reply: Callable[[Message], None]) -> None:
        replica = self._replica
        if not self._is_for_me(m) or not (replica.complete or m.is_repair):
            return reply(ReplicateReply(False, 0))

        def on_disk() -> None:
            if m.is_repair:
                replica.state.replace_ranges(m.ranges, m.items, m.seq if m.last else None, m.tombstone_floor)
            else:
                replica.state.apply(m.items, m.seq, m.tombstone_floor)
            if m.view_number != replica.view.number:
                self._push()
                return reply(ReplicateReply(False, 0))
            replica.complete = self._fed = m.last
            if not m.last:
                return reply(ReplicateReply(True, 0))
            self._push()
            self.wait_for_commit(m.seq, lambda ok: reply(ReplicateReply(ok, m.seq)))
            self._tell()

        if not m.last:
            replica.complete = False  # not only when it is on disk: a view that comes meanwhile must know
        facts = {"whole": b"1" if m.last else b"0"}
        if m.last:
            facts["seq"] = b"%d" % m.seq
        self._save(
            self._saved_as(m.items, m.ranges, facts, m.tombstone_floor if m.last else replica.state.tombstone_floor),
            on_disk,
        )
