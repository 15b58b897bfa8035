"""The file descriptors of this process: their number, their limit and one in reserve."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Errors of the kernel if the process or the machine has no file descriptor left, or no memory for one.
EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
FALLBACK_OPEN_COUNT = 16  # assumed number of open descriptors if /proc/self/fd cannot be read


def count_open() -> int:
    """Return the number of open descriptors of this process."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # reading the directory uses one descriptor
    except OSError:
        return FALLBACK_OPEN_COUNT


def effective_limit(configured: int) -> int:
    """Return the lower of the configured limit and RLIMIT_NOFILE, which may change while the process runs."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


class SharedLimit:
    """The descriptor limit of this process, which its successor or predecessor may share.

    Attributes:
        other_process: Returns the process id of the successor or predecessor; 0 if neither runs.
    """

    def __init__(self, configured: int) -> None:
        self._configured = configured
        self.other_process: Callable[[], int] = lambda: 0

    def __call__(self) -> int:
        """Return how many descriptors this process may use now.

        It may use what the other process leaves free, but at least a quarter of the limit.
        """
        limit, other = effective_limit(self._configured), self.other_process()
        if not other:
            return limit
        try:
            taken = len(os.listdir(f"/proc/{other}/fd"))
        except OSError:  # /proc cannot be read, or the other process has just ended
            taken = limit // 2
        return max(limit // 4, limit - taken)


class SpareDescriptor:
    """One descriptor in reserve, which is released temporarily when the process has no other.

    It allows a connection to be accepted and refused, or a file to be read.
    """

    def __init__(self) -> None:
        self._fd: int | None = None
        self.reacquire()

    def release(self) -> bool:
        """Close the descriptor; return whether it was held."""
        if self._fd is None:
            return False
        os.close(self._fd)
        self._fd = None
        return True

    def reacquire(self) -> bool:
        """Open the descriptor again if needed; return whether it is held now."""
        if self._fd is None:
            try:
                self._fd = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                return False
        return True

    @contextmanager
    def released(self) -> Iterator[None]:
        """Release the descriptor while the block runs."""
        self.release()
        try:
            yield
        finally:
            self.reacquire()
