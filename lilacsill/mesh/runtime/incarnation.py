"""Incarnations: numbers that tell the runs of one process apart. No I/O and no clock.

The time of day may go back between two runs, so a later run may begin with a lower number than an earlier one. Where
runs are ordered, a process that is shown its own name with a higher number than its own raises its number above that
one (refutation in SWIM; Das, Gupta and Motivala, 2002), so the records of the live process win. Where runs need only be
told apart, a random identifier serves.
"""

from __future__ import annotations

INCARNATION_ID_BYTES = 6  # of randomness: two runs of one process have the same identifier once in 2^48


class Incarnation:
    """The number of this run and of the latest version of its record; together they order all records of one name."""

    def __init__(self, initial_number: int) -> None:
        """Begin with a guess.

        Args:
            initial_number: Such as the time of day; a good guess saves a round of refutation.
        """
        self.number = initial_number
        self.version = 0

    def next_version(self) -> None:
        """Count a new version of the record."""
        self.version += 1

    def refute(self, number: int, version: int) -> bool:
        """Handle a record under the own name that was seen elsewhere.

        Returns:
            Whether the record is of another run and would hide this one. Then this run's number was raised above it,
            and its record must be announced again.
        """
        if (number, version) <= (self.number, self.version):
            return False
        self.number = number + 1
        return True


def incarnation_id(random_bytes: bytes) -> int:
    """Return an identifier that tells one run from all others of its process; never 0, which stands for none."""
    return int.from_bytes(random_bytes, "big") or 1
