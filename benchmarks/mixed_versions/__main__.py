"""An old build and a new build side by side, by real processes on loopback: do they read each other's data?

    python -m benchmarks.mixed_versions --old /path/to/old/worktree [--seconds 35] [--seed N] [--only AREA]

The new build is the tree that this module is in. Of the old one only commands, files and the environment are used.
Areas:
    mesh       a soak of a shared deployment: half of the processes of each build, then rolling changes of all of them
               to the new build and back, under traffic, keyed writes and changes of the configuration
    hosted     the hosted service's database is written by one build, then read and continued by the other
    recovery   two agents, one of each build, share budgets as peers; each then starts from the other build with the
               state that was saved
    recording  recordings of one build's agents are explained by both, with equal results

Prints a table with a line per check, one JSON line last. Exit status: 0 if every check passed, 1 if one failed,
2 for arguments that cannot be used.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from .checks import Check, format_table, has_passed, summarize
from .hosted import check_hosted
from .mesh import check_mesh
from .recording import check_recording
from .recovery import check_recovery
from .source_trees import TreePair, bytecode_kept_in, make_pair

DEFAULT_SECONDS, MIN_SECONDS, MAX_SECONDS = 35.0, 10.0, 600.0  # two rolling changes take about 25 s
DEFAULT_SEED = 1
EXIT_PASSED, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
AREAS: dict[str, Callable[[TreePair, int, float], list[Check]]] = {
    "mesh": check_mesh,
    "hosted": check_hosted,
    "recovery": check_recovery,
    "recording": check_recording,
}


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the arguments; exit with status 2 where they cannot be used."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.mixed_versions",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--old", type=Path, required=True, metavar="FOLDER", help="worktree of the old build")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="of the mesh's traffic (%(default)s)")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED, help="of the mesh's traffic (%(default)s)")
    parser.add_argument("--only", choices=list(AREAS), help="play this area alone")
    parsed = parser.parse_args(arguments)
    if not MIN_SECONDS <= parsed.seconds <= MAX_SECONDS:
        parser.error(f"--seconds: from {MIN_SECONDS:.0f} to {MAX_SECONDS:.0f}")
    return parsed


def check_area(area: str, trees: TreePair, seed: int, seconds: float) -> list[Check]:
    """Play one area; one that breaks off counts as a failed check."""
    began = time.monotonic()
    print(f"{area} ...", file=sys.stderr, flush=True)
    try:
        checks = AREAS[area](trees, seed, seconds)
    except Exception as error:  # noqa: BLE001 -- whatever went wrong, the other areas are still worth playing
        checks = [Check(area, "the play ends", False, f"{type(error).__name__}: {error}")]
    print(f"{area}: {time.monotonic() - began:.1f} s", file=sys.stderr, flush=True)
    return checks


def main(arguments: list[str]) -> int:
    """Play all areas, or one, and print the results; return the exit status."""
    parsed = parse_arguments(arguments)
    try:
        trees = make_pair(parsed.old)
    except ValueError as error:
        print(f"--old: {error}", file=sys.stderr)
        return EXIT_USAGE
    began = time.monotonic()
    checks: list[Check] = []
    with tempfile.TemporaryDirectory(prefix="lilacsill.bytecode-") as folder, bytecode_kept_in(Path(folder)):
        for area in [parsed.only] if parsed.only else AREAS:
            checks += check_area(area, trees, parsed.seed, parsed.seconds)
    print(format_table(checks))
    print(json.dumps(summarize(checks, parsed.seed, time.monotonic() - began)))
    return EXIT_PASSED if has_passed(checks) else EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
