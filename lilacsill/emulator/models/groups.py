"""Parse the groups of agents that a scenario names: by number, by zone, by share. The module does no I/O."""

from __future__ import annotations

from random import Random

ALLOWED = "`all`, numbers and ranges (`0-11,17`), `zone K`, `share X`, and of the other end `others`"


class GroupError(ValueError):
    """The text names no group; the message says what is allowed."""


def zone_of(number: int, agents: int, zones: int) -> int:
    """Return an agent's zone: neighbours in number share a zone, and the zones are as equal as possible."""
    return number * zones // agents


def members(text: str, agents: int, zones: int, rng: Random) -> tuple[int, ...]:
    """Return the numbers of a group's agents in ascending order.

    Args:
        text: What the scenario says.
        agents: The number of all agents.
        zones: The number of zones.
        rng: Draws the agents of a share; other groups draw nothing.

    Raises:
        GroupError: The text names no group.
    """
    parts = text.split()
    if parts == ["all"]:
        return tuple(range(agents))
    if len(parts) == 2 and parts[0] == "zone":
        zone = _number(parts[1], zones, "zone", text)
        return tuple(number for number in range(agents) if zone_of(number, agents, zones) == zone)
    if len(parts) == 2 and parts[0] == "share":
        share = _share(parts[1], text)
        return tuple(sorted(rng.sample(range(agents), max(1, round(share * agents)))))
    return _numbers(text, agents)


def _share(text: str, group: str) -> float:
    try:
        share = float(text)
    except ValueError:
        share = 0.0
    if not 0 < share <= 1:
        raise GroupError(f"{group!r}: expected a share above 0 and at most 1")
    return share


def _numbers(group: str, agents: int) -> tuple[int, ...]:
    found: set[int] = set()
    for part in group.split(","):
        low, dash, high = part.strip().partition("-")
        first = _number(low, agents, "agent", group)
        last = _number(high, agents, "agent", group) if dash else first
        if last < first:
            raise GroupError(f"{group!r}: {part.strip()} runs backwards")
        found.update(range(first, last + 1))
    return tuple(sorted(found))


def _number(text: str, below: int, what: str, group: str) -> int:
    # int() also accepts digits of other scripts, which are typing errors here.
    if not (text.isascii() and text.isdigit()):
        raise GroupError(f"{group!r} names no agents; allowed: {ALLOWED}")
    if int(text) >= below:
        raise GroupError(f"{group!r}: there is no {what} {text}, they are 0 to {below - 1}")
    return int(text)
