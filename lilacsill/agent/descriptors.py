"""The file descriptors of this process, as the operating system counts them."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Errors of the kernel where the process or the machine has no descriptor left, or no memory for one.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
DEFAULT_COUNT = 16  # open at the start, where the system does not say


def count_open() -> int:
    """Return how many descriptors are open now."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # the listing itself uses one
    except OSError:
        return DEFAULT_COUNT


def effective_limit(configured: int) -> int:
    """Return the lower of the configured limit and of RLIMIT_NOFILE, which may change while the process runs."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


class SharedLimit:
    """The limit of this process, where its successor or predecessor may run under the same limit.

    Attributes:
        other_process: Returns the id of the other process of the agent; 0: there is none.
    """

    def __init__(self, configured: int) -> None:
        self._configured = configured
        self.other_process: Callable[[], int] = lambda: 0

    def __call__(self) -> int:
        """Return how many descriptors this process may use now."""
        limit, other = effective_limit(self._configured), self.other_process()
        if not other:
            return limit
        try:
            taken = len(os.listdir(f"/proc/{other}/fd"))
        except OSError:  # the system does not say, or the other process has just ended
            taken = limit // 2
        return max(limit // 4, limit - taken)


class SpareDescriptor:
    """One descriptor in reserve, given up for a moment when there is no other.

    It serves to accept a connection and refuse it, or to read a file.
    """

    def __init__(self) -> None:
        self._fd: int | None = None
        self.reacquire()

    def release(self) -> bool:
        """Give the descriptor up; return whether it was there."""
        if self._fd is None:
            return False
        os.close(self._fd)
        self._fd = None
        return True

    def reacquire(self) -> bool:
        """Take a descriptor again; return whether there was one to take."""
        if self._fd is None:
            try:
                self._fd = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                return False
        return True

    @contextmanager
    def released(self) -> Iterator[None]:
        """Give the descriptor up while the block runs."""
        self.release()
        try:
            yield
        finally:
            self.reacquire()
