"""Planted defects of leases and ages: each takes one guard away. They are patches, and stand nowhere in the product."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lilacsill.mesh.proxy.discovery import DiscoveryClient
from lilacsill.mesh.registry.config_follower import ConfigFollower
from lilacsill.mesh.runtime import freshness
from lilacsill.mesh.runtime.freshness import FreshnessTracker
from lilacsill.mesh.runtime.messages import Accept, Freshness, HeartbeatReply, Message, Prepare
from lilacsill.mesh.store.commit_check import CommitCheck
from lilacsill.mesh.store.lease_manager import LeaseManager
from lilacsill.mesh.store.leases import LEASE_US, LeaseGrantor, LeaseHolder

Patch = pytest.MonkeyPatch
Replier = Callable[[Message], None]


def voters_do_not_wait_for_leases(patch: Patch) -> None:
    def accept(self: LeaseManager, message: Accept, reply: Replier) -> None:
        self._replica.acceptor.accept(self._replica.view, message, reply)

    patch.setattr(LeaseManager, "accept", accept)


def a_lease_is_counted_from_the_answer(patch: Patch) -> None:
    def on_lease_granted(self: LeaseManager, message: HeartbeatReply, requested_at_us: int) -> None:
        real(self, message, self._environment.now())

    real = LeaseManager.on_lease_granted
    patch.setattr(LeaseManager, "on_lease_granted", on_lease_granted)


def a_lease_never_ends_for_its_holder(patch: Patch) -> None:
    def remaining_us(self: LeaseHolder, view: Any, me: Any, now: int) -> int:
        return LEASE_US if 2 * len(self._ends.keys() & {*view.members}) >= len(view.members) - 1 else 0

    patch.setattr(LeaseHolder, "remaining_us", remaining_us)


def one_lease_is_enough(patch: Patch) -> None:
    def remaining_us(self: LeaseHolder, view: Any, me: Any, now: int) -> int:
        return max((end - now for end in self._ends.values()), default=0)

    patch.setattr(LeaseHolder, "remaining_us", remaining_us)


def a_restarted_voter_forgets_its_grants(patch: Patch) -> None:
    def init(self: LeaseGrantor, started_at: int) -> None:
        real(self, started_at)
        self._unknown_until_us = 0

    real = LeaseGrantor.__init__
    patch.setattr(LeaseGrantor, "__init__", init)


def the_old_rule_of_recent_answers(patch: Patch) -> None:
    """As it was before leases: a majority answered within 0.45 s of now, and nobody promised anything."""
    voters_do_not_wait_for_leases(patch)
    a_lease_is_counted_from_the_answer(patch)

    def prepare(self: LeaseManager, message: Prepare, reply: Replier) -> None:
        self._replica.acceptor.prepare(self._replica.view, message, reply)

    patch.setattr(LeaseManager, "prepare", prepare)


def any_heartbeat_gives_up_a_lease(patch: Patch) -> None:
    patch.setattr(LeaseGrantor, "release", lambda self, holder, promised: self._grants.pop(holder, None))


def a_holder_keeps_what_it_gave_up(patch: Patch) -> None:
    patch.setattr(LeaseHolder, "release_all", lambda self, now: None)


def refusals_need_nobody(patch: Patch) -> None:
    patch.setattr(CommitCheck, "confirm", lambda self, done: done(True))


def the_age_told_is_ignored(patch: Patch) -> None:
    def known_true_at(received: Freshness, requested_at: int) -> int:
        return real(Freshness(0, received.pending_ms), requested_at)

    real = freshness.known_true_at
    patch.setattr(freshness, "known_true_at", known_true_at)


def registries_date_by_arrival(patch: Patch) -> None:
    def on_reply(self: ConfigFollower, requested_at: int, reply: Message | None) -> None:
        real(self, self._environment.now(), reply)

    real = ConfigFollower._on_reply
    patch.setattr(ConfigFollower, "_on_reply", on_reply)


def proxies_date_by_arrival(patch: Patch) -> None:
    def on_reply(self: DiscoveryClient, registry: str, number: int, asked_at: int, reply: Message | None) -> None:
        real(self, registry, number, self._environment.now(), reply)

    real = DiscoveryClient._on_reply
    patch.setattr(DiscoveryClient, "_on_reply", on_reply)


def a_proof_is_current_for_ever(patch: Patch) -> None:
    patch.setattr(FreshnessTracker, "is_current", lambda self, now: self._true_at is not None)


# Each with the scenarios of `test_point_1_leases` that find it.
DEFECTS = {
    voters_do_not_wait_for_leases: "sudden",
    a_lease_is_counted_from_the_answer: "standing still",
    a_lease_never_ends_for_its_holder: "cuts",
    one_lease_is_enough: "cuts",
    a_restarted_voter_forgets_its_grants: "sudden",
    the_old_rule_of_recent_answers: "sudden",
    any_heartbeat_gives_up_a_lease: "votes",
    a_holder_keeps_what_it_gave_up: "votes",
    refusals_need_nobody: "cuts",
    the_age_told_is_ignored: "sudden",
    registries_date_by_arrival: "registries alone",
    proxies_date_by_arrival: "proxies standing still",
    a_proof_is_current_for_ever: "registries alone",
}
