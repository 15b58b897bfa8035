"""Proxies watch each other: rendezvous hashing names three for each that watch it, without anybody's word. No I/O; the
clock and the ways from outside.

One that gives no answer is looked at by two others before anything is said; what they find, too, goes to the
registries as an accusation, and they believe two accusers. Who stood still itself, or finds most of its
neighbours silent, doubts itself and says nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

from lilacsill.mesh.runtime.hashing import rendezvous_select
from lilacsill.mesh.runtime.messages import IndirectPing, IndirectPingReply, Message, Ping

from .watch_list import WatchList

WATCHED, HELPERS = 3, 2
PERIOD_US, PING_US, LOOK_US = 500_000, 350_000, 500_000
STOOD_US = 200_000  # a round that is so late: this process stood still
DOUBT_US = 1_500_000


class Environment(Protocol):
    def now(self) -> int: ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object: ...

    def ask(
        self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]
    ) -> None: ...


class Neighbours:
    """One proxy's. `others`: addresses of the proxies on the directory, by node; another dict once they change."""

    def __init__(
        self, world: Environment, me: str, others: Callable[[], dict[str, str]], accuse: Callable[[], None]
    ) -> None:
        self._world, self._me, self._others, self._accuse = world, me, others, accuse
        self._round_at = world.now()
        self._doubt_until = 0
        self._asked: set[str] = set()
        self._silent: set[str] = set()  # in their last round
        self.accused: set[str] = set()
        self._seen: dict[str, str] | None = None  # the others as of the last look
        self._watch_list = WatchList(me, WATCHED)

    def start(self) -> None:
        self._world.after(PERIOD_US, self._round)

    def watched(self) -> list[str]:
        others = self._others()
        if others is not self._seen:
            self._seen = others
            self._watch_list.sync(others)
        return self._watch_list.watched

    def _round(self) -> None:
        now = self._world.now()
        if now - self._round_at > PERIOD_US + STOOD_US:
            self._doubt_until = now + DOUBT_US
        self._round_at = now
        self._world.after(PERIOD_US, self._round)
        others, watched = self._others(), self.watched()
        self._silent &= set(watched)
        self.accused &= set(watched)
        for node in watched:
            if node not in self._asked:
                self._asked.add(node)
                self._world.ask(others[node], Ping(), PING_US, partial(self._pinged, node))

    def _pinged(self, node: str, m: Message | None) -> None:
        self._asked.discard(node)
        if isinstance(m, IndirectPingReply):
            self._silent.discard(node)
            self.accused.discard(node)
            return
        self._silent.add(node)
        others = self._others()
        now = self._world.now()
        if now - self._round_at > PERIOD_US + STOOD_US:
            self._doubt_until = now + DOUBT_US  # the answer may be there, unread
        if self._doubts() or node not in others or node in self.accused:
            return
        # Each target has helpers of its own, so that the few that know of it are the same for all who ask.
        helpers = [h for h in rendezvous_select(node, others, HELPERS + 1) if h != self._me][:HELPERS]
        answers: list[bool | None] = []
        for helper in helpers:
            self._world.ask(
                others[helper], IndirectPing(others[node]), LOOK_US, partial(self._looked, node, answers, len(helpers))
            )

    def _looked(self, node: str, answers: list[bool | None], count: int, m: Message | None) -> None:
        answers.append(m.reachable if isinstance(m, IndirectPingReply) else None)
        # Nobody has seen it, and somebody has looked.
        if (
            len(answers) == count
            and True not in answers
            and False in answers
            and not self._doubts()
            and node in self._silent
        ):
            self.accused.add(node)
            self._accuse()

    def _doubts(self) -> bool:
        watched = self.watched()
        return self._world.now() < self._doubt_until or 2 * len(self._silent & set(watched)) > max(2, len(watched))

    def look(self, m: IndirectPing, reply: Callable[[Message], None]) -> None:
        """For another: does that one answer here?"""
        self._world.ask(
            m.address, Ping(), PING_US, lambda a: reply(IndirectPingReply(isinstance(a, IndirectPingReply)))
        )


def told(accused: Iterable[str], lives: dict[str, int]) -> list[tuple[str, int]]:
    """As registries are told: which life of whom."""
    return [(node, lives[node]) for node in sorted(accused) if node in lives]
