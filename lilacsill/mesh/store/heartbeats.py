"""Heartbeats among the machines of the store: signs of life, read leases and new views. No I/O.

At each interval, a machine sends a heartbeat to every other machine from which no reply is outstanding.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.messages import Heartbeat, HeartbeatReply, Message, View

from .chain import Chain
from .disk_health import is_disk_fast, requested_departure
from .failure_detector import RECENT_REPLY_US, FailureDetector
from .lease_manager import LeaseManager
from .replica import Replica

HEARTBEAT_TIMEOUT_US = 350_000


class Heartbeats:
    """The heartbeats that one machine sends and answers."""

    def __init__(
        self,
        replica: Replica,
        chain: Chain,
        lease_manager: LeaseManager,
        detector: FailureDetector,
        seeds: list[str],
    ) -> None:
        self._replica, self._environment = replica, replica.environment
        self._chain, self._lease_manager, self._detector = chain, lease_manager, detector
        self._seeds = [seed for seed in seeds if seed != replica.me.address]
        self._awaiting_reply: set[str] = set()
        self._due_after_reply: set[str] = set()  # addresses that get another heartbeat as soon as they have replied

    def send(self) -> None:
        """Send a heartbeat to each known machine from which no reply is outstanding."""
        # Sorted, so that a simulation is deterministic for its seed.
        for address in sorted(self._others() - self._awaiting_reply):
            self._send_to(address)

    def send_state(self) -> None:
        """Send the changed state at once; a machine that still has to reply gets it right after its reply."""
        self._due_after_reply = set(self._awaiting_reply)
        self.send()

    def _others(self) -> set[str]:
        return {*self._seeds, *self._detector.peers()} - {self._replica.me.address}

    def _send_to(self, address: str) -> None:
        last = self._detector.last_reply(address)
        heartbeat = self._heartbeat(None if last is None else last.reply.view)
        self._awaiting_reply.add(address)
        on_reply = partial(self._on_reply, address, self._environment.now())
        self._environment.ask(address, heartbeat, HEARTBEAT_TIMEOUT_US, on_reply)

    def handle_heartbeat(self, heartbeat: Heartbeat, reply: Callable[[Message], None]) -> None:
        """Answer the heartbeat of another machine, and grant it a lease if it may have one."""
        self._learn_from(heartbeat)
        own = self._heartbeat(heartbeat.view)
        sender_is_responsive = self._detector.recent_reply(heartbeat.sender, RECENT_REPLY_US) is not None
        lease_us = self._lease_manager.lease_offer_us(heartbeat, sender_is_responsive)
        reply(
            HeartbeatReply(
                sender=own.sender,
                view=own.view,
                seq=own.seq,
                view_pending=own.view_pending,
                departure=own.departure,
                synced=own.synced,
                peers=own.peers,
                complete=own.complete,
                lease_us=lease_us,
                complete_view=self._replica.complete_view,
                intact=self._replica.intact,
            )
        )
        self._chain.resync(heartbeat.sender.address, heartbeat.view.number, heartbeat.synced)

    def _heartbeat(self, known_view: View | None) -> Heartbeat:
        """Return a heartbeat for a machine that has adopted `known_view`, as far as is known."""
        replica = self._replica
        is_known = known_view is not None and known_view.number == replica.view.number
        return Heartbeat(
            sender=replica.me,
            view=replica.view.without_history if is_known else replica.view,
            seq=replica.state.seq,
            view_pending=replica.view_pending,
            departure=requested_departure(replica),
            synced=self._chain.synced,
            peers=self._detector.peers(),
            complete=replica.complete,
            promised=self._lease_manager.promised,
            requests_lease=is_disk_fast(self._environment),
        )

    def _on_reply(self, address: str, sent_at: int, reply: Message | None) -> None:
        self._awaiting_reply.discard(address)
        if not isinstance(reply, HeartbeatReply):
            self._due_after_reply.discard(address)
            return
        self._detector.on_reply(reply)
        self._learn_from(reply)
        self._lease_manager.on_lease_granted(reply, sent_at)
        self._chain.resync(reply.sender.address, reply.view.number, reply.synced)
        if address in self._due_after_reply:
            self._due_after_reply.discard(address)
            self._send_to(address)

    def _learn_from(self, message: Heartbeat | HeartbeatReply) -> None:
        self._detector.learn_peers(message)
        self._replica.adopt_from(message)
