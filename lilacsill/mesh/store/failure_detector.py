"""Tracks the machines of the store, and judges by their replies to heartbeats which of them are alive. No I/O.

Only a reply is a sign of life: a machine that can send but not receive does not reply. A process that was paused must
not suspect the others because of its own pause, so its time-outs count from the end of the pause.
"""

from __future__ import annotations

from typing import NamedTuple

from lilacsill.mesh.runtime.messages import Heartbeat, HeartbeatReply, Member

from .replica import Replica

HEARTBEAT_INTERVAL_US = 150_000
SUSPECT_AFTER_US = 700_000  # a machine that has not replied for this long is suspected
RECENT_REPLY_US = 450_000  # a machine that replied within this time may join the chain or get a lease
PEER_EXPIRY_US = 30_000_000  # from the last message or first mention of a machine outside the view until it expires
PAUSE_TOLERANCE_US = 250_000  # a tick that is late by more than this means that this process was paused


class ReceivedReply(NamedTuple):
    """The last reply of one machine, and when it arrived."""

    at_us: int
    reply: HeartbeatReply


class FailureDetector:
    """What one member knows about the other machines. Times are microseconds on its own clock."""

    def __init__(self, replica: Replica) -> None:
        self._replica, self._environment = replica, replica.environment
        self._last_replies: dict[str, ReceivedReply] = {}  # by address
        self._peer_seen_at_us: dict[str, int] = {}  # by address: heard from, or first mentioned by another machine
        self._last_tick_at_us = self._timeouts_count_from_us = replica.environment.now()
        replica.view_listeners.append(self._on_view_change)

    # Events

    def tick(self) -> None:
        """Record that this process is running. Called once per heartbeat interval."""
        now = self._environment.now()
        if now - self._last_tick_at_us > HEARTBEAT_INTERVAL_US + PAUSE_TOLERANCE_US:
            self._timeouts_count_from_us = now
        self._last_tick_at_us = now

    def on_reply(self, reply: HeartbeatReply) -> None:
        """Record a reply as a sign of life."""
        self._last_replies[reply.sender.address] = ReceivedReply(self._environment.now(), reply)

    def learn_peers(self, message: Heartbeat | HeartbeatReply) -> None:
        """Record the sender of a message, and the peers and view members that it mentions."""
        now = self._environment.now()
        self._peer_seen_at_us[message.sender.address] = now
        for address in message.peers:
            self._peer_seen_at_us.setdefault(address, now)
        for member in message.view.members:
            self._peer_seen_at_us.setdefault(member.address, now)

    def _on_view_change(self) -> None:
        self._timeouts_count_from_us = self._environment.now()

    # Queries

    def peers(self) -> list[str]:
        """Return the sorted addresses of all known machines of the store, including this one."""
        now = self._environment.now()
        seen = {address for address, at_us in self._peer_seen_at_us.items() if now - at_us < PEER_EXPIRY_US}
        members = {member.address for member in self._replica.view.members}
        return sorted(members | seen | {self._replica.me.address})

    def last_reply(self, address: str) -> ReceivedReply | None:
        """Return the last reply from this address, from whichever incarnation of the machine."""
        return self._last_replies.get(address)

    def recent_reply(self, member: Member, within_us: int) -> HeartbeatReply | None:
        """Return the last reply of this incarnation of the machine, or None if there is none within that time."""
        last = self._last_replies.get(member.address)
        if last is None or self._environment.now() - last.at_us > within_us or last.reply.sender != member:
            return None
        return last.reply

    def recent_responders(self) -> list[Member]:
        """Return the machines that replied within `RECENT_REPLY_US`, sorted by address."""
        now = self._environment.now()
        return [
            last.reply.sender for _, last in sorted(self._last_replies.items()) if now - last.at_us < RECENT_REPLY_US
        ]

    def is_alive(self, member: Member) -> bool:
        """Return whether the machine is not suspected."""
        if member == self._replica.me or self.recent_reply(member, SUSPECT_AFTER_US) is not None:
            return True
        elapsed_us = self._environment.now() - self._timeouts_count_from_us
        return not self.has_lost_disk(member) and elapsed_us <= SUSPECT_AFTER_US

    def has_lost_disk(self, member: Member) -> bool:
        """Return whether the machine has lost its disk: another incarnation replied recently from its address."""
        last = self._last_replies.get(member.address)
        if last is None or last.reply.sender == member:
            return False
        return self._environment.now() - last.at_us < SUSPECT_AFTER_US
