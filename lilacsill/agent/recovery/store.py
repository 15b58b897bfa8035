"""The saved state on disk, in generations of which each is complete or missing. The only I/O of recovery.

A save writes a temporary file and syncs it. Then it shifts the generations by renames, the oldest first, and makes the
new file the newest one, so that a process that is killed at any time leaves at least the previous generation. A load
reads from the newest generation on and uses the first valid one.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from ..config import ConfigError
from .state import MAX_FILE_BYTES, SavedState, StateError, decode, encode

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(slots=True, frozen=True)
class LoadResult:
    """The result of loading from disk."""

    state: SavedState | None  # None: no generation can be used
    generation: int  # of the state; 0 is the newest
    skipped: tuple[tuple[int, str], ...]  # newer generations, each with the reason why it is not used


class StateStore:
    """The generations of one agent, in a folder that the agents of a machine may share."""

    def __init__(self, folder: str, fleet: str, agent: str, generations: int) -> None:
        self._folder, self._fleet, self._agent, self._generations = Path(folder), fleet, agent, generations
        self._name = re.sub(r"[^A-Za-z0-9._-]", lambda match: f"%{ord(match[0]):x}", agent or "agent")

    def path(self, generation: int) -> Path:
        """Return the file of a generation."""
        return self._folder / f"{self._name}.state{f'.{generation}' if generation else ''}"

    def load(self) -> LoadResult:
        """Return the newest valid state; disk errors and damaged files are reported in the result."""
        skipped: list[tuple[int, str]] = []
        for generation in range(self._generations):
            try:
                with self.path(generation).open("rb") as file:
                    data = file.read(MAX_FILE_BYTES + 1)
                return LoadResult(decode(data, self._fleet, self._agent), generation, tuple(skipped))
            except FileNotFoundError:
                skipped.append((generation, "there is none"))
            except OSError as error:
                skipped.append((generation, error.strerror or str(error)))
            except StateError as error:
                skipped.append((generation, str(error)))
        return LoadResult(None, 0, tuple(skipped))

    def save(self, state: SavedState) -> None:
        """Write a state as the newest generation.

        Raises:
            OSError: The state cannot be written or synced; the generations may be shifted by one.
        """
        temporary = self._folder / f"{self._name}.state.{os.getpid()}.new"
        try:
            with temporary.open("wb") as file:
                file.write(encode(state))
                file.flush()
                os.fsync(file.fileno())
            for generation in range(self._generations - 1, 0, -1):
                with suppress(FileNotFoundError):
                    self.path(generation - 1).replace(self.path(generation))
            temporary.replace(self.path(0))
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise
        self._sync_folder()

    def _sync_folder(self) -> None:
        # Makes the renames durable, too.
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def check_folder(folder: str, file: str) -> None:
    """Check the folder for check-config; a start continues even if it is missing.

    Args:
        folder: The folder.
        file: The operator file that names the folder, for error texts.

    Raises:
        ConfigError: The folder does not exist, or is not writable.
    """
    if not os.path.isdir(folder):
        raise ConfigError(f"{file}: [recovery] folder: {folder} is not a directory")
    if not os.access(folder, os.W_OK | os.X_OK):
        raise ConfigError(f"{file}: [recovery] folder: {folder} is not writable")


def boot_id() -> str:
    """Return the id of the machine's current boot; empty where the system provides none."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
