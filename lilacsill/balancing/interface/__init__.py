"""Public types of the decision library: settings, input events and output actions.

All times are integer microseconds on one monotonic clock that the caller passes in.
"""

from __future__ import annotations

from .actions import Action as Action
from .actions import Cancel as Cancel
from .actions import Fail as Fail
from .actions import Fetch as Fetch
from .actions import Log as Log
from .actions import Probe as Probe
from .actions import Reject as Reject
from .actions import Send as Send
from .actions import SendPeerMessage as SendPeerMessage
from .actions import SetTimer as SetTimer
from .actions import Watch as Watch
from .backends import NEVER_RAN as NEVER_RAN
from .backends import Backend as Backend
from .backends import BackendEstimate as BackendEstimate
from .backends import BackendId as BackendId
from .backends import BackendState as BackendState
from .backends import DiscoveryMode as DiscoveryMode
from .backends import ListKind as ListKind
from .backends import Outcome as Outcome
from .events import AttemptEnded as AttemptEnded
from .events import BackendsChanged as BackendsChanged
from .events import ClientDisconnected as ClientDisconnected
from .events import Event as Event
from .events import FleetChanged as FleetChanged
from .events import LatencyModelRestored as LatencyModelRestored
from .events import MaintenanceChanged as MaintenanceChanged
from .events import PeerHealthChanged as PeerHealthChanged
from .events import PeerMessageReceived as PeerMessageReceived
from .events import ProbeEnded as ProbeEnded
from .events import RequestArrived as RequestArrived
from .events import StreamStarted as StreamStarted
from .events import TenantChanged as TenantChanged
from .events import TimerFired as TimerFired
from .events import UploadChanged as UploadChanged
from .settings import DedupScope as DedupScope
from .settings import Idempotency as Idempotency
from .settings import Prices as Prices
from .settings import RequestClass as RequestClass
from .settings import Settings as Settings
from .settings import Tenant as Tenant
