"""The file through which the processes of an agent share what operators have requested.

The file is always read and replaced as a whole. A lock file serializes its writers.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from .operations_state import OperationsState, decode

log = logging.getLogger("lilacsill.agent.admin.file")  # the former module name, which log output shows

FILE_NAME = "lilacsill-operations.json"
# Another writer holds the lock for less than a millisecond; one that hangs must not block this one for long.
LOCK_ATTEMPTS, LOCK_RETRY_DELAY_S = 20, 0.002


class OperationsFile:
    """The state that operators control, in a file in `folder`; None: in memory only.

    Attributes:
        state: The state as last read or written.
    """

    def __init__(self, folder: str | None) -> None:
        self._path = Path(folder) / FILE_NAME if folder else None
        self._version: tuple[int, int, int] | None = None  # inode, mtime and size at the last read or write
        self.state = OperationsState()
        self._is_stored = False

    @property
    def is_stored(self) -> bool:
        """Whether the file existed and was valid at the last read or write."""
        return self._is_stored

    def reload(self) -> bool:
        """Read the file if it has changed; return whether the state has changed.

        An unreadable or invalid file is logged and leaves the state unchanged.
        """
        if self._path is None:
            return False
        try:
            version = self._stat()
            if version == self._version:
                return False
            data = self._path.read_bytes()
        except FileNotFoundError:
            self._is_stored = False
            return False
        except OSError as error:  # for example no descriptor left; the next call retries
            log.warning("cannot read %s; keeping the previous state: %s", self._path, error)
            return False
        self._version = version
        try:
            state = decode(data)
        except ValueError as error:
            self._is_stored = False
            log.error("ignoring invalid file %s until the next change replaces it: %s", self._path, error)
            return False
        changed = state != self.state
        self.state, self._is_stored = state, True
        return changed

    def update(self, change: Callable[[OperationsState], OperationsState]) -> None:
        """Replace the state with the result of `change`.

        Raises:
            OSError: The lock cannot be acquired or the file cannot be written; the change is not applied.
        """
        if self._path is None:
            self.state = change(self.state)
            return
        lock = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._acquire(lock)
            self.reload()  # the other process may have changed the file
            state = change(self.state)
            if state != self.state or not self._is_stored:
                self._replace(state)
        finally:
            os.close(lock)

    def _replace(self, state: OperationsState) -> None:
        assert self._path is not None
        temporary = self._path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(state.encode())
            temporary.replace(self._path)
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise
        self._version, self.state, self._is_stored = self._stat(), state, True

    def _stat(self) -> tuple[int, int, int]:
        assert self._path is not None
        stat = self._path.stat()
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    @staticmethod
    def _acquire(lock: int) -> None:
        for _ in range(LOCK_ATTEMPTS):
            with suppress(BlockingIOError):
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            time.sleep(LOCK_RETRY_DELAY_S)
        raise TimeoutError("another process holds the lock")
