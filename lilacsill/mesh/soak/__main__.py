"""Play soaks from the command line: `python -m lilacsill.mesh.soak run --seed 7 --seconds 30`."""

from __future__ import annotations

import signal
import sys

import msgspec

from .soak_run import SoakReport, SoakRun, SoakSettings

EXIT_CLEAN, EXIT_VIOLATIONS, EXIT_INTERRUPTED = 0, 1, 2


def play(settings: SoakSettings) -> SoakReport:
    """Play one soak."""
    with SoakRun(settings) as soak:
        return soak.play()


def describe(report: SoakReport) -> str:
    """Return a report as text: a line on the soak, and one on each broken rule."""
    head = (
        f"seed {report.settings.seed}: {report.workload}, {report.closing}; {report.requests} requests, "
        f"{report.served} served, {report.refused} refused, {report.changes_acknowledged} changes acknowledged, "
        f"{len(report.violations)} violations"
    )
    if report.settings.shared:
        statuses = ", ".join(f"{count} x {status}" for status, count in report.statuses.items())
        head += f"; responses {statuses}; {report.operations_repeated} operations repeated"
    lines = [f"  {(v.at - report.started_at) / 1e6:.2f} s {v.rule}: {v.detail}" for v in report.violations]
    lines += [f"    delays of {attempt_id}: {delays}" for attempt_id, delays in report.delays.items()]
    return "\n".join([head, *lines, *(f"    log: {line}" for line in report.log_lines)])


class Commands:
    """Soaks of a mesh of real processes on loopback."""

    def run(
        self,
        seed: int,
        count: int = 1,
        seconds: float = 30.0,
        cores: int = 3,
        proxies: int = 6,
        clients: int = 24,
        shared: bool = False,
        json: bool = False,
    ) -> None:
        """Play COUNT soaks from SEED on; exit with status 1 if a rule was broken.

        --shared plays a deployment with tenants, keys, quotas and operations; --json prints reports as JSON.
        """
        has_violations = False
        for number in range(seed, seed + count):
            report = play(SoakSettings(number, seconds, cores, proxies, clients, shared))
            print(msgspec.json.encode(report).decode() if json else describe(report), flush=True)
            has_violations = has_violations or bool(report.violations)
        sys.exit(EXIT_VIOLATIONS if has_violations else EXIT_CLEAN)


def main() -> None:
    """Run the command that the arguments name."""
    import fire

    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(EXIT_INTERRUPTED))  # the processes end with it
    fire.Fire(Commands(), name="python -m lilacsill.mesh.soak")


if __name__ == "__main__":
    main()
