"""How true a replay is: an emulated afternoon is recorded by its agents, and their recordings are played again.

    python -m benchmarks.replay                     # bad_afternoon, seeds 1 to 3, about 5 minutes
    python -m benchmarks.replay --quick             # stalls, one seed, under 60 s
    python -m benchmarks.replay --scenario mass_death --seeds 4 5

The control is the recorded run itself. Exit status 0 only if service of every seed is within two points of it and the
verdicts on the rules are the same; the last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

BAR = 0.02


def emulator(*arguments: str) -> dict[str, Any]:
    """The result of one run as a program sees it. Raises RuntimeError for a run that says nothing."""
    done = subprocess.run(
        [sys.executable, "-m", "lilacsill.emulator", *arguments, "--json"], capture_output=True, text=True
    )
    if done.returncode not in (0, 1):
        raise RuntimeError(f"emulator {arguments[0]} ended with {done.returncode}: {done.stderr[-500:]}")
    result: dict[str, Any] = json.loads(done.stdout)
    return result


def one(scenario: str, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        print(f"{scenario}, seed {seed}: recorded", file=sys.stderr, flush=True)
        first = emulator("run", scenario, "--seed", str(seed), "--record", folder)
        print(f"{scenario}, seed {seed}: replayed", file=sys.stderr, flush=True)
        again = emulator("replay", *sorted(str(p) for p in Path(folder).glob("*.rec")), "--seed", str(seed))
    return {
        "seed": seed,
        "recorded": first["service"],
        "replayed": again["service"],
        "difference": round(again["service"] - first["service"], 4),
        "requests": first["requests"],
        "recorded_worst_10s": first["worst_10s"],
        "replayed_worst_10s": again["worst_10s"],
        "rules_alike": bool(first["breaches"]) == bool(again["breaches"]),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.replay", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one short scenario, under 60 s")
    parser.add_argument("--scenario", default="bad_afternoon")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--json", action="store_true", help="the JSON line alone")
    arguments = parser.parse_args()
    scenario, seeds = ("stalls", [1]) if arguments.quick else (arguments.scenario, arguments.seeds)
    rows = [one(scenario, seed) for seed in seeds]
    missed = [f"seed {r['seed']}: service {r['difference']:+.3f}" for r in rows if abs(r["difference"]) > BAR]
    missed += [f"seed {r['seed']}: the rules differ" for r in rows if not r["rules_alike"]]
    if not arguments.json:
        print(f"{scenario:<16} {'recorded':>9} {'replayed':>9} {'change':>8} {'worst 10 s':>11} {'replayed':>9}")
        for r in rows:
            print(
                f"seed {r['seed']:<11} {r['recorded']:>9.3f} {r['replayed']:>9.3f} {r['difference']:>+8.3f} "
                f"{r['recorded_worst_10s']:>11.3f} {r['replayed_worst_10s']:>9.3f}"
            )
        print("\n".join([f"MISSED: {m}" for m in missed] or ["all bars hold"]))
    print(
        json.dumps(
            {"benchmark": "replay", "quick": arguments.quick, "scenario": scenario, "runs": rows, "missed": missed}
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
