"""The command line that all three programs share. Without a command a program runs."""

from __future__ import annotations

import json
import sys
from typing import Any

from .client import RequestFailed, fetch_status
from .settings import SettingsError, load_settings

EXIT_OK, EXIT_FAILED, EXIT_BAD_SETTINGS = 0, 1, 2


class CommandFailed(Exception):
    """A command cannot be carried out; the text says why."""


class Commands:
    """Commands for a running process and its files. HOST:PORT is the first of its internal ports."""

    def status(self, address: str, log: bool = False) -> None:
        """Print the state of the process at HOST:PORT; with --log its recent log lines, too."""
        state = json.loads(fetch_status(address))
        lines = state.pop("log", [])
        print(json.dumps(state, indent=2))
        if log:
            print("\n".join(lines))

    def settings(self, path: str) -> None:
        """Check a settings file, and print the settings that are used."""
        import msgspec

        print(json.dumps(msgspec.to_builtins(load_settings(path)), indent=2))


def run_command(name: str, commands: type[Commands]) -> int:
    """Run the command that the process's arguments name.

    Args:
        name: Of the program: store, registry or proxy.
        commands: Each public method is a command.

    Returns:
        The exit status. 0: done; 1: the command failed or a process did not reply; 2: the settings file cannot be used.
    """
    import fire

    try:
        fire.Fire(commands, name=f"python -m lilacsill.mesh.{name}", serialize=_serialize)
    except SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except (RequestFailed, CommandFailed) as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _serialize(result: Any) -> Any:
    """Keep `fire` from printing the object that holds the commands."""
    return None if isinstance(result, Commands) else result
