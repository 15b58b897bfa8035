"""Load the decision module that is tried in the lab: that of this checkout, or of an earlier commit as a control."""

from __future__ import annotations

import importlib
import subprocess
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

SOURCES = ("lilacsill/balancing", "brasshead")
"""The library's folder in the repository, and its folder in earlier commits."""

# The names of the interface that the lab uses, each with its name in earlier commits.
EARLIER_TYPES = {
    "Idempotency": "Effect",
    "DedupScope": "Group",
    "DiscoveryMode": "Discovery",
    "Reject": "Refuse",
    "ClientDisconnected": "ClientGone",
}
EARLIER_MEMBERS = {"DEDUPLICATED": "KEYED", "NOT_IDEMPOTENT": "UNSAFE", "POLL": "ASK"}
EARLIER_FIELDS = {
    "latency_target_us": "aim_us",
    "value": "worth",
    "balancer_count": "siblings",
    "balancer_index": "me",
    "can_hedge": "second_copies",
    "can_advise_retry": "retry_after",
    "answer_grace_us": "answer_slack_us",
    "warm_up_start_fraction": "start_fraction",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_window_us",
}


class EarlierInterface:
    """The interface of an earlier commit under the names that it has now."""

    def __init__(self, interface: Any) -> None:
        self._interface = interface

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._interface, EARLIER_TYPES.get(name, name))
        if name in ("DedupScope", "DiscoveryMode", "Idempotency"):
            return EarlierEnum(found)
        return partial(_construct, found) if name in ("RequestClass", "Settings") else found


class EarlierEnum:
    """An enumeration of an earlier commit under the member names that it has now."""

    def __init__(self, enumeration: Any) -> None:
        self._enumeration = enumeration

    def __getattr__(self, name: str) -> Any:
        return self._enumeration[EARLIER_MEMBERS.get(name, name)]


def _construct(earlier_type: Any, *values: Any, **fields: Any) -> Any:
    return earlier_type(*values, **{EARLIER_FIELDS.get(name, name): value for name, value in fields.items()})


class ModuleError(Exception):
    """The module cannot be loaded; the message says why."""


@dataclass(frozen=True)
class Module:
    """A build of the decision module: the types of its interface, and its Balancer."""

    interface: Any
    balancer: Any


def here() -> Module:
    """Return the module of this checkout."""
    return Module(
        importlib.import_module("lilacsill.balancing.interface"),
        importlib.import_module("lilacsill.balancing.logic").Balancer,
    )


def at_commit(commit: str, repository: Path, folder: Path) -> Module:
    """Load the module of a commit.

    Args:
        commit: The commit.
        repository: The repository to read it from.
        folder: Gets the module's files, as a package with a name of its own.

    Raises:
        ModuleError: The commit cannot be read; a shallow clone may not contain it.
    """
    name = f"balancing_{commit}"
    package = folder / name
    try:
        names = subprocess.run(
            ["git", "ls-tree", "-r", "--name-only", commit, *(f"{source}/" for source in SOURCES)],
            cwd=repository,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.split()
        for path in names:
            text = subprocess.run(
                ["git", "show", f"{commit}:{path}"], cwd=repository, check=True, capture_output=True
            ).stdout
            source = next(source for source in SOURCES if path.startswith(f"{source}/"))
            target = package / Path(path).relative_to(source)
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(text)
    except (OSError, subprocess.CalledProcessError) as error:
        raise ModuleError(f"commit {commit} cannot be read from {repository.name}: {error}") from None
    sys.path.insert(0, str(folder))
    try:
        interface: Any = importlib.import_module(f"{name}.interface")
        if not hasattr(interface, "Idempotency"):
            interface = EarlierInterface(interface)
        return Module(interface, importlib.import_module(f"{name}.logic").Balancer)
    finally:
        sys.path.remove(str(folder))
