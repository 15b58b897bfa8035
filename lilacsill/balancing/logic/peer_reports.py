"""PeerReports: what balancers tell each other of reports, where they may."""

from __future__ import annotations

from struct import Struct

from ..interface import PeerMessageReceived, SendPeerMessage, Settings
from .context import Core
from .load_table import LoadTable
from .membership import Membership
from .records import Server

PEER_SPEND, PEERS_MOST = 0.005, 32  # the most of the goal that telling may cost, and how many at once
NOTE = Struct(">IHH")  # what peers are told: a backend's tag, what it holds, its service time in ms


def peers_told(settings: Settings, column: int) -> int:
    """How many peers are told of each report."""
    if not settings.can_message_peers or column < 0:
        return 0
    price = settings.prices.peer
    bought = int(PEER_SPEND * 256 / (price * NOTE.size)) if price else PEERS_MOST
    return min(settings.balancer_count - 1, PEERS_MOST, bought)


class PeerReports:
    """Messages to and from other balancers."""

    def __init__(self, core: Core, members: Membership, table: LoadTable, tells: int) -> None:
        self.core, self.members, self.table, self.tells = core, members, table, tells

    def tell(self, s: Server, held: float) -> None:
        """Tell some peers, drawn anew each time, what a server has just reported; fewer while all idle."""
        numbers = (max(0, min(0xFFFF, round(x))) for x in (held, s.service))
        note = NOTE.pack(s.tag, *numbers)
        for _ in range(round(self.tells * min(1.0, self.table.mean / 2))):
            peer = int(self.core.rng.random() * (self.core.settings.balancer_count - 1))
            self.core.actions.append(SendPeerMessage(peer + (peer >= self.core.settings.balancer_index), note))

    def told(self, e: PeerMessageReceived) -> None:
        """What peers say may be lost, late or wrong: it sets entries of the load table and nothing else."""
        if len(e.payload) == NOTE.size:
            tag, held, service_ms = NOTE.unpack(e.payload)
            if tag in self.members.tags:
                self.table.holds(self.core.now, self.members.tags[tag], held)
                self.table.works(self.members.tags[tag], service_ms)
