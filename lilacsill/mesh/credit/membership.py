"""The nodes that store accounts, by epoch, and the placement of accounts on them. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.hashing import rendezvous_select

MAX_PAST_EPOCHS = 8  # listed in a membership

Regions = dict[str, str]
"""The region of each node."""


class Placement(NamedTuple):
    """The nodes that store an account."""

    owner: str
    replica: str  # in another region if there is one; empty if there is no other node


def place_account(nodes: Regions, caller: str) -> Placement:
    """Return the owner and the replica of a caller's account, chosen by rendezvous hashing."""
    owner = rendezvous_select(caller, nodes, 1)[0]
    in_other_regions = [node for node, region in nodes.items() if region != nodes[owner]]
    others = in_other_regions or [node for node in nodes if node != owner]
    return Placement(owner, next(iter(rendezvous_select(caller, others, 1)), ""))


class PastEpoch(NamedTuple):
    """The nodes of an earlier epoch."""

    epoch: int
    nodes: Regions


class Membership(msgspec.Struct, frozen=True):
    """The nodes that store accounts in an epoch, and those of earlier epochs."""

    epoch: int
    nodes: Regions
    past: tuple[PastEpoch, ...] = ()  # latest last
    is_truncated: bool = False  # older epochs were dropped from `past`

    def place_account(self, caller: str) -> Placement:
        """Return the placement of a caller's account in this epoch."""
        return place_account(self.nodes, caller)

    def successor(self, nodes: Regions) -> Membership:
        """Return the membership of the next epoch."""
        past = (*self.past, PastEpoch(self.epoch, self.nodes))
        is_truncated = self.is_truncated or len(past) > MAX_PAST_EPOCHS
        return Membership(self.epoch + 1, nodes, past[-MAX_PAST_EPOCHS:], is_truncated)

    def nodes_by_epoch(self) -> dict[int, Regions]:
        """Return the nodes of each known epoch, latest last."""
        return {**{past.epoch: past.nodes for past in self.past}, self.epoch: self.nodes}
