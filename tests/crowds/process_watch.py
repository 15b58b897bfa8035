"""Measures the memory and the open descriptors of a process while a crowd is at its door."""

from __future__ import annotations

import os
from pathlib import Path

from lilacsill.mesh.runtime.reactor import Reactor

SAMPLE_INTERVAL_US = 50_000
LOCAL_ADDRESS, STATE, QUEUES = 1, 3, 4  # columns of /proc/net/tcp
LISTENING = "0A"
BYTES_PER_KB, BYTES_PER_MB = 1024, 1024 * 1024


class ProcessWatch:
    """Samples a process until `stop`.

    Attributes:
        peak_bytes: The most memory that the process had: resident, and with the bytes that the kernel holds for it
            because they have not been read yet (the platform counts both) or not been sent yet.
        peak_descriptors: The most descriptors that it had open.
    """

    def __init__(self, reactor: Reactor, pid: int, address: str, port: int) -> None:
        """Start to sample. Bytes that the kernel holds are counted of the connections to one address."""
        self._reactor, self._proc = reactor, Path("/proc", str(pid))
        self._local_address = _local_address(address, port)
        self.peak_bytes = self.peak_descriptors = 0
        self._is_stopped = False
        self._sample()

    @property
    def peak_mb(self) -> float:
        """The most memory, in units of `MemoryMb`."""
        return self.peak_bytes / BYTES_PER_MB

    def stop(self) -> None:
        """Take a last sample, with the peak that the kernel has recorded."""
        self._sample()
        self._is_stopped = True

    def _sample(self) -> None:
        if self._is_stopped:
            return
        try:
            status = (self._proc / "status").read_text()
            descriptors = len(os.listdir(self._proc / "fd"))
        except OSError:  # it has ended, which the test sees by itself
            return
        fields = dict(line.split(":", 1) for line in status.splitlines())
        if "VmHWM" not in fields:  # a zombie
            return
        resident, highest = (int(fields[name].split()[0]) * BYTES_PER_KB for name in ("VmRSS", "VmHWM"))
        self.peak_bytes = max(self.peak_bytes, highest, resident + self._queued_bytes())
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        self._reactor.after(SAMPLE_INTERVAL_US, self._sample)

    def _queued_bytes(self) -> int:
        lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(_queued_bytes(line[QUEUES]) for line in lines if self._is_watched(line))

    def _is_watched(self, line: list[str]) -> bool:
        # The queues of a listener count connections, not bytes.
        return line[LOCAL_ADDRESS] == self._local_address and line[STATE] != LISTENING


def _queued_bytes(queues: str) -> int:
    """Return the sum of the two hexadecimal numbers."""
    return sum(int(part, 16) for part in queues.split(":"))


def _local_address(host: str, port: int) -> str:
    """Return an address as `/proc/net/tcp` writes it."""
    return "".join(f"{int(part):02X}" for part in reversed(host.split("."))) + f":{port:04X}"
