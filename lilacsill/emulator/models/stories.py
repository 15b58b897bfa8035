"""Join the records that agents wrote of what they told each other, by the event that caused them.

A record is one line of JSON, as `[peers] records` writes it: `event`, `at_unix_us`, `agent`, `cause` ("3.17": caused by
the 17th event of agent 3) and the fields of its kind. Wall clocks order the entries of a story; between hosts that
order is as good as the clocks are.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

COMMON_KEYS = {"event", "at_unix_us", "agent", "cause", "name", "life"}
"""Keys of every record; the others are the facts of its kind."""
NO_CAUSE = ".0"
"""A cause that ends in this belongs to no story."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One record."""

    at_unix_us: int
    agent: int
    kind: str
    facts: dict[str, Any]


@dataclass(slots=True)
class Story:
    """All that followed from one event of one agent, the earliest entry first."""

    cause: str
    entries: list[Entry] = field(default_factory=list)

    @property
    def agents(self) -> set[int]:
        """The agents that wrote an entry."""
        return {entry.agent for entry in self.entries}

    @property
    def began_unix_us(self) -> int:
        """The time of the earliest entry."""
        return self.entries[0].at_unix_us


def read(lines: Iterable[str], name: str) -> list[tuple[str, Entry]]:
    """Parse the records of one file into pairs of cause and entry.

    A last line that was cut off is left out.

    Args:
        lines: The file's lines.
        name: The file's name, for the error.

    Raises:
        ValueError: Another line is no record; the message names file and line.
    """
    found: list[tuple[str, Entry]] = []
    bad = 0
    for number, line in enumerate(lines, 1):
        if bad:
            raise ValueError(f"{name}: line {bad}: not a record of [peers]")
        try:
            found.append(_parse(line))
        except (ValueError, KeyError, TypeError):
            bad = number
    if bad and (not found or bad == 1):
        raise ValueError(f"{name}: line {bad}: not a record of [peers]")
    return found


def _parse(line: str) -> tuple[str, Entry]:
    record = json.loads(line)
    facts = {key: value for key, value in record.items() if key not in COMMON_KEYS}
    entry = Entry(int(record["at_unix_us"]), int(record["agent"]), str(record["event"]), facts)
    return str(record["cause"]), entry


def join(entries: Iterable[tuple[str, Entry]]) -> list[Story]:
    """Group entries into stories, in the order of their beginnings."""
    stories: dict[str, Story] = {}
    for cause, entry in entries:
        if not cause.endswith(NO_CAUSE):
            stories.setdefault(cause, Story(cause)).entries.append(entry)
    for story in stories.values():
        story.entries.sort(key=lambda entry: (entry.at_unix_us, entry.agent))
    return sorted(stories.values(), key=lambda story: story.began_unix_us)


def rows(stories: Iterable[Story]) -> list[dict[str, Any]]:
    """Return the stories as `fleet --json` prints them."""
    return [
        {
            "cause": story.cause,
            "began_unix_us": story.began_unix_us,
            "agents": sorted(story.agents),
            "entries": [
                {
                    "after_us": entry.at_unix_us - story.began_unix_us,
                    "agent": entry.agent,
                    "event": entry.kind,
                    **entry.facts,
                }
                for entry in story.entries
            ],
        }
        for story in stories
    ]


def table(stories: Sequence[Story], top: int) -> str:
    """Format the `top` stories with the largest number of agents for people; equal entries share one line."""
    widest = sorted(stories, key=lambda story: -len(story.agents))[:top]
    lines = [f"{len(stories)} stories; the {len(widest)} that most agents have a part in, by their beginning"]
    began = min((story.began_unix_us for story in widest), default=0)
    for story in sorted(widest, key=lambda story: story.began_unix_us):
        after_s = (story.began_unix_us - began) / 1e6
        lines.append(f"\nstory {story.cause}, {after_s:.3f} s, {len(story.agents)} agents")
        lines += _entry_lines(story)
    return "\n".join(lines)


def _entry_lines(story: Story) -> list[str]:
    alike: defaultdict[tuple[str, str], list[Entry]] = defaultdict(list)
    for entry in story.entries:
        facts = ", ".join(f"{key} {value}" for key, value in entry.facts.items())
        alike[entry.kind, facts].append(entry)
    lines = []
    for (kind, facts), entries in alike.items():
        first, last = entries[0], entries[-1]
        after_s = (first.at_unix_us - story.began_unix_us) / 1e6
        if len(entries) == 1:
            agents = f"agent {first.agent}"
        else:
            last_s = (last.at_unix_us - story.began_unix_us) / 1e6
            agents = f"{len(entries)} agents, the last, {last.agent}, at +{last_s:.3f} s"
        lines.append(f"  +{after_s:8.3f} s  {kind:<12} {facts}; {agents}")
    return lines
