"""Results of checks, and the table that shows them. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec


class Check(msgspec.Struct, frozen=True):
    """The result of one check."""

    area: str
    name: str
    passed: bool
    figures: str  # what was measured, or why the check failed


def format_table(checks: list[Check]) -> str:
    """Return one line per check: area, name, verdict and figures."""
    area_width = max((len(check.area) for check in checks), default=0)
    name_width = max((len(check.name) for check in checks), default=0)
    return "\n".join(
        f"{check.area:<{area_width}}  {check.name:<{name_width}}  {_verdict(check)}  {check.figures}"
        for check in checks
    )


def summarize(checks: list[Check], seed: int, seconds: float) -> dict[str, Any]:
    """Return the result of a run as a JSON object; `seconds` is how long it took."""
    return {
        "passed": has_passed(checks),
        "failed": [f"{check.area}: {check.name}" for check in checks if not check.passed],
        "seed": seed,
        "seconds": round(seconds, 1),
        "checks": [msgspec.to_builtins(check) for check in checks],
    }


def has_passed(checks: list[Check]) -> bool:
    """Return whether there were checks and all of them passed."""
    return bool(checks) and all(check.passed for check in checks)


def equality_check(area: str, name: str, expected: object, found: object, figures: str) -> Check:
    """Return a check that two values are equal; where they differ, the figures name the first difference."""
    difference = first_difference(expected, found)
    return Check(area, name, not difference, difference or figures)


def first_difference(expected: object, found: object, path: str = "$") -> str:
    """Return where two JSON values differ first; empty where they are equal."""
    if isinstance(expected, dict) and isinstance(found, dict):
        if expected.keys() != found.keys():
            return f"{path}: keys {sorted(expected.keys() ^ found.keys())} are on one side only"
        differences = (first_difference(expected[key], found[key], f"{path}.{key}") for key in expected)
        return next(filter(None, differences), "")
    if isinstance(expected, list) and isinstance(found, list):
        if len(expected) != len(found):
            return f"{path}: {len(expected)} items, then {len(found)}"
        pairs = enumerate(zip(expected, found, strict=True))
        differences = (first_difference(*pair, f"{path}[{index}]") for index, pair in pairs)
        return next(filter(None, differences), "")
    return "" if expected == found else f"{path}: {expected!r}, then {found!r}"


def _verdict(check: Check) -> str:
    return "passed" if check.passed else "failed"
