"""The command line of the emulator: ``python -m lilacsill.emulator run calm``."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Any

from . import plan_file, report, scenario_file
from .agents import AgentError
from .compare import compare
from .models import explained, fleet_counts, stories
from .models.plan import Plan
from .own_processes import RunError
from .result import table
from .run import play, serve
from .sockets.precise_timers import run_with_precise_timers

# Exit statuses; the last one follows SIGINT and SIGTERM.
RULES_KEPT, RULES_BROKEN, UNUSABLE, VOID, INTERRUPTED = 0, 1, 2, 3, 130
EXAMPLES = """examples:
  python -m lilacsill.emulator list
  python -m lilacsill.emulator run mass_death
  python -m lilacsill.emulator run bad_afternoon --report out.html --seed 7
  python -m lilacsill.emulator run my.toml --json > a.json
  python -m lilacsill.emulator serve
  python -m lilacsill.emulator run cold_rush --record runs && python -m lilacsill.emulator explain runs
  python -m lilacsill.emulator compare a.json b.json

Exit status: 0 if every rule was kept, 1 if one was broken, 2 for a scenario or file that cannot be used, 3 for a run
that says nothing of the agents (the emulator was too slow, or an agent ended)."""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m lilacsill.emulator",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        description="Rehearses an incident: agents, an emulated fleet, discovery and clients on loopback.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser(
        "run", help="play a scenario", epilog=EXAMPLES, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    run.add_argument("scenario", help="a name from `list`, or a path to a .toml file")
    run.add_argument("--seed", type=int, help="in place of the scenario's own")
    run.add_argument("--report", metavar="FILE", help="write an HTML page with plots")
    run.add_argument("--record", metavar="FOLDER", help="the agents record what they see there, for replay")
    run.add_argument("--json", action="store_true", help="the result as one JSON line, for programs")
    replay = commands.add_parser("replay", help="make a plan of recordings and play it")
    replay.add_argument("recording", nargs="+", help="one file of each agent; the older half FILE.1 is read with it")
    replay.add_argument("--seed", type=int, default=1)
    replay.add_argument("--report", metavar="FILE", help="write an HTML page with plots")
    replay.add_argument("--json", action="store_true", help="the result as one JSON line, for programs")
    explain = commands.add_parser("explain", help="why requests were refused in a run played with --record")
    explain.add_argument("folder", help="where --record wrote")
    explain.add_argument("--top", type=int, default=8, help="servers shown for each wave, worst first (8)")
    explain.add_argument("--json", action="store_true", help="one JSON line, for programs")
    fleet = commands.add_parser("fleet", help="what all agents of a recorded run did together, by second and backend")
    fleet.add_argument(
        "folder",
        help="where the recordings (*.rec) of the agents are, and their records of what they "
        "told each other (*.jsonl, [peers] records)",
    )
    fleet.add_argument("--top", type=int, default=20, help="backends shown, worst first, and stories (20)")
    fleet.add_argument("--json", action="store_true", help="one JSON line, for programs")
    check = commands.add_parser("check", help="check a scenario without playing it")
    check.add_argument("scenario")
    serve_command = commands.add_parser("serve", help="keep a fleet and one agent up, to try by hand")
    serve_command.add_argument("scenario", nargs="?", default="calm")
    commands.add_parser("list", help="the scenarios that come with the program")
    compare_command = commands.add_parser("compare", help="two results of `run --json` side by side")
    compare_command.add_argument("a")
    compare_command.add_argument("b")
    return parser


def _run(arguments: argparse.Namespace) -> int:
    if arguments.record and not Path(arguments.record).is_dir():
        raise scenario_file.ScenarioError(f"--record {arguments.record}: there is no such folder")
    plan = plan_file.read(arguments.scenario, arguments.seed)
    return _play(arguments, arguments.scenario, plan, Path(arguments.record) if arguments.record else None)


def _replay(arguments: argparse.Namespace) -> int:
    plan = plan_file.from_recordings(arguments.recording, arguments.seed)
    with tempfile.TemporaryDirectory(prefix="replay-") as folder:
        path = Path(folder) / f"replay{plan_file.SUFFIX}"
        plan_file.write(plan, path)
        return _play(arguments, str(path), plan, None)


def _explain(arguments: argparse.Namespace) -> int:
    waves = plan_file.explain_run(Path(arguments.folder))
    if arguments.json:
        print(json.dumps([asdict(wave) for wave in waves]))
    else:
        print(explained.table(waves, arguments.top))
    return RULES_KEPT


def _fleet(arguments: argparse.Namespace) -> int:
    folder = Path(arguments.folder)
    joined = plan_file.join_stories(folder)
    # Agents may have written the one without the other; a folder with neither is a mistake.
    counts = None if joined and not list(folder.glob("*.rec")) else plan_file.count_fleet(folder)
    if arguments.json:
        print(json.dumps({**(fleet_counts.rows(counts) if counts else {}), "stories": stories.rows(joined)}))
        return RULES_KEPT
    tables = [fleet_counts.table(counts, arguments.top)] if counts else []
    print("\n\n".join(tables + ([stories.table(joined, arguments.top)] if joined else [])))
    return RULES_KEPT


def _check(arguments: argparse.Namespace) -> int:
    scenario_file.load(arguments.scenario)
    print(f"{arguments.scenario}: ok")
    return RULES_KEPT


def _list(_arguments: argparse.Namespace) -> int:
    for name in scenario_file.names():
        print(f"{name:<20} {scenario_file.load(name).about}")
    return RULES_KEPT


def _compare(arguments: argparse.Namespace) -> int:
    print(compare(arguments.a, arguments.b))
    return RULES_KEPT


def _play(arguments: argparse.Namespace, path: str, plan: Plan, record: Path | None) -> int:
    if arguments.report and not Path(arguments.report).parent.is_dir():
        raise scenario_file.ScenarioError(f"--report {arguments.report}: its folder does not exist")

    async def play_and_print() -> int:
        result = await play(path, plan, lambda text: print(text, file=sys.stderr, flush=True), record)
        if arguments.report:
            Path(arguments.report).write_text(report.page(result))
        if arguments.json:
            print(json.dumps(result.as_json()))
        else:
            print(table(result))
            if arguments.report:
                print(f"report: {arguments.report}")
        if result.void:
            return VOID
        return RULES_BROKEN if result.breaches else RULES_KEPT

    return _run_until_signal(play_and_print())


def _serve(arguments: argparse.Namespace) -> int:
    scenario = scenario_file.load(arguments.scenario)

    async def serve_until_end() -> int:
        await serve(arguments.scenario, scenario, lambda text: print(text, flush=True))
        return RULES_KEPT

    return _run_until_signal(serve_until_end())


def _run_until_signal(work: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine; SIGINT and SIGTERM cancel it, and it ends what it has started."""

    async def run_cancellable() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await work

    try:
        return run_with_precise_timers(run_cancellable())
    except asyncio.CancelledError:
        print("stopped; all that was started has ended", file=sys.stderr)
        return INTERRUPTED


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "run": _run,
    "replay": _replay,
    "explain": _explain,
    "fleet": _fleet,
    "check": _check,
    "serve": _serve,
    "list": _list,
    "compare": _compare,
}


def main(argv: list[str] | None = None) -> int:
    """Execute a command and return the exit status.

    Args:
        argv: The arguments; None: those of the process.
    """
    arguments = _parser().parse_args(argv)
    try:
        return COMMANDS[arguments.command](arguments)
    except (scenario_file.ScenarioError, AgentError, RunError) as error:
        print(f"emulator: {error}", file=sys.stderr)
        return UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
