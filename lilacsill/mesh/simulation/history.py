"""What callers of a store saw, as typed events in the order of time: the only evidence that the judge has.

Operators send orders, readers ask for the whole configuration, followers hold what they were told is current. The
simulated day tells which troubles there were, as far as callers could know: when the core was unsettled, and who stood
on the smaller side of a cut. Knows nothing of the store and its messages. No I/O.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

ItemKey = tuple[str, str]  # kind and name
Value = tuple[int, bytes | None]  # version and content; None: the item is dropped
Values = dict[ItemKey, Value]

ROUTE, SERVICE, LIMITS = "route", "service", "limits"


class Nature(Enum):
    """What may become of an order."""

    PROPER = "proper"  # valid whatever else happens: acknowledged in the end, never refused
    RIVAL = "rival"  # valid, but another order has the same number with another content: one of them may be taken
    STALE = "stale"  # overtaken before it was sent: acknowledged or refused, without effect
    INVALID = "invalid"  # never acknowledged, never in force


class Order(msgspec.Struct, frozen=True):
    """One call of an operator, sent until it has a clear answer, always exactly as it was."""

    number: int
    nature: Nature
    values: Values


class Event(msgspec.Struct, frozen=True):
    """Base of all. Times are microseconds of the day."""

    at: int


class OrderSent(Event, frozen=True):
    """An operator sends an order to a machine."""

    order: Order
    attempt: int  # a number of its own
    to: str


class OrderAnswered(Event, frozen=True):
    """An answer that reached the operator."""

    order: Order
    attempt: int
    status: int


class ReadSent(Event, frozen=True):
    """A reader asks a machine for the whole configuration."""

    number: int
    to: str


class ReadAnswered(Event, frozen=True):
    """With the whole configuration."""

    number: int
    values: Values


class FollowSent(Event, frozen=True):
    """A follower asks a machine for what is new."""

    follower: str  # with its life
    number: int
    to: str


class Served(Event, frozen=True):
    """From now on that follower serves its values, with these laid over them, as current."""

    follower: str
    number: int  # of the question that was answered
    values: Values


class Unsettled(Event, frozen=True):
    """Trouble in the core or on its links, from `at` to `until`."""

    until: int


class Partition(Event, frozen=True):
    """These machines were cut off from the greater part of the core, both ways, from `at` to `until`."""

    until: int
    smaller: frozenset[str]


class History:
    """All that was seen in one day."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._numbers = 0

    def number(self) -> int:
        """A new number for an order, an attempt or a question."""
        self._numbers += 1
        return self._numbers

    def add(self, event: Event) -> None:
        """Append what was seen."""
        self.events.append(event)


def content(body: Any) -> bytes:
    """The same bytes for the same JSON, whatever the order of its fields."""
    return msgspec.json.encode(body, order="deterministic")


def values_of_call(call: dict[str, Any]) -> Values:
    """The items that an operator's call names."""
    values = values_of_layout(call.get("ReplaceItems", {}))
    drops = call.get("RemoveItems", {})
    for field, kind in (("Routing", ROUTE), ("ServiceList", SERVICE)):
        for dropped in drops.get(field, []):
            values[kind, dropped["Name"]] = (version_of(dropped), None)
    return values


def values_of_layout(layout: dict[str, Any]) -> Values:
    """The items of a configuration, laid out as in a call."""
    values: Values = {}
    for listener in layout.get("Listeners", []):
        for rule in listener["Policy"]:
            body = {"Host": listener["Host"], "Rule": rule}
            values[ROUTE, rule["Name"]] = (version_of(rule), content(body))
    for service in layout.get("Groups", []):
        values[SERVICE, service["Name"]] = (version_of(service), content(service))
    if layout.get("Limits"):
        values[LIMITS, ""] = (version_of(layout["Limits"]), content(layout["Limits"]))
    return values


def version_of(body: dict[str, Any]) -> int:
    """Return the number of an item's version."""
    return int(body["ConfigVersion"][1:])
