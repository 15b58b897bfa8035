"""Check the finished packages by stricter rules than the rest of the tree.

    python -m tools.finished

`[tool.lilacsill] finished` in pyproject.toml lists the packages and modules; the next one joins by a line. Two checks
run over them: ruff with the rules of tools/finished.toml, and the words of all identifiers against
tools/vocabulary.toml. The status is 1 where one of them fails, or where a path of the list does not exist.
"""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from tools.identifiers import Identifier, defined_identifiers, module_identifier, split_name

ROOT = Path(__file__).parent.parent
RULES = ROOT / "tools" / "finished.toml"
VOCABULARY = ROOT / "tools" / "vocabulary.toml"


class Vocabulary(NamedTuple):
    """What identifiers may not be made of."""

    parts: Mapping[str, str]
    """Words that no identifier contains, each with the term to use."""
    names: Mapping[str, str]
    """Words that are no identifier by themselves, each with the term to use."""
    exceptions: Mapping[str, str]
    """Identifiers that are allowed nevertheless, each with the reason."""


def read_vocabulary(path: Path) -> Vocabulary:
    """Read the list of words.

    Raises:
        ValueError: An exception has no reason, or is not needed.
    """
    tables = tomllib.loads(path.read_text())
    vocabulary = Vocabulary(tables["parts"], tables["names"], tables["exceptions"])
    for name, reason in vocabulary.exceptions.items():
        if not reason.strip():
            raise ValueError(f"{path.name}: the exception {name} has no reason")
        if not find_fault(Identifier(name, 1), vocabulary._replace(exceptions={})):
            raise ValueError(f"{path.name}: {name} is allowed without an exception")
    return vocabulary


def find_fault(identifier: Identifier, vocabulary: Vocabulary) -> str | None:
    """Say what is wrong with an identifier, or None."""
    name = identifier.name.strip("_")
    if not name or identifier.name in vocabulary.exceptions:
        return None
    if len(name) == 1 and not identifier.may_be_short:
        return "has one letter: use a whole word"
    for part in split_name(name):
        if part in vocabulary.parts:
            return f"contains '{part}': use {vocabulary.parts[part]}"
    if name.lower() in vocabulary.names:
        return f"says nothing by itself: use {vocabulary.names[name.lower()]}"
    return None


def check_module(path: Path, source: str, vocabulary: Vocabulary) -> Iterator[str]:
    """Yield one line for each identifier of a module that breaks the vocabulary."""
    for identifier in [module_identifier(path), *defined_identifiers(ast.parse(source))]:
        if fault := find_fault(identifier, vocabulary):
            yield f"{path}:{identifier.line}: {identifier.name} {fault}"


def finished_paths(pyproject: Path) -> list[str]:
    """Read the list of finished packages and modules, as paths from the root.

    Raises:
        ValueError: A path does not exist, or stands in the list twice.
    """
    paths: list[str] = tomllib.loads(pyproject.read_text())["tool"]["lilacsill"]["finished"]
    for path in paths:
        if not (pyproject.parent / path).exists():
            raise ValueError(f"{pyproject.name}: {path} is listed as finished and does not exist")
        if paths.count(path) > 1:
            raise ValueError(f"{pyproject.name}: {path} is listed as finished twice")
    return paths


def python_files(root: Path, paths: Sequence[str]) -> list[Path]:
    """List the modules under these paths, relative to the root."""
    found: set[Path] = set()
    for path in paths:
        package = root / path
        found.update(package.rglob("*.py") if package.is_dir() else [package])
    return sorted(file.relative_to(root) for file in found)


def run_ruff(paths: Sequence[str]) -> bool:
    """Check these paths with the strict rules; ruff prints what it finds. Returns whether it found nothing."""
    command = [sys.executable, "-m", "ruff", "check", "--quiet", "--config", str(RULES), *paths]
    return not paths or subprocess.run(command, cwd=ROOT, check=False).returncode == 0


def main() -> int:
    """Run both checks and print what is wrong. Returns the exit status."""
    try:
        paths = finished_paths(ROOT / "pyproject.toml")
        vocabulary = read_vocabulary(VOCABULARY)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1
    files = python_files(ROOT, paths)
    faults = [line for file in files for line in check_module(file, (ROOT / file).read_text(), vocabulary)]
    for line in faults:
        print(line)
    if not run_ruff(paths) or faults:
        return 1
    print(f"{len(paths)} finished packages, {len(files)} modules: strict rules and vocabulary hold")
    return 0


if __name__ == "__main__":
    sys.exit(main())
