"""PeerReports: what balancers tell each other of reports, where they may."""

from __future__ import annotations

from struct import Struct

from ..interface import PeerMessageReceived, SendPeerMessage, Settings
from .context import Context
from .load_table import LoadTable
from .membership import Membership
from .records import BackendRecord

PEER_SPEND, PEERS_MOST = 0.005, 32  # the most of the goal that telling may cost, and how many at once
REPORT = Struct(">IHH")  # what peers are told: a backend's tag, what it holds, its service time in ms


def peers_told(settings: Settings, column: int) -> int:
    """How many peers are told of each report."""
    if not settings.can_message_peers or column < 0:
        return 0
    price = settings.prices.peer
    bought = int(PEER_SPEND * 256 / (price * REPORT.size)) if price else PEERS_MOST
    return min(settings.balancer_count - 1, PEERS_MOST, bought)


class PeerReports:
    """Messages to and from other balancers."""

    def __init__(self, core: Context, members: Membership, table: LoadTable, tells: int) -> None:
        self.context, self.members, self.table, self.fanout = core, members, table, tells

    def send_report(self, s: BackendRecord, held: float) -> None:
        """Tell some peers, drawn anew each time, what a server has just reported; fewer while all idle."""
        numbers = (max(0, min(0xFFFF, round(x))) for x in (held, s.reported_service_ms))
        note = REPORT.pack(s.tag, *numbers)
        for _ in range(round(self.fanout * min(1.0, self.table.mean_load / 2))):
            peer = int(self.context.rng.random() * (self.context.settings.balancer_count - 1))
            self.context.actions.append(SendPeerMessage(peer + (peer >= self.context.settings.balancer_index), note))

    def on_peer_message(self, e: PeerMessageReceived) -> None:
        """What peers say may be lost, late or wrong: it sets entries of the load table and nothing else."""
        if len(e.payload) == REPORT.size:
            tag, held, service_ms = REPORT.unpack(e.payload)
            if tag in self.members.by_tag:
                self.table.record_report(self.context.now, self.members.by_tag[tag], held)
                self.table.record_service_time(self.members.by_tag[tag], service_ms)
