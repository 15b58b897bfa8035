"""Planted defects of the chain: each takes one guard away. Patches of tests; they stand nowhere in the product."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from returns.result import Success

from lilacsill.mesh.runtime.messages import (
    Confirmed,
    Item,
    Member,
    Message,
    Promise,
    Replicate,
    ReplicateReply,
    Reply,
    View,
)
from lilacsill.mesh.store import node, successor, validation
from lilacsill.mesh.store.accepted_changes import ChangeKind
from lilacsill.mesh.store.calls import Call
from lilacsill.mesh.store.chain import Chain
from lilacsill.mesh.store.commit_waiters import CommitWaiters
from lilacsill.mesh.store.draft import Base, Draft
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.frontend import Frontend
from lilacsill.mesh.store.membership import Membership
from lilacsill.mesh.store.paxos import NO_BALLOT, Acceptor, Proposal
from lilacsill.mesh.store.predecessor import PredecessorLink
from lilacsill.mesh.store.replica import Replica
from lilacsill.mesh.store.state import ConfigState
from lilacsill.mesh.store.view_proposer import ViewProposer
from lilacsill.mesh.store.successor import SuccessorLink

Replier = Callable[[Message], None]
Patch = pytest.MonkeyPatch


def ack_before_sync(patch: Patch) -> None:
    def save(self: Chain, save: Save, done: Callable[[], None]) -> None:
        self._environment.save(save, lambda: None)
        done()

    patch.setattr(Chain, "_save", save)


def head_alone_acknowledges(patch: Patch) -> None:
    patch.setattr(Chain, "committed", property(lambda self: self._replica.state.seq))


def a_member_acknowledges_for_its_successors(patch: Patch) -> None:
    def handle_replicate(self: PredecessorLink, message: Replicate, reply: Replier) -> None:
        def at_once(answer: Message) -> None:
            reply(answer)

        if message.view_number == self._replica.view.number:
            at_once(ReplicateReply(True, message.seq))
        real(self, message, lambda answer: None)

    real = PredecessorLink.handle_replicate
    patch.setattr(PredecessorLink, "handle_replicate", handle_replicate)


def reads_need_no_majority(patch: Patch) -> None:
    def read(self: Frontend, message: object, reply: Replier) -> None:
        reply(Reply(200, self._replica.state.to_json()))

    patch.setattr(Frontend, "handle_read", read)


def every_member_confirms_every_view(patch: Patch) -> None:
    def confirm(self: Frontend, message: object, reply: Replier) -> None:
        reply(Confirmed(True))

    patch.setattr(Frontend, "handle_confirm", confirm)
    patch.setattr(Membership, "holds_lease", lambda self: self._replica.is_member)


def followers_need_no_lease(patch: Patch) -> None:
    patch.setattr(Membership, "holds_lease", lambda self: True)


def machines_with_new_disks_vote(patch: Patch) -> None:
    def same(self: Replica) -> int:
        return next((i for i, m in enumerate(self.view.members) if m.address == self.me.address), -1)

    def prepare(self: Acceptor, view: View, message: Any, reply: Replier) -> None:
        self.me = message.to
        real(self, view, message, reply)

    real = Acceptor.prepare
    patch.setattr(Acceptor, "prepare", prepare)
    patch.setattr(Replica, "is_member", property(lambda self: same(self) >= 0))
    patch.setattr(Replica, "position", property(same))
    patch.setattr(Replica, "is_head", property(lambda self: same(self) == 0))
    patch.setattr(
        Replica, "is_tail", property(lambda self: self.is_member and same(self) == len(self.view.members) - 1)
    )


def tombstones_are_not_kept(patch: Patch) -> None:
    def apply(self: ConfigState, items: Any, seq: int, floor: int = 0) -> None:
        real(self, items, seq, floor)
        self.items = {k: i for k, i in self.items.items() if i.body is not None}

    real = ConfigState.apply
    patch.setattr(ConfigState, "apply", apply)


def removed_members_stay_complete(patch: Patch) -> None:
    def adopt(self: Replica, view: View) -> bool:
        complete = self.complete
        update = real(self, view)
        self.complete = complete
        return update

    real = Replica.adopt
    patch.setattr(Replica, "adopt", adopt)


def calls_are_not_validated(patch: Patch) -> None:
    def apply_call(base: Base, call: Call) -> object:
        draft = Draft(base)
        for c in call:
            body = None if c.body is None else msgspec.json.encode(c.body)
            draft.put([Item(c.kind, c.name, c.version, draft.seq + 1, body)])
        return Success(draft)

    patch.setattr(validation, "apply_call", apply_call)


def every_member_accepts_calls(patch: Patch) -> None:
    def taken(self: Frontend, message: Any, reply: Replier) -> None:
        if not self._replica.is_head and self._replica.is_member:
            return reply(Reply(200, b"{}"))
        real(self, message, reply)

    real = Frontend.handle_patch
    patch.setattr(Frontend, "handle_patch", taken)


def new_members_become_the_head(patch: Patch) -> None:
    def next_view(self: ViewProposer) -> View | None:
        view = real(self)
        if view is None:
            return None
        old = [m for m in view.members if m in self._replica.view.members]
        return View(view.number, (*(m for m in view.members if m not in old), *old))

    real = ViewProposer.next_view
    patch.setattr(ViewProposer, "next_view", next_view)


def a_lost_disk_keeps_its_membership(patch: Patch) -> None:
    def recover(environment: Any, settings: node.StoreSettings, disk: node.DiskContents) -> Replica:
        replica = real(environment, settings, disk)
        if not disk.facts and not settings.fresh_start and settings.address in settings.seeds:
            replica.me = Member(settings.address, node.FIRST_INCARNATION)
            replica.acceptor.me = replica.me
            replica.view, replica.complete = View(0, node.initial_members(settings.seeds)), True
        return replica

    real = node.recover
    patch.setattr(node, "recover", recover)


def pending_calls_are_acknowledged_at_a_new_view(patch: Patch) -> None:
    def fail_all(self: CommitWaiters) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(True)

    patch.setattr(CommitWaiters, "fail_all", fail_all)


def older_versions_overwrite_newer_ones(patch: Patch) -> None:
    patch.setattr(validation, "classify_change", lambda current, version, content: ChangeKind.NEWER)


def votes_before_sync(patch: Patch) -> None:
    def persist(self: Acceptor, done: Callable[[], None]) -> None:
        self._storage.persist("accord", msgspec.msgpack.encode(self.state), lambda: None)
        done()

    patch.setattr(Acceptor, "_persist", persist)


def one_vote_is_a_majority(patch: Patch) -> None:
    patch.setattr(Proposal, "_majority", lambda self: 1)


def earlier_votes_are_ignored(patch: Patch) -> None:
    def on_promise(self: Proposal, message: Any) -> None:
        if isinstance(message, Promise):
            message = Promise(message.ok, message.ballot, None, None, message.view)
        real(self, message)

    real = Proposal._on_promise
    patch.setattr(Proposal, "_on_promise", on_promise)


def any_ballot_is_accepted(patch: Patch) -> None:
    def accept(self: Acceptor, view: View, message: Any, reply: Replier) -> None:
        self._state_of(message.view.number).promised = NO_BALLOT
        real(self, view, message, reply)

    real = Acceptor.accept
    patch.setattr(Acceptor, "accept", accept)


def batches_of_an_older_view_are_accepted(patch: Patch) -> None:
    def handle_replicate(self: PredecessorLink, message: Replicate, reply: Replier) -> None:
        real(self, msgspec.structs.replace(message, view_number=self._replica.view.number), reply)

    real = PredecessorLink.handle_replicate
    patch.setattr(PredecessorLink, "handle_replicate", handle_replicate)


def one_chunk_completes_a_repair(patch: Patch) -> None:
    def send_repair(self: SuccessorLink, epoch: int, ranges: list[int], seq: int) -> None:
        real(self, epoch, ranges[:1], seq)

    real = SuccessorLink._send_repair
    patch.setattr(SuccessorLink, "_send_repair", send_repair)


def digests_are_not_compared(patch: Patch) -> None:
    patch.setattr(successor, "differing_ranges", lambda mine, others: [])


def views_are_not_saved(patch: Patch) -> None:
    def view_facts(self: Replica) -> dict[str, bytes]:
        if "view" in self.environment.disk.facts:  # type: ignore[attr-defined]
            return {}
        return real(self)

    real = Replica.view_facts
    patch.setattr(Replica, "view_facts", view_facts)


def a_pending_view_blocks_nobody(patch: Patch) -> None:
    patch.setattr(Acceptor, "has_accepted_next", lambda self, view: False)


def the_head_appends_to_unsaved_changes(patch: Patch) -> None:
    def append_waiting_calls(self: Frontend) -> None:
        pending, self._chain.pending_saves = self._chain.pending_saves, 0
        real(self)
        self._chain.pending_saves += pending

    real = Frontend.append_waiting_calls
    patch.setattr(Frontend, "append_waiting_calls", append_waiting_calls)


DEFECTS = [
    ack_before_sync,
    head_alone_acknowledges,
    a_member_acknowledges_for_its_successors,
    reads_need_no_majority,
    every_member_confirms_every_view,
    followers_need_no_lease,
    machines_with_new_disks_vote,
    tombstones_are_not_kept,
    removed_members_stay_complete,
    calls_are_not_validated,
    every_member_accepts_calls,
    new_members_become_the_head,
    a_lost_disk_keeps_its_membership,
    pending_calls_are_acknowledged_at_a_new_view,
    older_versions_overwrite_newer_ones,
    one_chunk_completes_a_repair,
    digests_are_not_compared,
    views_are_not_saved,
    the_head_appends_to_unsaved_changes,
]
# Found where there is nothing but agreement (`lilacsill.mesh.simulation.paxos_contest`).
DEFECTS_OF_CONSENSUS = [
    votes_before_sync,
    one_vote_is_a_majority,
    earlier_votes_are_ignored,
    any_ballot_is_accepted,
]
