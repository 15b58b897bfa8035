"""Registries that follow the configuration by long polls. No I/O.

The tail answers with the changes that the follower lacks and with evidence of how recent they are, and only while it
holds a read lease. Another member forwards the request and the answer. The time that this takes makes the answer older
in the follower's view, since the evidence covers only the time that the tail itself held the request.

Followers neither get the records of operations nor are woken by them: the sequence number that they compare is that of
the newest change of the configuration (`ConfigState.config_seq`).
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

# Of one answer: what takes long on a slow link is requested again before it has arrived. The rest follows at once: the
# follower asks again with the number up to which it has everything.
MAX_UPDATE_BYTES = 64 * 1024
ITEM_OVERHEAD_BYTES = 40  # of an item beyond its body
MAX_HOPS = 2
FORWARD_SLACK_US = 300_000  # beyond the time that the poll may wait
US_PER_MS = 1000

Replier = Callable[[Message], None]


class Poll(msgspec.Struct, eq=False, frozen=True):
    """A request that waits for changes."""

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
        """Answer at once with changes, or without any if this member may not answer; else wait for changes."""
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
        """Answer the polls that wait for changes that are committed now."""
        if not self._polls or not self._may_answer():
            return
        seq = self._replica.state.config_seq
        due = [poll for poll in self._polls if poll.request.seq < seq]
        self._polls = [poll for poll in self._polls if poll.request.seq >= seq]
        for poll in due:
            self._answer(poll)

    def _may_answer(self) -> bool:
        return self._replica.is_tail and self._chain.synced and self._membership.holds_lease()

    def _answer(self, poll: Poll) -> None:
        if not self._may_answer():
            poll.reply(self._no_update())
            return
        state, now = self._replica.state, self._environment.now()
        seq = state.config_seq
        changes = state.config_items_since(poll.request.seq) if seq > poll.request.seq else []
        part = _first_part(changes)
        if len(part) < len(changes):
            update = ConfigUpdate(part[-1].seq, without_history(part), NO_PROOF)
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


def _first_part(changes: list[Item]) -> list[Item]:
    """Return the first changes, in their order, up to a bounded size; one at least, if there are any."""
    size = 0
    for index, item in enumerate(changes):
        size += ITEM_OVERHEAD_BYTES + len(item.body or b"")
        if size > MAX_UPDATE_BYTES and index:
            return changes[:index]
    return changes
