"""The command `python -m lilacsill peers`: shows from an agent's admin API what it knows of other agents."""

from __future__ import annotations

from typing import Any

from ..admin.client import build_parser, print_responses

EXAMPLES = """examples:
  python -m lilacsill peers 127.0.0.1:12000
  python -m lilacsill peers 127.0.0.1:12000 --explain
  python -m lilacsill peers 127.0.0.1:12000 --json | jq '.members[] | select(.state != "alive")'

Exit status: 0; 1 if the admin API does not answer or [peers] is not enabled there; 2 for invalid arguments."""


def main(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    parser = build_parser(
        "peers", "Show what an agent knows of other agents: members, budgets, health verdicts, counts.", EXAMPLES
    )
    parser.add_argument(
        "--explain", action="store_true", help="also show the newest events, with the ids of their causes"
    )
    arguments = parser.parse_args(argv)
    return print_responses(arguments, ["peers", "notes"] if arguments.explain else ["peers"], format_table)


def format_table(response: dict[str, Any]) -> str:
    """Format the merged responses of the admin API for the terminal."""
    counts = ", ".join(f"{name} {count}" for name, count in response["counts"].items())
    lines = [
        *_header_lines(response),
        "",
        *_member_lines(response["members"]),
        "",
        *_budget_lines(response["budgets"]),
        "",
        *_health_lines(response["judgements"]),
        "",
        f"counts of all agents: {counts}",
    ]
    if response["dropped"]:
        dropped = ", ".join(f"{reason} {count}" for reason, count in response["dropped"].items())
        lines.append(f"datagrams dropped: {dropped}")
    lines += [_event_line(event) for event in response.get("notes", ())]
    return "\n".join(lines)


def _header_lines(response: dict[str, Any]) -> list[str]:
    size = response["siblings"]
    return [
        f"agent {response['me']}, incarnation {response['life']}, refutations {response['incarnation']}, "
        f"health score {response['doubt']}"
        + (", ISOLATED: no datagram arrives from other agents" if response["cut_off"] else "")
        + (", DUPLICATE: another process uses this number" if response["doubled"] else "")
        + ("" if response["open"] else ", not in the fleet: its address is in use"),
        f"agents: {size['used']} in use, {size['named']} in peers, {size['told']} in the settings",
    ]


def _member_lines(members: list[dict[str, Any]]) -> list[str]:
    by_state: dict[str, list[dict[str, Any]]] = {}
    for member in members:
        by_state.setdefault(member["state"], []).append(member)
    totals = ", ".join(f"{len(group)} {state}" for state, group in sorted(by_state.items()))
    return [
        f"members: {totals}",
        *(
            f"  {member['number']:>5} {state:<8} since {_seconds(member['since_s'])}, "
            f"last heard {_seconds(member['heard_s'])} ago, cause {_cause(member['cause'])}"
            for state, group in sorted(by_state.items())
            if state != "alive"
            for member in group
        ),
    ]


def _budget_lines(budgets: dict[str, dict[str, float]]) -> list[str]:
    return [
        f"{'budget':<10}{'right':>8}{'lent':>8}{'held':>8}{'need':>8}   in shares of one agent",
        *(
            f"{name:<10}{budget['right']:>8.2f}{budget['lent']:>8.2f}{budget['held']:>8.2f}{budget['need']:>8.2f}"
            for name, budget in budgets.items()
        ),
    ]


def _health_lines(verdicts: list[dict[str, Any]]) -> list[str]:
    lines = [f"health verdicts from the reports of other agents: {len(verdicts)}"]
    for verdict in verdicts:
        consequence = "not used" if verdict["excluded"] else "sampled less often"
        witnesses = ", ".join(
            f"{witness['member']} (cause {_cause(witness['cause'])})" for witness in verdict["witnesses"]
        )
        lines.append(
            f"  {verdict['backend']}: {verdict['verdict']}, {consequence} for {verdict['until_s']} s, by {witnesses}"
        )
    return lines


def _event_line(event: dict[str, Any]) -> str:
    facts = " ".join(f"{name}={value}" for name, value in event.items() if name not in ("ago_s", "kind", "cause"))
    return f"{event['ago_s']:>9.3f} s ago  {event['kind']:<12} cause {_cause(event['cause'])}  {facts}"


def _seconds(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds} s"


def _cause(cause: list[int]) -> str:
    return f"{cause[0]}.{cause[1]}"
