"""Runs the agent with a sampler: every so many milliseconds of its CPU the stack is booked to a part of the agent.

``python -m benchmarks.sampled OUT`` is ``python -m lilacsill`` and leaves the counts as JSON in OUT at its end.
"""

from __future__ import annotations

import json
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

EVERY_S = 0.001  # of CPU
ROOT = str(Path(__file__).resolve().parent.parent)

# The part by the innermost frame of the project; longest prefix first. What runs under none is the event loop's.
PARTS = {
    "lilacsill/balancing/logic": "decide",
    "lilacsill/balancing": "decide",
    "lilacsill/http1/message": "parse and build",
    "lilacsill/agent/inbound/validation": "validate",
    "lilacsill/agent/admission": "admit",
    "lilacsill/agent/inbound/accept": "accept",
    "lilacsill/agent/inbound": "client connections",
    "lilacsill/agent/outbound/pool": "pool and connect",
    "lilacsill/agent/outbound": "attempts and probes",
    "lilacsill/agent/agent": "carry out",
    "lilacsill/net": "streams",
    "lilacsill/http1": "streams",
    "lilacsill/timers": "timers",
    "lilacsill/clock": "timers",
}


def part_of(path: str) -> str | None:
    """The part that a file of the project belongs to; None for any other file."""
    if not path.startswith(ROOT):
        return None
    inner = path[len(ROOT) + 1 :]
    return next((PARTS[p] for p in sorted(PARTS, key=len, reverse=True) if inner.startswith(p)), None)


class Sampler:
    """Counts by part, and by the innermost function, whoever's it is."""

    def __init__(self) -> None:
        self.parts: Counter[str] = Counter()
        self.functions: Counter[str] = Counter()

    def __call__(self, number: int, frame: FrameType | None) -> None:
        if frame is not None:
            code = frame.f_code
            self.functions[f"{Path(code.co_filename).name}:{code.co_name}"] += 1
        while frame is not None:
            part = part_of(frame.f_code.co_filename)
            if part is not None:
                self.parts[part] += 1
                return
            frame = frame.f_back
        self.parts["event loop"] += 1


def main(out: str) -> int:
    from lilacsill.__main__ import main as agent

    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler)
    signal.siginterrupt(signal.SIGPROF, False)
    signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)
    try:
        return agent([])
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        Path(out).write_text(json.dumps({"parts": dict(sampler.parts), "functions": dict(sampler.functions)}))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
