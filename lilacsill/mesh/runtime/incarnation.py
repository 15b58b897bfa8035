"""Incarnations: numbers that distinguish the runs of one process. Does no I/O and reads no clock.

The wall clock may go back between two runs, so a later run may start with a lower number than an earlier one. Where
runs must be ordered, a process that receives a record of its own name with a higher number raises its number above that
one (refutation in SWIM; Das, Gupta and Motivala, 2002), so that the records of the live process win. Where runs only
need to be distinguished, a random identifier is sufficient.
"""

from __future__ import annotations

INCARNATION_ID_BYTES = 6  # random bytes; two runs of a process get the same identifier with probability 2^-48


class Incarnation:
    """Incarnation number of this run and version of its record; together they order all records of one name."""

    def __init__(self, initial_number: int) -> None:
        """Initialize with an estimate.

        Args:
            initial_number: For example the wall clock time; a number above that of earlier runs avoids a refutation.
        """
        self.number = initial_number
        self.version = 0

    def next_version(self) -> None:
        """Increment the version of the record."""
        self.version += 1

    def refute(self, number: int, version: int) -> bool:
        """Compare this run with a received record of the same name, and raise this run's number if the record is newer.

        Returns:
            Whether the number was raised because the record, which comes from another run, would supersede this run's
            record. The caller must then announce its record again.
        """
        if (number, version) <= (self.number, self.version):
            return False
        self.number = number + 1
        return True


def incarnation_id(random_bytes: bytes) -> int:
    """Return an identifier that distinguishes one run from all others of its process; never 0, which means none."""
    return int.from_bytes(random_bytes, "big") or 1
