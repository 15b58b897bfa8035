"""Tables of what was measured, and how each figure grows."""

from __future__ import annotations

from math import log2

import msgspec
from rich.console import Console
from rich.table import Table

from .costs import Step
from .target import Target


class Slope(msgspec.Struct):
    """How a figure grows from the smallest to the largest size."""

    what: str
    from_size: int
    to_size: int
    from_value: float
    to_value: float
    a_doubling: float  # it grows by so much: 1 not at all, 2 with the size, 4 with its square


class Outcome(msgspec.Struct):
    """All of a run."""

    target: Target
    steps: list[Step]
    slopes: list[Slope]
    seconds: float


def slope(what: str, points: list[tuple[int, float]]) -> Slope | None:
    """Return the growth between the smallest and the largest size; None without two sizes and figures above 0."""
    points = sorted(point for point in points if min(point) > 0)
    if len(points) < 2 or points[0][0] == points[-1][0]:
        return None
    (small, low), (large, high) = points[0], points[-1]
    return Slope(what, small, large, low, high, 2 ** (log2(high / low) / log2(large / small)))


def slopes_of(steps: list[Step]) -> list[Slope]:
    """Return the growth of every step that was measured at two sizes."""
    names = dict.fromkeys(step.name for step in steps)
    found = [slope(name, [(step.size, step.value) for step in steps if step.name == name]) for name in names]
    return [growth for growth in found if growth is not None]


def show(outcome: Outcome, console: Console) -> None:
    """Print the figures for people; all digits are in the JSON."""
    table = Table("step", "size", "one", title="single steps in one process (processor time)")
    for step in outcome.steps:
        table.add_row(step.name, f"{step.size:,}", f"{step.value:,.6g} {step.unit}")
    console.print(table)
    growths = Table("step", "from", "to", "a doubling")
    for growth in outcome.slopes:
        growths.add_row(growth.what, f"{growth.from_size:,}", f"{growth.to_size:,}", f"{growth.a_doubling:.2f}")
    console.print(growths)
    console.print(f"{outcome.seconds:.0f} s")
