"""The two source trees, and how their programs are started.

Python imports from the working folder first, so a program runs from the tree that is its working folder.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

NEW_FOLDER = Path(__file__).resolve().parents[2]
PACKAGE = "lilacsill"
COMMAND_TIMEOUT_S = 60.0
BYTECODE_VARIABLE = "PYTHONPYCACHEPREFIX"


class SourceTree(msgspec.Struct, frozen=True):
    """A checkout of the project."""

    name: str
    folder: Path

    def command(self, module: str, *arguments: str) -> list[str]:
        """Return the command line of `python -m MODULE`; its working folder must be that of the tree."""
        return [sys.executable, "-m", module, *arguments]

    def run(self, module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run `python -m MODULE` to its end and return what it printed."""
        return subprocess.run(
            self.command(module, *arguments),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )


class TreePair(msgspec.Struct, frozen=True):
    """The old build and the new one."""

    old: SourceTree
    new: SourceTree

    @property
    def orders(self) -> tuple[tuple[SourceTree, SourceTree], ...]:
        """Both orders: which tree writes first, and which one goes on."""
        return (self.old, self.new), (self.new, self.old)

    def tree_of(self, folder: Path) -> SourceTree | None:
        """Return the tree that a folder is the root of."""
        return next((tree for tree in (self.old, self.new) if tree.folder == folder), None)


def make_pair(old_folder: Path) -> TreePair:
    """Return both trees. Raises ValueError if processes would not be started from them."""
    pair = TreePair(SourceTree("old", old_folder.resolve()), SourceTree("new", NEW_FOLDER))
    if pair.old.folder == pair.new.folder:
        raise ValueError(f"{old_folder} is the tree of the new build")
    for tree in (pair.old, pair.new):
        _verify(tree)
    return pair


def _verify(tree: SourceTree) -> None:
    """Raise ValueError unless a process whose working folder is the tree's imports the package from it."""
    package_file = tree.folder / PACKAGE / "__init__.py"
    if not package_file.is_file():
        raise ValueError(f"{tree.folder} has no package {PACKAGE}")
    code = f"import {PACKAGE}; print({PACKAGE}.__file__)"
    imported = subprocess.run(
        [sys.executable, "-c", code], cwd=tree.folder, capture_output=True, text=True, check=False
    ).stdout.strip()
    if Path(imported) != package_file:
        raise ValueError(f"processes in {tree.folder} import {imported or 'nothing'}")


@contextmanager
def bytecode_kept_in(folder: Path) -> Iterator[None]:
    """Have all processes keep compiled modules in a folder, so that nothing is written to the trees."""
    previous = os.environ.get(BYTECODE_VARIABLE)
    os.environ[BYTECODE_VARIABLE] = str(folder)
    try:
        yield
    finally:
        if previous is None:
            del os.environ[BYTECODE_VARIABLE]
        else:
            os.environ[BYTECODE_VARIABLE] = previous
