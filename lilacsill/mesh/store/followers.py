"""Serves registries, which follow the configuration by long polls. No I/O.

The tail answers with the changes that the follower lacks and with their freshness, and only while it holds a read
lease. Other members forward the request and the answer. The time that this takes makes the answer older for the
follower, since the freshness covers only the time for which the tail itself held the request.

Followers do not receive the records of operations and are not woken by them: the sequence number that they compare is
that of the newest change of the configuration (`ConfigState.config_seq`).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from lilacsill.mesh.runtime.freshness import NO_PROOF, freshness_of_reply
from lilacsill.mesh.runtime.messages import ConfigUpdate, Follow, FollowReply, Item, Message

from .accepted_changes import without_history
from .chain import Chain
from .membership import Membership
from .replica import Replica

# In one answer: a larger one takes so long on a slow link that the follower repeats its request before the answer has
# arrived. The follower then requests the rest at once, with the sequence number up to which it has all changes.
MAX_UPDATE_BYTES = 64 * 1024
ITEM_OVERHEAD_BYTES = 40  # of one item, in addition to its body
MAX_HOPS = 2
FORWARD_SLACK_US = 300_000  # time-out of a forwarded poll, in addition to its wait time
US_PER_MS = 1000

Replier = Callable[[Message], None]


class Poll(msgspec.Struct, eq=False, frozen=True):
    """A long poll that waits for changes."""

    request: Follow
    reply: Replier
    received_at_us: int


class Followers:
    """The followers that poll one member."""

    def __init__(self, replica: Replica, chain: Chain, membership: Membership) -> None:
        self._replica, self._environment = replica, replica.environment
        self._chain, self._membership = chain, membership
        self._polls: list[Poll] = []
        replica.view_listeners.append(self._on_view)

    def handle_follow(self, request: Follow, reply: Replier) -> None:
        """Answer with the changes that the follower lacks, or wait for some; forward the request unless at the tail.

        A tail that is not synced, holds no lease, or is in a chain that is too short answers without an update.
        """
        if not self._replica.is_tail:
            self._forward(request, reply)
            return
        poll = Poll(request, reply, self._environment.now())
        if not self._may_answer() or self._replica.state.config_seq > request.seq:
            self._answer(poll)
            return
        self._polls.append(poll)
        self._environment.after(request.wait_ms * US_PER_MS, self._on_timeout, poll)

    def publish(self) -> None:
        """Answer the polls whose follower lacks changes that are committed now."""
        if not self._polls or not self._may_answer():
            return
        seq = self._replica.state.config_seq
        due = [poll for poll in self._polls if poll.request.seq < seq]
        self._polls = [poll for poll in self._polls if poll.request.seq >= seq]
        for poll in due:
            self._answer(poll)

    def _may_answer(self) -> bool:
        replica = self._replica
        is_committed = self._chain.synced and not replica.has_too_few_copies
        return replica.is_tail and is_committed and self._membership.holds_lease()

    def _answer(self, poll: Poll) -> None:
        if not self._may_answer():
            poll.reply(self._no_update())
            return
        state, now = self._replica.state, self._environment.now()
        seq = state.config_seq
        changes = state.config_items_since(poll.request.seq) if seq > poll.request.seq else []
        batch = _first_batch(changes)
        if len(batch) < len(changes):
            update = ConfigUpdate(batch[-1].seq, without_history(batch), NO_PROOF)
        else:
            freshness = freshness_of_reply(now, poll.received_at_us, now)
            update = ConfigUpdate(seq, without_history(changes), freshness)
        poll.reply(FollowReply(update, self._membership.peers()))

    def _no_update(self) -> FollowReply:
        return FollowReply(None, self._membership.peers())

    def _on_timeout(self, poll: Poll) -> None:
        if poll in self._polls:
            self._polls.remove(poll)
            self._answer(poll)

    def _on_view(self) -> None:
        polls, self._polls = self._polls, []
        for poll in polls:
            poll.reply(self._no_update())

    # At members other than the tail

    def _forward(self, request: Follow, reply: Replier) -> None:
        tail = self._replica.view.chain[-1:]
        if request.hops >= MAX_HOPS or not tail:
            reply(self._no_update())
            return
        forwarded = msgspec.structs.replace(request, hops=request.hops + 1)
        timeout_us = request.wait_ms * US_PER_MS + FORWARD_SLACK_US
        self._environment.ask(tail[0].address, forwarded, timeout_us, partial(self._on_forwarded, reply))

    def _on_forwarded(self, reply: Replier, answer: Message | None) -> None:
        reply(answer if isinstance(answer, FollowReply) else self._no_update())


def _first_batch(changes: list[Item]) -> list[Item]:
    """Return the first changes, in order, up to `MAX_UPDATE_BYTES`, but at least one if there are any."""
    size = 0
    for index, item in enumerate(changes):
        size += ITEM_OVERHEAD_BYTES + len(item.body or b"")
        if size > MAX_UPDATE_BYTES and index:
            return changes[:index]
    return changes
