"""Peer reports: load reports that balancers share with each other if they can exchange messages."""

from __future__ import annotations

from struct import Struct

from ..interface import PeerMessageReceived, SendPeerMessage, Settings
from .context import Context
from .load_table import LoadTable
from .membership import Membership
from .records import BackendRecord

MAX_SPEND = 0.005  # limit of the cost of sharing reports, as a fraction of the value of responses
MAX_FANOUT = 32  # limit of the peers that receive a report
PRICE_UNIT_BYTES = 256  # message size to which `Prices.peer` refers
FULL_FANOUT_LOAD = 2  # mean load from which on each report goes to the full fanout; below it to proportionally fewer
REPORT = Struct(">IHH")  # hash of the backend's identity, load, service time in milliseconds
MAX_FIELD = 0xFFFF


def peer_fanout(settings: Settings, load_column: int | None) -> int:
    """Return the number of peers that receive a report at full fanout; 0 if reports are not shared."""
    if not settings.can_message_peers or load_column is None:
        return 0
    price = settings.prices.peer
    affordable = int(MAX_SPEND * PRICE_UNIT_BYTES / (price * REPORT.size)) if price else MAX_FANOUT
    return min(settings.balancer_count - 1, MAX_FANOUT, affordable)


class PeerReports:
    """Sends load reports to other balancers and records those that they send.

    Attributes:
        fanout: Number of peers that receive a report at full fanout; 0 if reports are not shared.
    """

    def __init__(self, context: Context, members: Membership, table: LoadTable, fanout: int) -> None:
        self._context, self._members, self._table, self.fanout = context, members, table, fanout

    def send_report(self, backend: BackendRecord, load: float) -> None:
        """Send a backend's new load report to random peers, to fewer of them while the mean load is low."""
        fields = (max(0, min(MAX_FIELD, round(field))) for field in (load, backend.reported_service_ms))
        payload = REPORT.pack(backend.id_hash, *fields)
        settings = self._context.settings
        for _ in range(round(self.fanout * min(1.0, self._table.mean_load / FULL_FANOUT_LOAD))):
            peer = int(self._context.rng.random() * (settings.balancer_count - 1))
            self._context.actions.append(SendPeerMessage(peer + (peer >= settings.balancer_index), payload))

    def on_peer_message(self, event: PeerMessageReceived) -> None:
        """Record a peer's report. It may be outdated or wrong, so it updates only the load table."""
        if len(event.payload) != REPORT.size:
            return
        id_hash, load, service_ms = REPORT.unpack(event.payload)
        backend = self._members.by_id_hash.get(id_hash)
        if backend is not None:
            self._table.record_report(self._context.now, backend, load)
            self._table.record_service_time(backend, service_ms)
