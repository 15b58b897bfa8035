"""`python -m lilacsill peers`: what one agent knows of the others, asked at its operators' door."""

from __future__ import annotations

from typing import Any

from ..admin.client import build_parser, print_responses

EXAMPLES = """examples:
  python -m lilacsill peers 127.0.0.1:12000
  python -m lilacsill peers 127.0.0.1:12000 --explain
  python -m lilacsill peers 127.0.0.1:12000 --json | jq '.members[] | select(.state != "alive")'

Exit status: 0, or 1 if the door does not answer or agents tell each other nothing there, 2 for words that are off."""


def main(argv: list[str]) -> int:
    words = build_parser("peers", "What an agent knows of the others: members, budgets, judgements, counts.", EXAMPLES)
    words.add_argument("--explain", action="store_true", help="also what led to it, with the ids of the stories")
    arguments = words.parse_args(argv)
    return print_responses(arguments, ["peers", "notes"] if arguments.explain else ["peers"], table)


def table(told: dict[str, Any]) -> str:
    """For people."""
    sizes = told["siblings"]
    lines = [
        f"agent {told['me']}, life {told['life']}.{told['incarnation']}, doubt {told['doubt']}"
        + (", CUT OFF: nobody is heard" if told["cut_off"] else "")
        + (", ANOTHER PROCESS HAS THIS NUMBER" if told["doubled"] else "")
        + ("" if told["open"] else ", takes no part: its address is taken"),
        f"siblings: {sizes['used']} used, {sizes['named']} in peers, {sizes['told']} by the settings",
        "",
    ]
    by_state: dict[str, list[dict[str, Any]]] = {}
    for m in told["members"]:
        by_state.setdefault(m["state"], []).append(m)
    lines.append("members: " + ", ".join(f"{len(ms)} {state}" for state, ms in sorted(by_state.items())))
    for state, ms in sorted(by_state.items()):
        if state != "alive":
            lines += [
                f"  {m['number']:>5} {state:<8} since {_s(m['since_s'])}, heard {_s(m['heard_s'])} ago, "
                f"story {_id(m['cause'])}"
                for m in ms
            ]
    lines += ["", f"{'budget':<10}{'right':>8}{'lent':>8}{'held':>8}{'need':>8}   in parts of an agent"]
    lines += [
        f"{name:<10}{b['right']:>8.2f}{b['lent']:>8.2f}{b['held']:>8.2f}{b['need']:>8.2f}"
        for name, b in told["budgets"].items()
    ]
    lines += ["", f"judgements of others that count: {len(told['judgements'])}"]
    lines += [
        f"  {j['backend']}: {j['verdict']}, {'left out' if j['excluded'] else 'looked at with care'} for "
        f"{j['until_s']} s, by " + ", ".join(f"{w['member']} (story {_id(w['cause'])})" for w in j["witnesses"])
        for j in told["judgements"]
    ]
    lines += ["", "counts of all agents: " + ", ".join(f"{k} {v}" for k, v in told["counts"].items())]
    if told["dropped"]:
        lines.append("datagrams not taken: " + ", ".join(f"{k} {v}" for k, v in told["dropped"].items()))
    for n in told.get("notes", ()):
        facts = " ".join(f"{k}={v}" for k, v in n.items() if k not in ("ago_s", "kind", "cause"))
        lines.append(f"{n['ago_s']:>9.3f} s ago  {n['kind']:<12} story {_id(n['cause'])}  {facts}")
    return "\n".join(lines)


def _s(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds} s"


def _id(cause: list[int]) -> str:
    return f"{cause[0]}.{cause[1]}"
