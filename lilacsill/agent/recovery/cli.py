"""The command `python -m lilacsill recovery`: shows from an agent's admin API which saved state it restored."""

from __future__ import annotations

from typing import Any

from ..admin.client import build_parser, print_responses

EXAMPLES = """examples:
  python -m lilacsill recovery 127.0.0.1:12000
  python -m lilacsill recovery 127.0.0.1:12000 --json | jq .phase

Exit status: 0; 1 if the admin API does not answer or [recovery] is not enabled there; 2 for invalid arguments."""


def main(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    parser = build_parser(
        "recovery", "Show which saved state an agent restored at its start, and the phase of its recovery.", EXAMPLES
    )
    return print_responses(parser.parse_args(argv), ["recovery"], format_table)


def format_table(response: dict[str, Any]) -> str:
    """Format a response of the admin API for the terminal."""
    loaded, saves = response["loaded"], response["saves"]
    age = "unknown" if loaded["age_s"] is None else f"{loaded['age_s']} s"
    lines = [
        f"{response['phase']} for {response['phase_s']} s, incarnation {response['life']}",
        f"started with generation {loaded['generation']}, {age} old"
        if loaded["used"]
        else "started without a saved state",
    ]
    lines += [f"  generation {skipped['generation']} skipped: {skipped['why']}" for skipped in loaded["left_aside"]]
    lines.append(
        f"list: {response['list']['backends']} backends, revision {response['list']['revision']}, from the "
        f"{response['list']['source']}"
    )
    lines.append(
        f"service time: {response['pace']['pace_ms']} ms, counts as {response['pace']['answers']} answers"
        if response["pace"]["answers"]
        else "service time: not restored, measured anew"
    )
    if response["out"]:
        lines.append(f"disabled by operators: {', '.join(response['out'])}")
    lines += [f"  {reason['what']}: {reason['why']}" for reason in response["why"]]
    last = "none yet" if saves["last_s"] is None else f"{saves['last_s']} s ago"
    lines.append(
        f"last save: {last}, in {saves['folder']}" + (f"; SAVING FAILS: {saves['failed']}" if saves["failed"] else "")
    )
    return "\n".join(lines)
