"""The command line shared by store, registry and proxy. Without a command, the program itself runs."""

from __future__ import annotations

import json
import sys
from typing import Any

from .client import RequestFailed, fetch_status
from .settings import SettingsError, load_settings

EXIT_OK, EXIT_FAILED, EXIT_BAD_SETTINGS = 0, 1, 2


class CommandFailed(Exception):
    """A command cannot be carried out; the message gives the reason."""


class Commands:
    """Commands for a running process and its settings file. HOST:PORT is the process's first internal port."""

    def status(self, address: str, log: bool = False) -> None:
        """Print the status of the process at HOST:PORT; with --log also its recent log lines."""
        state = json.loads(fetch_status(address))
        lines = state.pop("log", [])
        print(json.dumps(state, indent=2))
        if log:
            print("\n".join(lines))

    def settings(self, path: str) -> None:
        """Check a settings file, and print the effective settings."""
        import msgspec

        print(json.dumps(msgspec.to_builtins(load_settings(path)), indent=2))


def run_command(name: str, commands: type[Commands]) -> int:
    """Run the command given in the process's arguments.

    Args:
        name: Name of the program: store, registry or proxy.
        commands: Class whose public methods are the commands.

    Returns:
        The exit status. 0: success; 1: the command failed or a process did not reply; 2: the settings file is invalid.
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
    """Prevent `fire` from printing the `Commands` object."""
    return None if isinstance(result, Commands) else result
