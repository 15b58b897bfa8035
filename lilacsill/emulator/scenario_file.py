"""Read a scenario, by its name among those that come with the program or by a path."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from lilacsill.agent.operator.explain import explain

from .models.scenario import Scenario

FOLDER = Path(__file__).parent / "scenarios"


class ScenarioError(Exception):
    """A scenario or file cannot be used; the message says in one line what is wrong and what is allowed."""


def names() -> list[str]:
    """List the scenarios that come with the program."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def load(name: str) -> Scenario:
    """Read a scenario.

    Args:
        name: One of `names`, or the path of a .toml file.

    Raises:
        ScenarioError: It does not exist or cannot be used.
    """
    path = Path(name) if name.endswith(".toml") or "/" in name else FOLDER / f"{name}.toml"
    try:
        return msgspec.convert(tomllib.loads(path.read_bytes().decode()), Scenario)
    except FileNotFoundError:
        raise ScenarioError(f"{name}: no such scenario; there are {', '.join(names())}, or name a .toml file") from None
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {explain(str(error), Scenario)}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: no TOML: {error}") from None
