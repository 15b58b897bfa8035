"""The format of datagrams between agents, and the checks that each received datagram must pass. No I/O.

    "LS" | version 1 | fleet 4 | sender 2 | target 2 | stamp 8 | sequence 4 | records | tag 8

The tag is a keyed BLAKE2s of all bytes before it, or zero where no secret is set. A datagram is accepted once, and only
if it is well-formed, is addressed to this agent, has this version and fleet and a valid tag, and comes from the listed
address of its sender and from the latest known incarnation of that sender. Any other datagram is dropped and counted.
The state for these checks is one replay window of sequence numbers for each listed agent.
"""

from __future__ import annotations

import hmac
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2s
from struct import Struct

import msgspec

from .records import REFUTATION_BITS, Record, decode, join

MAGIC = b"LS"
VERSION = 1
MAX_DATAGRAM_BYTES = 256
HEADER = Struct(">2sBIHHQI")
TAG_BYTES = 8
LIST_HEADER_BYTES = 3  # of the list of records
MAX_RECORD_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - TAG_BYTES - LIST_HEADER_BYTES
REPLAY_WINDOW = 128  # datagrams this far behind the newest sequence number are dropped: a repeat would go unnoticed


class DropReason(Enum):
    """The reason why a datagram is dropped."""

    FOREIGN = "foreign"  # its source address is not the listed one of its sender, or its target is another agent
    TORN = "torn"  # incomplete or malformed
    VERSION = "version"
    FLEET = "fleet"
    UNSIGNED = "unsigned"  # its tag matches none of the current secrets
    OLD = "old"  # from an earlier incarnation than the latest known one, or behind the replay window
    REPEATED = "repeated"


@dataclass(slots=True, frozen=True)
class Datagram:
    """An accepted datagram."""

    sender: int
    stamp: int
    records: list[Record]


@dataclass(slots=True, frozen=True)
class StaleDatagram:
    """A datagram from an earlier incarnation of its sender than the latest known one; the sender can be notified."""

    sender: int
    stamp: int
    latest_incarnation: int


@dataclass(slots=True)
class _ReplayWindow:
    """A sliding window over the sequence numbers of one incarnation (RFC 4303, 3.4.3)."""

    incarnation: int = 0
    newest: int = 0
    bits: int = 0

    def accept(self, sequence: int) -> DropReason | None:
        """Record a sequence number; return the reason to drop its datagram, None to accept it."""
        ahead = sequence - self.newest
        if ahead > 0:
            self.bits = (self.bits << ahead | 1) & ((1 << REPLAY_WINDOW) - 1) if ahead < REPLAY_WINDOW else 1
            self.newest = sequence
        elif ahead <= -REPLAY_WINDOW:
            return DropReason.OLD
        elif self.bits >> -ahead & 1:
            return DropReason.REPEATED
        else:
            self.bits |= 1 << -ahead
        return None


def fleet_id(name: str) -> int:
    """Return the number of a fleet in datagrams, which keeps fleets on one network apart."""
    return int.from_bytes(blake2s(name.encode(), digest_size=4).digest(), "big")


def signature(secret: bytes, data: bytes) -> bytes:
    """Return the tag of a datagram; zeros for an empty secret."""
    return blake2s(data, key=secret[:32], digest_size=TAG_BYTES).digest() if secret else bytes(TAG_BYTES)


class DatagramCodec:
    """Encodes and checks the datagrams of one agent.

    Attributes:
        secrets: The first one signs datagrams, all are accepted for verification; empty: datagrams are not signed.
        dropped: How many datagrams were dropped, by reason.
    """

    def __init__(self, own_number: int, fleet: int, agents: int, secrets: tuple[bytes, ...] = ()) -> None:
        self.own_number, self._fleet, self.agents = own_number, fleet, agents
        self.secrets = secrets
        self.dropped: Counter[DropReason] = Counter()
        self._windows: dict[int, _ReplayWindow] = {}
        self._sequence = 0

    def encode(self, target: int, stamp: int, encoded_records: list[bytes]) -> bytes:
        """Return a datagram for a member."""
        self._sequence = (self._sequence + 1) % 2**32
        header = HEADER.pack(MAGIC, VERSION, self._fleet, self.own_number, target, stamp, self._sequence)
        data = header + join(encoded_records)
        data += signature(self.secrets[0] if self.secrets else b"", data)
        assert len(data) <= MAX_DATAGRAM_BYTES
        return data

    def decode(self, data: bytes, source: int | None) -> Datagram | StaleDatagram | DropReason:
        """Check and decode a datagram.

        Args:
            data: The datagram.
            source: The number of the agent at the source address; None: no listed agent has that address.
        """
        outcome = self._decode(data, source)
        if isinstance(outcome, DropReason):
            self.dropped[outcome] += 1
        elif isinstance(outcome, StaleDatagram):
            self.dropped[DropReason.OLD] += 1
        return outcome

    def _decode(self, data: bytes, source: int | None) -> Datagram | StaleDatagram | DropReason:
        if source is None:
            return DropReason.FOREIGN
        reason = self._check(data, source)
        if reason is not None:
            return reason
        _, _, _, sender, _, stamp, sequence = HEADER.unpack_from(data)
        incarnation = stamp >> REFUTATION_BITS
        window = self._windows.get(sender)
        if window is not None and incarnation < window.incarnation:
            return StaleDatagram(sender, stamp, window.incarnation)
        try:
            records = decode(data[HEADER.size : -TAG_BYTES])
        except msgspec.DecodeError:
            return DropReason.TORN
        if window is None or incarnation > window.incarnation:
            self._windows[sender] = _ReplayWindow(incarnation, sequence, 1)
        elif (reason := window.accept(sequence)) is not None:
            return reason
        return Datagram(sender, stamp, records)

    def _check(self, data: bytes, source: int) -> DropReason | None:
        """Check header and tag of a datagram; return the reason to drop it, None to accept it."""
        if not HEADER.size + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return DropReason.TORN
        magic, version, fleet, sender, target, _, _ = HEADER.unpack_from(data)
        if magic != MAGIC:
            return DropReason.TORN
        if version != VERSION:
            return DropReason.VERSION
        if fleet != self._fleet:
            return DropReason.FLEET
        if not self._is_signed(data):
            return DropReason.UNSIGNED
        is_foreign = sender != source or target != self.own_number or sender == self.own_number
        return DropReason.FOREIGN if is_foreign else None

    def _is_signed(self, data: bytes) -> bool:
        signed, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        return any(hmac.compare_digest(signature(secret, signed), tag) for secret in self.secrets or (b"",))
