"""The file through which the processes of an agent share the state of operations.

It is read and replaced as a whole. A lock file makes its writers wait for one another.
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

log = logging.getLogger("lilacsill.agent.admin.file")  # kept when the module was renamed: logs show it

FILE_NAME = "lilacsill-operations.json"
# Another writer needs less than a millisecond; one that hangs must not block this one for long.
LOCK_ATTEMPTS, LOCK_RETRY_DELAY_S = 20, 0.002


class OperationsFile:
    """The state of operations in a file in `folder`; None: in memory only.

    Attributes:
        state: The state as it was read or written last.
    """

    def __init__(self, folder: str | None) -> None:
        self._path = Path(folder) / FILE_NAME if folder else None
        self._version: tuple[int, int, int] | None = None  # inode, time and size of the file, when read or written last
        self.state = OperationsState()
        self._is_stored = False

    @property
    def is_stored(self) -> bool:
        """Whether the file was there and valid when it was read last."""
        return self._is_stored

    def reload(self) -> bool:
        """Read the file if it has changed; return whether the state has.

        A file that cannot be read is one line in the log and changes nothing.
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
        except OSError as error:  # where no descriptor is left, the next call tries again
            log.warning("%s cannot be read: %s", self._path, error)
            return False
        self._version = version
        try:
            state = decode(data)
        except ValueError as error:
            self._is_stored = False
            log.error("%s is left aside until the next call writes it anew: %s", self._path, error)
            return False
        changed = state != self.state
        self.state, self._is_stored = state, True
        return changed

    def update(self, change: Callable[[OperationsState], OperationsState]) -> None:
        """Replace the state by what `change` makes of it.

        Raises:
            OSError: The file cannot be written; the state is unchanged.
        """
        if self._path is None:
            self.state = change(self.state)
            return
        lock = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._acquire(lock)
            self.reload()  # the other process may have written in the meantime
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
