"""What single steps of control cost by the size of the fleet, for the page on capacity (docs/CAPACITY.md).

    python -m benchmarks.capacity             up to the size that is planned for
    python -m benchmarks.capacity --quick     30 and 300 backends and items

Each step runs alone in this process, so that its processor time and memory are its own. What whole roles cost as a
fleet grows is measured by the users' bench (`fleetbench sweep`), not here.
"""

from __future__ import annotations

import argparse
import sys
import time

import msgspec
from rich.console import Console

from . import chain, costs, report
from .target import TARGET


class Form(msgspec.Struct, frozen=True):
    """The sizes of one run."""

    backends: tuple[int, ...]
    items: tuple[int, ...]


LONG = Form((30, 300, TARGET.backends), (30, 750, 6_000))
QUICK = Form((30, 300), (30, 300))


def run(form: Form) -> report.Outcome:
    """Measure every step at every size of the form."""
    began = time.monotonic()
    steps = costs.measure(form.backends, form.items) + chain.measure()
    return report.Outcome(TARGET, steps, report.slopes_of(steps), time.monotonic() - began)


def main() -> int:
    """Run, print tables to standard error and JSON to standard output."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="smaller sizes")
    outcome = run(QUICK if parser.parse_args().quick else LONG)
    report.show(outcome, Console(stderr=True, width=150))
    print(msgspec.json.encode(outcome).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
