"""One machine of the store: its components and the message handlers. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import (
    Accept,
    Claim,
    Confirm,
    Follow,
    Heartbeat,
    Item,
    Member,
    Message,
    Patch,
    Prepare,
    Read,
    Replicate,
    SummaryRequest,
    TokenRequest,
    View,
    ViewChange,
)
from lilacsill.mesh.runtime.settings import TimingBounds

from . import facts
from .chain import Chain
from .cluster_monitor import FaultTolerance
from .commit_check import CommitCheck
from .environment import ReplicaEnvironment, Save, ignore_completion
from .followers import Followers
from .frontend import Frontend
from .lease_manager import LeaseManager
from .membership import Membership
from .operation_claims import OperationClaims
from .paxos import AcceptorState
from .quotas import StoreQuotas
from .replica import NO_VIEW, Replica

FIRST_INCARNATION = "first"  # incarnation of the disks of the seeds when the whole system starts for the first time

Handler = Callable[[Any, Callable[[Message], None]], None]


class StoreSettings(msgspec.Struct, frozen=True):
    """The settings of one machine of the store.

    Attributes:
        address: Control address of this machine.
        seeds: Control addresses of the machines to contact first.
        fresh_start: Whether the whole system starts for the first time, so that the seeds form the first view.
        new_incarnation: Incarnation of this machine's disk if the disk is empty.
        max_lost_machines: The number of machines that may be lost at the same time.
        max_lost_zones: The number of zones or regions that may be lost at the same time.
        timing: The bounds on what all proxies share, such as quotas and the records of operations.
    """

    address: str
    seeds: list[str]
    fresh_start: bool
    new_incarnation: str
    max_lost_machines: int
    max_lost_zones: int = 0
    timing: TimingBounds = TimingBounds()


class DiskContents(msgspec.Struct, frozen=True):
    """The contents of the disk when the process starts."""

    items: Iterable[Item]
    facts: facts.Facts


class Store:
    """One machine of the store. It is the observer of its chain."""

    def __init__(self, environment: ReplicaEnvironment, settings: StoreSettings, disk: DiskContents) -> None:
        self.replica = replica = recover(environment, settings, disk)
        self.chain = chain = Chain(replica, self)
        self.lease_manager = lease_manager = LeaseManager(replica, self._on_leases_released)
        tolerance = FaultTolerance(settings.max_lost_machines, settings.max_lost_zones)
        self.membership = membership = Membership(replica, chain, lease_manager, settings.seeds, tolerance)
        commit_check = CommitCheck(replica)
        self.frontend = frontend = Frontend(replica, chain, commit_check)
        self.operation_claims = claims = OperationClaims(replica, chain, commit_check, settings.timing.key_window_us)
        self.followers = followers = Followers(replica, chain, membership)
        self.quotas = StoreQuotas(replica, lease_manager, settings.timing)
        self.handlers: dict[type, Handler] = {
            Heartbeat: membership.handle_heartbeat,
            ViewChange: membership.handle_view_change,
            SummaryRequest: chain.predecessor.handle_summary_request,
            Replicate: chain.predecessor.handle_replicate,
            Patch: frontend.handle_patch,
            Read: frontend.handle_read,
            Follow: followers.handle_follow,
            Confirm: frontend.handle_confirm,
            Claim: claims.handle_claim,
            Prepare: lease_manager.prepare,
            Accept: lease_manager.accept,
            TokenRequest: self.quotas.owner.handle_token_request,
        }

    def start(self) -> None:
        """Begin to replicate and to send heartbeats."""
        self.chain.start()
        self.membership.start()
        self.operation_claims.start()

    def _on_leases_released(self) -> None:
        self.membership.on_leases_released()

    # `ChainObserver`

    def on_commit(self) -> None:
        """Publish committed changes to the followers."""
        self.followers.publish()

    def on_writable(self) -> None:
        """Replicate the calls and claims that are queued at the head."""
        self.frontend.append_waiting_calls()
        self.operation_claims.append_waiting_claims()

    def on_learner_synced(self) -> None:
        """Start to synchronise the next learner."""
        self.membership.on_learner_synced()


def recover(environment: ReplicaEnvironment, settings: StoreSettings, disk: DiskContents) -> Replica:
    """Return the replica that is stored on the disk.

    With an empty disk this is a new machine that has no view yet, except that at the first start of the whole system
    the seeds form the first view.
    """
    min_copies = FaultTolerance(settings.max_lost_machines, settings.max_lost_zones).min_copies
    stored = facts.read(disk.facts, settings.address)
    if stored is not None:
        return Replica(environment, stored, disk.items, min_copies)
    is_initial_member = settings.fresh_start and settings.address in settings.seeds
    me = Member(settings.address, FIRST_INCARNATION if is_initial_member else settings.new_incarnation)
    view = View(0, initial_members(settings.seeds)) if is_initial_member else NO_VIEW
    new = facts.StoredReplica(me, view, is_initial_member, 0, 0, AcceptorState(), facts.NEVER_COMPLETE)
    replica = Replica(environment, new, (), min_copies)
    identity = {**replica.view_facts(), **facts.incarnation(me), **facts.sequence(0)}
    environment.save(Save(facts=identity), ignore_completion)
    return replica


def initial_members(seeds: list[str]) -> tuple[Member, ...]:
    """Return the members of the first view."""
    return tuple(Member(seed, FIRST_INCARNATION) for seed in sorted(seeds))
