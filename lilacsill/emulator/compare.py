"""Format two results of runs side by side."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from .result import FORMAT
from .scenario_file import ScenarioError


def read(path: str) -> dict[str, Any]:
    """Read a result of `run --json`.

    Raises:
        ScenarioError: The file is no such result.
    """
    try:
        result = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    if not isinstance(result, dict) or result.get("format") != FORMAT:
        raise ScenarioError(f"{path}: no result of `run --json` in format {FORMAT}")
    return result


def compare(first_path: str, second_path: str) -> str:
    """Format the figures of both results and the change from the first to the second.

    Raises:
        ScenarioError: One of the files is no result.
    """
    first, second = read(first_path), read(second_path)
    rows = [f"{'':<32} {Path(first_path).name:>14} {Path(second_path).name:>14} {'change':>9}"]

    def add(name: str, before: float, after: float, digits: int = 3) -> None:
        rows.append(f"{name:<32} {before:>14.{digits}f} {after:>14.{digits}f} {after - before:>+9.{digits}f}")

    add("service", first["service"], second["service"])
    add("worst 10 s", first["worst_10s"], second["worst_10s"])
    for group in ("by_class", "by_tenant"):
        for name in sorted(set(first[group]) & set(second[group])):
            add(name, first[group][name], second[group][name])
    for name in first["latency_ms"]:
        add(f"latency {name}, ms", first["latency_ms"][name], second["latency_ms"][name], 1)
    add("attempts a request", first["attempts_per_request"], second["attempts_per_request"])
    for name in first["rules"]:
        add(f"rule {name} broken", first["rules"][name], second["rules"][name], 0)
    if (first["scenario"], first["seed"]) != (second["scenario"], second["seed"]):
        rows.append(
            f"different days: {first['scenario']} seed {first['seed']}, {second['scenario']} seed {second['seed']}"
        )
    return "\n".join(rows)
