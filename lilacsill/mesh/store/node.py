"""One copy of the store whole: what its disk holds, the parts wired, which message goes to which. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import (
    Accept,
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
    View,
    ViewChange,
)

from .chain import Chain
from .environment import Environment, Save
from .fencing import Fence
from .followers import Followers
from .frontend import Frontend
from .membership import Membership
from .paxos import AcceptorState
from .replica import NO_VIEW, Replica

FIRST_INCARNATION = "first"  # incarnation of a disk that was empty when the whole system first started


class Store:
    """One copy."""

    def __init__(
        self,
        environment: Environment,
        address: str,
        seeds: list[str],
        fresh: bool,
        stranger: str,
        items: Iterable[Item],
        facts: dict[str, bytes],
        lost_machines: int,
        lost_places: int = 0,
    ) -> None:
        """`stranger`: the incarnation for a disk that is empty now; `fresh`: at the very first start of all."""
        self.replica = replica = recall(environment, address, seeds, fresh, stranger, items, facts)
        self.chain = chain = Chain(replica)
        self.fence = fence = Fence(replica)
        self.membership = membership = Membership(replica, chain, fence, seeds)
        membership.lost_machines, membership.lost_places = lost_machines, lost_places
        self.frontend = frontend = Frontend(replica, chain)
        followers = Followers(replica, chain, membership)
        self.handlers: dict[type, Callable[[Any, Callable[[Message], None]], None]] = {
            Heartbeat: membership.hello,
            ViewChange: membership.agreed,
            SummaryRequest: chain.handle_summary_request,
            Replicate: chain.handle_replicate,
            Patch: frontend.patch,
            Read: frontend.read,
            Follow: followers.follow,
            Confirm: frontend.confirm,
            Prepare: fence.prepare,
            Accept: fence.accept,
        }

    def start(self) -> None:
        self.chain.start()
        self.membership.start()


def recall(
    environment: Environment,
    address: str,
    seeds: list[str],
    fresh: bool,
    stranger: str,
    items: Iterable[Item],
    facts: dict[str, bytes],
) -> Replica:
    """What the disk holds; an empty one makes a stranger, but for the seeds of the very first start."""
    if "incarnation" in facts:
        me = Member(address, facts["incarnation"].decode())
        view = msgspec.msgpack.decode(facts["view"], type=View)
        acceptor_state = (
            msgspec.msgpack.decode(facts["accord"], type=AcceptorState) if "accord" in facts else AcceptorState()
        )
        return Replica(
            environment,
            me,
            view,
            facts["whole"] == b"1",
            acceptor_state,
            items,
            int(facts["seq"]),
            int(facts.get("floor", 0)),
        )
    first = fresh and address in seeds
    me = Member(address, FIRST_INCARNATION if first else stranger)
    view = View(0, tuple(Member(s, FIRST_INCARNATION) for s in sorted(seeds))) if first else NO_VIEW
    replica = Replica(environment, me, view, first, AcceptorState(), (), 0)
    environment.save(
        Save(facts={**replica.view_facts(), "incarnation": me.incarnation.encode(), "seq": b"0"}), lambda: None
    )
    return replica
