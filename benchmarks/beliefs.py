"""What the decision module believes, against an earlier build, over scripts of the lab in virtual time.

    python -m benchmarks.beliefs                  ten seeds, about two minutes
    python -m benchmarks.beliefs --quick          three seeds, under 60 s
    python -m benchmarks.beliefs --control 4917674 --scripts cold_rush,pause

A table, then one JSON line. Status 0 if the bars hold, 1 if one does not, 2 if the control cannot be read. The bars:
nobody is refused beside idle servers for more than 100 ms in all; a crashed server draws no more work than under the
control; service under no script is more than 0.01 lower; the first second of cold_rush refuses at most a third of what
the control refuses.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from lilacsill.emulator.lab.module import ModuleError, at_commit, here
from lilacsill.emulator.lab.scripts import SCRIPTS

ROOT = Path(__file__).parent.parent
CONTROL = "be0a965"  # before evidence had a date
IDLE_MS, WORSE, FIRST_SECOND = 100, 0.01, 1 / 3


@dataclass(frozen=True)
class Figures:
    """One play, or the means of several."""

    service: float  # share of first tries served within the aim
    refused: float  # in all
    first_second: float  # refused in the first second
    idle_ms: float  # in which a request was refused beside idle servers; the worst play
    drawn: float  # attempts meant for s0
    probes: float


def play(script: str, seed: int, control: str | None, folder: str) -> Figures:
    module = here() if control is None else at_commit(control, ROOT, Path(folder))
    w = SCRIPTS[script].play(module, seed)
    drawn = w.servers["s0"].selected if "s0" in w.servers else 0
    return Figures(
        w.service(), w.refused(), w.refused(0, 1), 10.0 * len(w.idle_refused), drawn, sum(a.probes for a in w.agents)
    )


def mean(plays: list[Figures]) -> Figures:
    n = len(plays)
    return Figures(
        sum(p.service for p in plays) / n,
        sum(p.refused for p in plays) / n,
        sum(p.first_second for p in plays) / n,
        max(p.idle_ms for p in plays),
        sum(p.drawn for p in plays) / n,
        sum(p.probes for p in plays) / n,
    )


def misses(script: str, new: Figures, old: Figures) -> list[str]:
    """The bars that do not hold, each with its figures."""
    found = []
    if SCRIPTS[script].checks_idle_refusals and new.idle_ms > IDLE_MS:
        found.append(f"{script}: refused beside idle servers for {new.idle_ms:.0f} ms, bar {IDLE_MS}")
    if new.service < old.service - WORSE:
        found.append(f"{script}: service {new.service:.3f}, control {old.service:.3f}")
    if script == "crashed" and new.drawn > old.drawn:
        found.append(f"{script}: the crashed server drew {new.drawn:.1f}, control {old.drawn:.1f}")
    if script == "cold_rush" and new.first_second > FIRST_SECOND * old.first_second:
        found.append(
            f"{script}: {new.first_second:.0f} refused in the first second, control {old.first_second:.0f}, bar a third"
        )
    return found


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.beliefs", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="three seeds in place of ten")
    parser.add_argument("--control", default=CONTROL, metavar="COMMIT", help="the build to compare with")
    parser.add_argument("--scripts", default=",".join(SCRIPTS), help="names, separated by commas")
    parser.add_argument("--jobs", type=int, default=4, help="processes (4)")
    arguments = parser.parse_args(argv)
    names = arguments.scripts.split(",")
    unknown = [n for n in names if n not in SCRIPTS]
    if unknown:
        parser.error(f"--scripts {unknown[0]}: there are {', '.join(SCRIPTS)}")
    seeds = 3 if arguments.quick else 10
    rows: dict[str, tuple[Figures, Figures]] = {}
    with tempfile.TemporaryDirectory(prefix="beliefs-") as folder, ProcessPoolExecutor(arguments.jobs) as pool:
        try:
            at_commit(arguments.control, ROOT, Path(folder))
        except ModuleError as e:
            print(f"benchmarks.beliefs: {e}", file=sys.stderr)
            return 2
        jobs = {
            (n, c, s): pool.submit(play, n, s, c, folder)
            for n in names
            for c in (None, arguments.control)
            for s in range(seeds)
        }
        print(
            f"{'script':<16}{'service':>9}{'control':>9}{'refused':>9}{'control':>9}{'1st s':>7}{'control':>9}"
            f"{'idle ms':>9}{'control':>9}{'s0':>7}{'control':>9}"
        )
        for n in names:
            new, old = (mean([jobs[n, c, s].result() for s in range(seeds)]) for c in (None, arguments.control))
            rows[n] = (new, old)
            print(
                f"{n:<16}{new.service:>9.3f}{old.service:>9.3f}{new.refused:>9.0f}{old.refused:>9.0f}"
                f"{new.first_second:>7.0f}{old.first_second:>9.0f}{new.idle_ms:>9.0f}{old.idle_ms:>9.0f}"
                f"{new.drawn:>7.0f}{old.drawn:>9.0f}",
                flush=True,
            )
    missed = [m for n, (new, old) in rows.items() for m in misses(n, new, old)]
    for m in missed:
        print(f"MISSED {m}")
    print(
        json.dumps(
            {
                "benchmark": "beliefs",
                "seeds": seeds,
                "control": arguments.control,
                "missed": missed,
                "scripts": {n: {"new": asdict(a), "control": asdict(b)} for n, (a, b) in rows.items()},
            }
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
