"""Those who follow the configuration: each gets what it lacks from the tail, with the age of that statement. No I/O.

The tail speaks only while it holds a read lease; another member passes question and answer on. What that takes counts
as age at whoever asked, for the answer tells how long the tail held the question, and no more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lilacsill.mesh.runtime.freshness import told
from lilacsill.mesh.runtime.messages import ConfigUpdate, Follow, FollowReply, Message

from .accepted_changes import for_followers
from .chain import Chain
from .membership import Membership
from .replica import Replica

HOPS = 2
RELAY_SLACK_US = 300_000  # beyond the time that the question may wait

Replier = Callable[[Message], None]


@dataclass(slots=True, eq=False)
class Follower:
    """A question that waits for news."""

    question: Follow
    reply: Replier
    asked_at: int


class Followers:
    """One member's."""

    def __init__(self, replica: Replica, chain: Chain, membership: Membership) -> None:
        self._replica, self._environment = replica, replica.environment
        self._chain, self._membership = chain, membership
        self._waiting: list[Follower] = []
        chain.on_commit = self._committed
        replica.on_view.append(self._new_view)

    def follow(self, m: Follow, reply: Replier) -> None:
        """At once if there is news or this member may not speak; else when there is some, or the wait is over."""
        now = self._environment.now()
        if not self._replica.is_tail:
            return self._pass_on(m, reply)
        if not self._may_speak() or self._replica.state.seq > m.seq:
            return self._answer(Follower(m, reply, now))
        follower = Follower(m, reply, now)
        self._waiting.append(follower)
        self._environment.after(m.wait_ms * 1000, self._waited, follower)

    def _may_speak(self) -> bool:
        return self._replica.is_tail and self._chain.synced and self._membership.sure()

    def _answer(self, follower: Follower) -> None:
        """With what is in force at this moment, if this member may say so."""
        if not self._may_speak():
            return follower.reply(FollowReply(None, self._membership.peers()))
        state, now = self._replica.state, self._environment.now()
        lacking = state.items_since(follower.question.seq) if state.seq > follower.question.seq else []
        news = ConfigUpdate(state.seq, for_followers(lacking), told(now, follower.asked_at, now))
        follower.reply(FollowReply(news, self._membership.peers()))

    def _waited(self, follower: Follower) -> None:
        if follower in self._waiting:
            self._waiting.remove(follower)
            self._answer(follower)

    def _committed(self) -> None:
        if not self._waiting or not self._may_speak():
            return
        due = [f for f in self._waiting if f.question.seq < self._replica.state.seq]
        self._waiting = [f for f in self._waiting if f.question.seq >= self._replica.state.seq]
        for follower in due:
            self._answer(follower)

    def _new_view(self) -> None:
        waiting, self._waiting = self._waiting, []
        for follower in waiting:
            follower.reply(FollowReply(None, self._membership.peers()))

    # Elsewhere than at the tail

    def _pass_on(self, m: Follow, reply: Replier) -> None:
        to = self._replica.view.chain[-1:]
        if m.hops >= HOPS or not to:
            return reply(FollowReply(None, self._membership.peers()))
        self._environment.ask(
            to[0].address,
            Follow(m.seq, m.wait_ms, m.hops + 1),
            m.wait_ms * 1000 + RELAY_SLACK_US,
            partial(self._passed_on, reply),
        )

    def _passed_on(self, reply: Replier, m: Message | None) -> None:
        reply(m if isinstance(m, FollowReply) else FollowReply(None, self._membership.peers()))
