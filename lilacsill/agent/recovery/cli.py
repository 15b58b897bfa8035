"""The command `python -m lilacsill recovery`: what one agent started with and why, by its admin API."""

from __future__ import annotations

from typing import Any

from ..admin.client import build_parser, print_responses

EXAMPLES = """examples:
  python -m lilacsill recovery 127.0.0.1:12000
  python -m lilacsill recovery 127.0.0.1:12000 --json | jq .phase

Exit status: 0, or 1 if the door does not answer or nothing is kept between starts there, 2 for words that are off."""


def main(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    parser = build_parser(
        "recovery", "What an agent trusted of what it knew before its start, and how far its return is.", EXAMPLES
    )
    return print_responses(parser.parse_args(argv), ["recovery"], format_table)


def format_table(response: dict[str, Any]) -> str:
    """Return a response of the admin API as lines for people."""
    loaded, saves = response["loaded"], response["saves"]
    age = "unknown" if loaded["age_s"] is None else f"{loaded['age_s']} s"
    lines = [
        f"{response['phase']} for {response['phase_s']} s, life {response['life']}",
        f"began with generation {loaded['generation']}, {age} old"
        if loaded["used"]
        else "began with nothing of its own",
    ]
    lines += [f"  generation {skipped['generation']} left aside: {skipped['why']}" for skipped in loaded["left_aside"]]
    lines.append(
        f"list: {response['list']['backends']} backends, revision {response['list']['revision']}, from the "
        f"{response['list']['source']}"
    )
    lines.append(
        f"pace: {response['pace']['pace_ms']} ms, weighs as {response['pace']['answers']} answers"
        if response["pace"]["answers"]
        else "pace: learned anew"
    )
    if response["out"]:
        lines.append(f"out by operators: {', '.join(response['out'])}")
    lines += [f"  {reason['what']}: {reason['why']}" for reason in response["why"]]
    last = "not yet" if saves["last_s"] is None else f"{saves['last_s']} s ago"
    lines.append(f"saved {last} in {saves['folder']}" + (f"; FAILS: {saves['failed']}" if saves["failed"] else ""))
    return "\n".join(lines)
