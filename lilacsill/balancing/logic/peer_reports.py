"""Load reports that balancers share with each other, where they can exchange messages."""

from __future__ import annotations

from struct import Struct

from ..interface import PeerMessageReceived, SendPeerMessage, Settings
from .context import Context
from .load_table import LoadTable
from .membership import Membership
from .records import BackendRecord

MAX_SPEND = 0.005  # of the value of responses that sharing reports may cost
MAX_FANOUT = 32  # peers that receive one report
PRICED_BYTES = 256  # unit of `Prices.peer`
BUSY_LOAD = 2  # mean load from which on each report goes to all peers of the fanout
REPORT = Struct(">IHH")  # tag of the backend, its load, its service time in milliseconds
MAX_FIELD = 0xFFFF


def peer_fanout(settings: Settings, load_column: int | None) -> int:
    """Return how many peers receive each report; 0 if none does."""
    if not settings.can_message_peers or load_column is None:
        return 0
    price = settings.prices.peer
    affordable = int(MAX_SPEND * PRICED_BYTES / (price * REPORT.size)) if price else MAX_FANOUT
    return min(settings.balancer_count - 1, MAX_FANOUT, affordable)


class PeerReports:
    """Sends reports to other balancers and takes over theirs.

    Attributes:
        fanout: Peers that receive each report; 0 if none does.
    """

    def __init__(self, context: Context, members: Membership, table: LoadTable, fanout: int) -> None:
        self._context, self._members, self._table, self.fanout = context, members, table, fanout

    def send_report(self, backend: BackendRecord, load: float) -> None:
        """Send what a backend has just reported to random peers, to fewer of them while the fleet is idle."""
        fields = (max(0, min(MAX_FIELD, round(field))) for field in (load, backend.reported_service_ms))
        payload = REPORT.pack(backend.tag, *fields)
        settings = self._context.settings
        for _ in range(round(self.fanout * min(1.0, self._table.mean_load / BUSY_LOAD))):
            peer = int(self._context.rng.random() * (settings.balancer_count - 1))
            self._context.actions.append(SendPeerMessage(peer + (peer >= settings.balancer_index), payload))

    def on_peer_message(self, event: PeerMessageReceived) -> None:
        """Take over a report. It may be late or wrong, so it updates the load table and nothing else."""
        if len(event.payload) != REPORT.size:
            return
        tag, load, service_ms = REPORT.unpack(event.payload)
        backend = self._members.by_tag.get(tag)
        if backend is not None:
            self._table.record_report(self._context.now, backend, load)
            self._table.record_service_time(backend, service_ms)
