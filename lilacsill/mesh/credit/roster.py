"""The nodes that keep accounts, by epoch, and which of them have which account. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.hashing import rendezvous_select

MAX_PAST_EPOCHS = 8  # that a roster lists

Regions = dict[str, str]
"""The region of each node."""


class Placement(NamedTuple):
    """Where an account is."""

    home: str
    replica: str  # in another region where there is one; empty: there is no other node


def place_account(nodes: Regions, caller: str) -> Placement:
    """Return the home node of a caller's account and its replica, by rendezvous hashing."""
    home = rendezvous_select(caller, nodes, 1)[0]
    elsewhere = [node for node, region in nodes.items() if region != nodes[home]]
    others = elsewhere or [node for node in nodes if node != home]
    return Placement(home, next(iter(rendezvous_select(caller, others, 1)), ""))


class PastEpoch(NamedTuple):
    """The nodes of an earlier epoch."""

    epoch: int
    nodes: Regions


class Roster(msgspec.Struct, frozen=True):
    """The nodes that keep accounts in an epoch, and those of the epochs before."""

    epoch: int
    nodes: Regions
    past: tuple[PastEpoch, ...] = ()  # the latest last
    is_truncated: bool = False  # there were more

    def place_account(self, caller: str) -> Placement:
        """Return where a caller's account is in this epoch."""
        return place_account(self.nodes, caller)

    def successor(self, nodes: Regions) -> Roster:
        """Return the roster of the next epoch."""
        past = (*self.past, PastEpoch(self.epoch, self.nodes))
        is_truncated = self.is_truncated or len(past) > MAX_PAST_EPOCHS
        return Roster(self.epoch + 1, nodes, past[-MAX_PAST_EPOCHS:], is_truncated)

    def all_epochs(self) -> dict[int, Regions]:
        """Return the nodes of each epoch that is known, the latest last."""
        return {**{past.epoch: past.nodes for past in self.past}, self.epoch: self.nodes}
