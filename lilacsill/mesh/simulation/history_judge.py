"""Judges a history by the rules of the operators' pages: a register with versions for each item.

Each rule is a function of what callers saw. The judge stands on `history` alone, so that it shares no assumption with
the store. No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import msgspec

from .history import (
    Event,
    FollowSent,
    History,
    ItemKey,
    Nature,
    Order,
    OrderAnswered,
    OrderSent,
    Partition,
    ReadAnswered,
    ReadSent,
    Served,
    Unsettled,
    Values,
)

SECOND = 1_000_000
ACKNOWLEDGED = 200


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the rules, in microseconds."""

    acknowledge_us: int = 4 * SECOND  # AckWithinMs: a proper order waits no longer while the core is settled
    unsettled_us: int = 3 * SECOND  # InTouchMs: so long after a trouble the core counts as unsettled
    stale_us: int = 0  # so much older than its question may be what a follower is told is current


class Violation(msgspec.Struct, frozen=True):
    """One broken rule."""

    rule: str
    at: int
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at / SECOND:.3f} s: {self.text}"


class Floor:
    """The lowest versions that a question asked at some time may be answered with."""

    def __init__(self) -> None:
        self._raised: list[tuple[int, ItemKey, int]] = []
        self._now: dict[ItemKey, int] = {}

    def raise_to(self, at: int, key: ItemKey, version: int) -> None:
        """Record that nothing below this version may be answered from now on."""
        if version > self._now.get(key, -1):
            self._now[key] = version
            self._raised.append((at, key, version))

    def at(self, stale_us: int, now: int) -> dict[ItemKey, int]:
        """As of so long ago."""
        if not stale_us:
            return dict(self._now)
        return {key: version for at, key, version in self._raised if at <= now - stale_us}


class Judge:
    """Goes through a history once."""

    def __init__(self, history: History, bounds: Bounds = Bounds()) -> None:  # noqa: B008
        self._events, self._bounds = history.events, bounds
        self.violations: list[Violation] = []
        self._sent: dict[ItemKey, dict[int, set[bytes | None]]] = defaultdict(lambda: defaultdict(set))
        self._invalid: set[tuple[ItemKey, int, bytes | None]] = set()
        self._orders: dict[int, Order] = {}
        self._first: dict[int, int] = {}  # order: when it was sent first
        self._acknowledged: dict[int, int] = {}  # order: when first
        self._confirmed: dict[tuple[ItemKey, int], bytes | None] = {}  # the content that was acknowledged
        self._refused: dict[int, int] = {}  # order: when first
        self._attempts: dict[int, OrderSent] = {}
        self._seen: set[tuple[ItemKey, int, bytes | None]] = set()
        self._written = Floor()  # by acknowledgements, and by what was read and served as current
        self._floors: dict[int, dict[ItemKey, int]] = {}  # question: what its answer must have at least
        self._served: dict[str, Values] = defaultdict(dict)
        self._partitions = [e for e in history.events if isinstance(e, Partition)]

    def judge(self) -> list[Violation]:
        """All that is broken, in the order of time."""
        steps: dict[type[Event], Callable[..., None]] = {
            OrderSent: self._order_sent,
            OrderAnswered: self._order_answered,
            ReadSent: self._read_sent,
            ReadAnswered: self._read_answered,
            FollowSent: self._follow_sent,
            Served: self._is_served,
        }
        for event in self._events:
            step = steps.get(type(event))
            if step is not None:
                step(event)
        self._refused_in_force()
        self._acknowledged_in_time()
        return sorted(self.violations, key=lambda v: v.at)

    def _broken(self, rule: str, at: int, text: str) -> None:
        self.violations.append(Violation(rule, at, text))

    # Orders

    def _order_sent(self, event: OrderSent) -> None:
        order = event.order
        self._attempts[event.attempt] = event
        self._orders[order.number] = order
        self._first.setdefault(order.number, event.at)
        for key, (version, content) in order.values.items():
            if order.nature is Nature.INVALID:
                self._invalid.add((key, version, content))
            else:
                self._sent[key][version].add(content)

    def _order_answered(self, event: OrderAnswered) -> None:
        sent, order = self._attempts[event.attempt], event.order
        if event.status == ACKNOWLEDGED:
            self._is_acknowledged(event, sent)
        elif 400 <= event.status < 500 and event.status not in (408, 429):
            self._refused.setdefault(order.number, event.at)
            before = self._acknowledged.get(order.number)
            if before is not None and before <= sent.at:
                self._broken("taken, then refused", event.at, f"{_report(order)}: {event.status} by {sent.to}")
            elif order.nature is Nature.PROPER:
                self._broken("proper and refused", event.at, f"{_report(order)}: {event.status} by {sent.to}")

    def _is_acknowledged(self, event: OrderAnswered, sent: OrderSent) -> None:
        order = event.order
        if order.nature is Nature.INVALID:
            self._broken("invalid and acknowledged", event.at, f"{_report(order)} by {sent.to}")
            return
        for partition in self._partitions:
            if (
                sent.to in partition.smaller
                and partition.at <= self._first[order.number]
                and event.at < partition.until
            ):
                self._broken("confirmed on the smaller side", event.at, f"{_report(order)} by {sent.to}")
        self._acknowledged.setdefault(order.number, event.at)
        for key, (version, content) in order.values.items():
            if self._confirmed.setdefault((key, version), content) != content:
                self._broken("one number, two contents", event.at, f"{key[1]} r{version}, again by {sent.to}")
            self._written.raise_to(event.at, key, version)

    # Readers and followers

    def _read_sent(self, event: ReadSent) -> None:
        self._floors[event.number] = self._written.at(0, event.at)

    def _read_answered(self, event: ReadAnswered) -> None:
        floor = self._floors.pop(event.number)
        self._check(event.at, "read", floor, event.values)
        for key, (version, _) in event.values.items():
            self._written.raise_to(event.at, key, version)

    def _follow_sent(self, event: FollowSent) -> None:
        self._floors[event.number] = self._written.at(self._bounds.stale_us, event.at)

    def _is_served(self, event: Served) -> None:
        known = self._served[event.follower]
        for key, (version, _) in event.values.items():
            before = known.get(key)
            if before is not None and version < before[0]:
                self._broken("back", event.at, f"{event.follower}: {key[1]} r{before[0]} is r{version} again")
            else:
                known[key] = event.values[key]
        self._check(event.at, event.follower, self._floors.pop(event.number), known, event.values)
        for key, (version, _) in event.values.items():
            self._written.raise_to(event.at, key, version)

    def _check(
        self, at: int, who: str, floor: dict[ItemKey, int], values: Values, changed: Values | None = None
    ) -> None:
        """Values against what their question may be answered with. `changed`: only these are new."""
        for key, (version, content) in (values if changed is None else changed).items():
            self._check_content(at, who, key, version, content)
        for key, lowest in floor.items():
            known = values.get(key)
            if known is None:
                if not any(v >= lowest and None in contents for v, contents in self._sent[key].items()):
                    self._broken("missing", at, f"{who}: {key[1]}, r{lowest} was confirmed")
            elif known[0] < lowest:
                self._broken("old", at, f"{who}: {key[1]} r{known[0]}, r{lowest} was confirmed")

    def _check_content(self, at: int, who: str, key: ItemKey, version: int, content: bytes | None) -> None:
        self._seen.add((key, version, content))
        if content not in self._sent[key][version]:
            rule = "invalid and in force" if (key, version, content) in self._invalid else "never sent"
            self._broken(rule, at, f"{who}: {key[1]} r{version}")
        elif self._confirmed.get((key, version), content) != content:
            self._broken("not what was confirmed", at, f"{who}: {key[1]} r{version}")

    # When all is known

    def _refused_in_force(self) -> None:
        """A value is in force though all orders that bear it were refused and none was ever acknowledged."""
        bearers: dict[tuple[ItemKey, int, bytes | None], list[Order]] = defaultdict(list)
        for order in self._orders.values():
            for key, (version, content) in order.values.items():
                bearers[key, version, content].append(order)
        for seen in self._seen:
            orders = bearers.get(seen, [])
            if orders and all(o.number in self._refused and o.number not in self._acknowledged for o in orders):
                at = min(self._refused[o.number] for o in orders)
                self._broken("refused and in force", at, _report(orders[0]))

    def _acknowledged_in_time(self) -> None:
        """No proper order waits too long in one stretch in which the core is settled."""
        end = self._events[-1].at if self._events else 0
        unsettled = sorted(
            (e.at, e.until + self._bounds.unsettled_us) for e in self._events if isinstance(e, Unsettled)
        )
        for number, began in self._first.items():
            order = self._orders[number]
            if order.nature is Nature.PROPER:
                waited = _longest_calm(began, self._acknowledged.get(number, end), unsettled)
                if waited > self._bounds.acknowledge_us:
                    self._broken("not acknowledged in time", began, f"{_report(order)} waited {waited / SECOND:.1f} s")


def _longest_calm(begin: int, end: int, unsettled: list[tuple[int, int]]) -> int:
    """The longest stretch between the two that lies outside all of those."""
    longest = 0
    for at, until in unsettled:
        if at >= end:
            break
        longest = max(longest, at - begin)
        begin = max(begin, until)
    return max(longest, end - begin)


def _report(order: Order) -> str:
    items = ", ".join(f"{key[1]} r{v}{' dropped' if c is None else ''}" for key, (v, c) in order.values.items())
    return f"{order.nature.value} order {order.number} ({items[:160]})"


def judged(history: History, bounds: Bounds = Bounds()) -> list[Violation]:  # noqa: B008
    """What that history breaks."""
    return Judge(history, bounds).judge()
