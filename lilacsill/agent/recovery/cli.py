"""`python -m lilacsill recovery`: what one agent began with and why, asked at its operators' door."""

from __future__ import annotations

from typing import Any

from ..admin.client import build_parser, print_responses

EXAMPLES = """examples:
  python -m lilacsill recovery 127.0.0.1:12000
  python -m lilacsill recovery 127.0.0.1:12000 --json | jq .phase

Exit status: 0, or 1 if the door does not answer or nothing is kept between starts there, 2 for words that are off."""


def main(argv: list[str]) -> int:
    words = build_parser(
        "recovery", "What an agent trusted of what it knew before its start, and how far its return is.", EXAMPLES
    )
    return print_responses(words.parse_args(argv), ["recovery"], table)


def table(told: dict[str, Any]) -> str:
    """For people."""
    loaded, saves = told["loaded"], told["saves"]
    age = "unknown" if loaded["age_s"] is None else f"{loaded['age_s']} s"
    lines = [
        f"{told['phase']} for {told['phase_s']} s, life {told['life']}",
        f"began with generation {loaded['generation']}, {age} old"
        if loaded["used"]
        else "began with nothing of its own",
    ]
    lines += [f"  generation {x['generation']} left aside: {x['why']}" for x in loaded["left_aside"]]
    lines.append(
        f"list: {told['list']['backends']} backends, revision {told['list']['revision']}, from the "
        f"{told['list']['source']}"
    )
    lines.append(
        f"pace: {told['pace']['pace_ms']} ms, weighs as {told['pace']['answers']} answers"
        if told["pace"]["answers"]
        else "pace: learned anew"
    )
    if told["out"]:
        lines.append(f"out by operators: {', '.join(told['out'])}")
    lines += [f"  {x['what']}: {x['why']}" for x in told["why"]]
    last = "not yet" if saves["last_s"] is None else f"{saves['last_s']} s ago"
    lines.append(f"saved {last} in {saves['folder']}" + (f"; FAILS: {saves['failed']}" if saves["failed"] else ""))
    return "\n".join(lines)
