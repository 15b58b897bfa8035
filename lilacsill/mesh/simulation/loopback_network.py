"""A part of 127.0.0.0/8 that one mesh on loopback has to itself while it runs."""

from __future__ import annotations

import socket
from random import Random

FIRST_NETWORK, LAST_NETWORK = 3, 250  # the second part of the addresses; tests on loopback use lower ones
LOCK_PORT = 18149


class LoopbackNetwork:
    """The addresses 127.NUMBER.x.y; a listening socket at one of them keeps other meshes away."""

    def __init__(self, rng: Random) -> None:
        """Take a free network. Raises OSError if there is none."""
        numbers = list(range(FIRST_NETWORK, LAST_NETWORK + 1))
        rng.shuffle(numbers)
        for number in numbers:
            lock = socket.socket()
            try:
                lock.bind((f"127.{number}.0.1", LOCK_PORT))
                lock.listen()
            except OSError:
                lock.close()
                continue
            self._lock, self.number = lock, number
            return
        raise OSError("all networks on loopback are in use")

    def address(self, group: int, number: int) -> str:
        """Return the address of a machine by its group and number, both from 1."""
        return f"127.{self.number}.{group}.{number}"

    def close(self) -> None:
        """Let another mesh have the network."""
        self._lock.close()
