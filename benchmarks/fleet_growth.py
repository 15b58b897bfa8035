"""What a fleet's own agents do to it as they grow many, in virtual time, against an earlier build.

    python -m benchmarks.fleet_growth                  ten seeds
    python -m benchmarks.fleet_growth --quick          three seeds, under 60 s
    python -m benchmarks.fleet_growth --control fe59b38

Sixty servers, the same traffic from 10, 20, 40 and 80 agents in calm; then join, zone and herd with 40. A table, then
one JSON line. Status 0 if the bars hold, 1 if one does not, 2 if the control cannot be read. The bars: probes, connects
and list calls for the fleet grow by less than 1.2 times a doubling of the agents; service with 40 agents is at most
0.02 under that with 10; on no day is service under the control's, a server pushed over, or more sent to a cold one than
rule 4 lets be.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from lilacsill.emulator.lab.fleet import FLEETS, Counts, play
from lilacsill.emulator.lab.module import ModuleError, at_commit, here

ROOT = Path(__file__).parent.parent
CONTROL = "fe59b38"  # the first commit of the issue on fleet growth: its program is the one before
SIZES = (10, 20, 40, 80)
DOUBLING, SERVICE, WORSE = 1.2, 0.02, 0.01
FEW = 100  # of a count so small no ratio is taken


def run(name: str, seed: int, agents: int, control: str | None, folder: str) -> Counts:
    module = here() if control is None else at_commit(control, ROOT, Path(folder))
    return play(name, module, seed, agents)


def mean(plays: list[Counts]) -> dict[str, float]:
    """The means; of what must never happen, the worst."""
    rows = [msgspec.to_builtins(p) for p in plays]
    worst = {"cold_share", "fallen", "calls_in_a_second"}
    return {k: max(r[k] for r in rows) if k in worst else sum(r[k] for r in rows) / len(rows) for k in rows[0]}


def misses(sizes: dict[int, dict[str, float]], days: dict[str, tuple[dict[str, float], dict[str, float]]]) -> list[str]:
    """The bars that do not hold, each with its figures."""
    found = []
    for few, many in zip(SIZES, SIZES[1:], strict=False):
        for count in ("probes", "connects", "list_calls"):
            a, b = sizes[few][count], sizes[many][count]
            if b > DOUBLING * max(a, FEW):
                found.append(f"{count}: {a:.0f} with {few} agents, {b:.0f} with {many}, bar {DOUBLING} times")
    if sizes[40]["service"] < sizes[10]["service"] - SERVICE:
        found.append(f"service with 40 agents {sizes[40]['service']:.3f}, with 10 {sizes[10]['service']:.3f}")
    for name, (new, old) in days.items():
        if new["service"] < old["service"] - WORSE:
            found.append(f"{name}: service {new['service']:.3f}, control {old['service']:.3f}")
        if new["fallen"] or new["cold_share"] > 1.0:
            found.append(f"{name}: {new['fallen']:.0f} pushed over, {new['cold_share']:.2f} of what pushes one over")
    return found


def line(label: str, c: dict[str, float]) -> str:
    return (
        f"{label:<16}{c['service']:>9.3f}{c['refused']:>9.0f}{c['probes']:>8.0f}{c['connects']:>10.0f}"
        f"{c['list_calls']:>8.0f}{c['list_turned_away']:>8.0f}{c['list_lines']:>8.0f}{c['cold_share']:>7.2f}"
        f"{c['fallen']:>8.0f}"
    )


HEAD = (
    f"{'':<16}{'service':>9}{'refused':>9}{'probes':>8}{'connects':>10}{'lists':>8}{'turned':>8}{'lines':>8}"
    f"{'cold':>7}{'fallen':>8}"
)


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.fleet_growth",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--quick", action="store_true", help="three seeds in place of ten")
    parser.add_argument("--control", default=CONTROL, metavar="COMMIT", help="the build to compare with")
    parser.add_argument("--jobs", type=int, default=4, help="processes (4)")
    arguments = parser.parse_args(argv)
    seeds = 3 if arguments.quick else 10
    builds = {"new": None, "control": arguments.control}
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder, ProcessPoolExecutor(arguments.jobs) as pool:
        try:
            at_commit(arguments.control, ROOT, Path(folder))
        except ModuleError as e:
            print(f"benchmarks.fleet_growth: {e}", file=sys.stderr)
            return 2
        days = [n for n in FLEETS if n != "calm"]
        cases = [("calm", n) for n in SIZES] + [(d, 40) for d in days]
        jobs = {
            (case, b, s): pool.submit(run, case[0], s, case[1], commit, folder)
            for case in cases
            for b, commit in builds.items()
            for s in range(seeds)
        }
        rows: dict[tuple[tuple[str, int], str], dict[str, float]] = {}
        print(HEAD)
        for case in cases:
            for b in builds:
                rows[case, b] = mean([jobs[case, b, s].result() for s in range(seeds)])
                print(line(f"{case[0]} {case[1]} {b}", rows[case, b]), flush=True)
    missed = misses(
        {n: rows[("calm", n), "new"] for n in SIZES},
        {d: (rows[(d, 40), "new"], rows[(d, 40), "control"]) for d in days},
    )
    for m in missed:
        print(f"MISSED {m}")
    print(
        json.dumps(
            {
                "benchmark": "fleet_growth",
                "seeds": seeds,
                "control": arguments.control,
                "missed": missed,
                "rows": {f"{c[0]} {c[1]} {b}": r for (c, b), r in rows.items()},
            }
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
