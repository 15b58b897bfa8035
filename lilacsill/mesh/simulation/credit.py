"""Burst credit in virtual time: regions 55 ms apart, nodes that keep accounts, proxies that spend, callers that move.

Judged: what each caller spends, wherever, is what one token bucket of its contract allows in every window. Faults by
seed: cuts between regions, one-way cuts, kills, restarts, freezes, changes of the roster, of a tier.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from lilacsill.mesh.credit.account_owner import AccountOwner
from lilacsill.mesh.credit.allowance import MAX_WAIT_US, Allowance, Payment
from lilacsill.mesh.credit.contract import Contracts, Tier
from lilacsill.mesh.credit.membership import Membership
from lilacsill.mesh.credit.messages import Handover, LeaseGrant, LeaseRejection, LeaseRequest, Message, Mirror
from lilacsill.mesh.runtime.callbacks import once

from .network import MS, SECOND, Time
from .store_fleet import RuleBroken

NEAR_US, FAR_US = 1 * MS, 55 * MS
REGIONS = ("one", "two", "three")
TICK_US, CONFIRM_US, WANT_US = 50 * MS, 250 * MS, 900 * MS
FAULTS = ("cut", "one_way", "alone", "alone", "kill", "freeze", "roster", "usurp", "lost", "tier")


class Node:
    """One machine: a home of accounts, or a proxy with a allowance."""

    def __init__(self, street: Street, name: str, region: str) -> None:
        self.street, self.name, self.region = street, name, region
        self.run_number = 0
        self.frozen_until = 0
        self.home: AccountOwner | None = None
        self.allowance: Allowance | None = None
        self.waiting: dict[str, list[tuple[float, int]]] = {}  # requests: cost, until when

    # The world of what runs here

    def now(self) -> int:
        """Return the time in microseconds."""
        return self.street.time.now

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call something later, unless the node has ended by then."""
        self.street.time.after(delay_us, self._here(call), *arguments)

    def ask(self, node: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """Send a request to another node; `answered` is called once, with None after the time-out."""
        back = self._here(once(answered))
        self.street.time.after(timeout_us, back, None)
        self.street.carry(self.name, node, lambda: self.street.nodes[node].take(self.name, message, back))

    def take(self, sender: str, message: Message, back: Callable[..., None]) -> None:
        """Handle a request of another node."""

        def reply(answer: Message) -> None:
            self.street.carry(self.name, sender, lambda: back(answer))

        def handle() -> None:
            home = self.home
            if home is None:
                return
            if isinstance(message, LeaseRequest):
                home.handle_lease_request(message, reply)
            elif isinstance(message, Mirror):
                home.handle_mirror(message, reply)
            elif isinstance(message, Handover):
                home.handle_handover(message, reply)

        self._here(handle)()

    def _here(self, call: Callable[..., None]) -> Callable[..., None]:
        run_number = self.run_number

        def run(*arguments: Any) -> None:
            if self.run_number != run_number:
                return None
            if self.now() < self.frozen_until:
                return self.street.time.at(self.frozen_until, run, *arguments)
            call(*arguments)
            return None

        return run

    def begins(self, first: bool = False) -> None:
        """Start the process of this node; `first`: it has never run before."""
        self.run_number += 1
        if self.name.startswith("home"):
            self.home = AccountOwner(self, self.name, self.street.contracts, self.street.roster, first)
            self._confirm()
        else:
            self.allowance = Allowance(f"{self.name}/{self.run_number}")
            self._tick()

    def ends(self) -> None:
        """End the process of this node, with its memory."""
        self.run_number += 1
        self.home = self.allowance = None
        self.waiting.clear()

    def _confirm(self) -> None:
        """Asks the core, as for news: which epoch stands."""
        self.after(CONFIRM_US, self._confirm)
        asked_at = self.now()

        def answered(roster: Membership) -> None:
            assert self.home is not None
            self.home.contracts = self.street.contracts
            self.home.enter_epoch(roster)
            self.home.on_epoch_confirmed(roster.epoch, asked_at)

        back = self._here(answered)
        street = self.street
        street.carry(self.name, "core", lambda: street.carry("core", self.name, partial(back, street.roster)))

    def _tick(self) -> None:
        self.after(TICK_US, self._tick)
        self.check()

    def check(self) -> None:
        """Ask for what is lacking."""
        allowance, roster = self.allowance, self.street.known.get(self.name, self.street.roster)
        if allowance is None:
            return
        for want in allowance.due_requests(self.now()):
            home = roster.place_account(want.caller).owner
            self.ask(home, want, WANT_US, partial(self._granted, allowance, want.caller))

    def _granted(self, allowance: Allowance, caller: str, message: Message | None) -> None:
        if isinstance(message, LeaseGrant | LeaseRejection):
            allowance.on_answer(caller, message, self.now())
            waiting = self.waiting.pop(caller, [])
            for cost, until in waiting:
                self.street.spend(caller, self, cost, until)


class Street:
    """Three regions, each with homes and proxies."""

    def __init__(self, seed: int, contracts: Contracts, homes: int = 2, proxies: int = 2) -> None:
        self.time, self.rng, self.contracts = Time(), Random(seed), contracts
        self.nodes: dict[str, Node] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.alone: set[str] = set()  # nodes that nothing reaches and that reach nothing
        self.known: dict[str, Membership] = {}  # proxies that believe in an older one
        self.sent = 0
        for region in REGIONS:
            for i in range(homes):
                self.nodes[f"home-{region}-{i}"] = Node(self, f"home-{region}-{i}", region)
            for i in range(proxies):
                self.nodes[f"proxy-{region}-{i}"] = Node(self, f"proxy-{region}-{i}", region)
        self.roster = Membership(0, {n: node.region for n, node in self.nodes.items() if n.startswith("home")})
        self.spent: dict[str, list[tuple[int, float]]] = {}
        self.asked: dict[str, dict[str, list[int]]] = {}  # caller, region: asked, admitted, waited
        for node in self.nodes.values():
            node.begins(first=True)

    @property
    def proxies(self) -> list[Node]:
        """The nodes that spend credit."""
        return [n for n in self.nodes.values() if n.name.startswith("proxy")]

    @property
    def homes(self) -> list[Node]:
        """The nodes that keep accounts."""
        return [n for n in self.nodes.values() if n.name.startswith("home")]

    def carry(self, first: str, second: str, arrive: Callable[[], None]) -> None:
        """The core is in the first region."""
        self.sent += 1
        one, other = ((self.nodes[n].region if n in self.nodes else REGIONS[0]) for n in (first, second))
        if (
            (one, other) in self.partitions
            or (first, second) in self.partitions
            or first in self.alone
            or second in self.alone
        ):
            return
        delay = NEAR_US if one == other else FAR_US
        self.time.after(delay + self.rng.randrange(delay), arrive)

    def spend(self, caller: str, proxy: Node, cost: float = 1.0, until: int = 0) -> None:
        """One request; `until`: it has waited already, and does no longer."""
        if proxy.allowance is None or self.time.now < proxy.frozen_until:
            return
        tier = self.contracts.tier(caller)
        result = proxy.allowance.spend(caller, tier, cost, self.time.now)
        counts = self.asked.setdefault(caller, {}).setdefault(proxy.region, [0, 0, 0])
        counts[0] += not until
        if result.payment is Payment.PAID:
            counts[1] += 1
            self.spent.setdefault(caller, []).append((self.time.now, cost))
        elif result.payment is Payment.PENDING and (not until or self.time.now < until):
            counts[2] += not until
            proxy.waiting.setdefault(caller, []).append((cost, until or self.time.now + MAX_WAIT_US))
        if result.payment is not Payment.PAID:
            proxy.check()

    def over(self, caller: str, tier: Tier) -> float:
        """The most that was spent of what the contract allows in the worst window; 1 is all of it."""
        level, at, worst = tier.burst, 0, 0.0
        for now, cost in self.spent.get(caller, []):
            level = min(tier.burst, level + tier.rate * (now - at) / 1e6) - cost
            at = now
            worst = max(worst, (tier.burst - level) / tier.burst)
        return worst


class Day:
    """One schedule: callers that move, and faults."""

    def __init__(self, seed: int, faults: int = 6, length_s: int = 30) -> None:
        self.rng = Random(seed)
        big, small = Tier("big", 20.0, 60.0, {}), Tier("small", 5.0, 10.0, {})
        self.tiers = {"big": big, "small": small}
        callers = dict.fromkeys(("c0", "c1", "c3"), "big")
        self.street = Street(seed, Contracts(b"caller-key", self.tiers, callers, "small"))
        self._length, self._faults = length_s * SECOND, faults
        self.story: list[str] = []
        self.steady = True  # no tier was changed
        self._used: dict[str, Node] = {}  # by caller: where it was last

    def play(self) -> None:
        """Raises RuleBroken."""
        time = self.street.time
        until = time.now + self._length
        for caller in ("c0", "c0", "c1", "c1", "c2"):  # two clients at once, of which each moves
            self._ask(caller, until, self.rng.choice(self.street.proxies))
        for began in (3 * SECOND, 15 * SECOND):
            time.after(began + self.rng.randrange(5 * SECOND), self._rush)
        for _ in range(self._faults):
            time.at(time.now + self.rng.randrange(self._length), self._fault)
        time.run(until)
        for caller in self.street.spent:
            over = self.street.over(caller, self.tiers[self.street.contracts.callers.get(caller, "small")])
            if over > 1 + 1e-6:
                raise RuleBroken(f"{caller} has spent {over:.3f} of what it may in some window")

    def _ask(self, caller: str, until: int, at: Node) -> None:
        """Busy by turns, and now and then elsewhere."""
        time, rng = self.street.time, self.rng
        if time.now >= until:
            return
        if rng.random() < 0.05:
            at = rng.choice(self.street.proxies)
        self._used = {**self._used, caller: at}
        self.street.spend(caller, at)
        pause = rng.randrange(3 * SECOND) if rng.random() < 0.01 else rng.randrange(20 * MS)
        time.after(pause, self._ask, caller, until, at)

    def _fault(self) -> None:
        kind = self.rng.choice(FAULTS)
        for_us = 300 * MS + self.rng.randrange(5 * SECOND)
        homes = list(self.street.roster.nodes)
        self.story.append(f"{self.street.time.now} {kind} {for_us}")
        if kind in ("cut", "one_way"):
            self._partition_regions(kind, for_us)
        elif kind in ("kill", "lost"):
            self._kill(kind, for_us)
        elif kind in ("alone", "freeze"):
            self._isolate(kind, for_us)
        elif kind in ("roster", "usurp"):
            self._replace_home(kind, homes, for_us)
        elif kind == "tier" and self.steady:
            self._lower_tier()

    def _partition_regions(self, kind: str, for_us: int) -> None:
        one, other = self.rng.sample(REGIONS, 2)
        partition = {(one, other)} | ({(other, one)} if kind == "cut" else set())
        self.street.partitions |= partition
        self.street.time.after(for_us, self.street.partitions.difference_update, partition)

    def _kill(self, kind: str, for_us: int) -> None:
        """End a holder, a home, or two of them at once: a pair may go."""
        struck = self.rng.sample([*self.street.homes, *self._used.values()], 1 if kind == "kill" else 2)
        for node in struck:
            node.ends()
            self.street.time.after(for_us if self.rng.random() < 0.5 else 100 * MS, self._back, node)

    def _isolate(self, kind: str, for_us: int) -> None:
        street, time = self.street, self.street.time
        if kind == "freeze":
            self.rng.choice([*street.homes, *self._used.values()]).frozen_until = time.now + for_us
            return
        node = self.rng.choice([*self._used.values()] * 2 + street.homes)
        street.alone.add(node.name)
        time.after(for_us, street.alone.discard, node.name)

    def _replace_home(self, kind: str, homes: list[str], for_us: int) -> None:
        street, time, rng = self.street, self.street.time, self.rng
        gone = rng.choice([*homes, street.roster.place_account("c0").owner, street.roster.place_account("c1").owner])
        nodes = {n: r for n, r in street.roster.nodes.items() if n != gone}
        if len(nodes) < 2:
            return
        if kind == "usurp":
            # It does not hear of that, and some proxies do not either.
            partition = {(gone, "core"), ("core", gone)}
            street.partitions |= partition
            for proxy in rng.sample(street.proxies, 3):
                street.known[proxy.name] = street.roster
                time.after(2 * SECOND, self._hears, proxy.name)
            time.after(for_us, street.partitions.difference_update, partition)
        street.roster = street.roster.successor(nodes)
        time.after(for_us, self._rejoin, gone)

    def _lower_tier(self) -> None:
        """Lower the tier of another caller: what it had saved must not show up here."""
        street = self.street
        low = Tier("small", 5.0, 6.0, {})
        street.contracts = Contracts(b"caller-key", {**self.tiers, "small": low}, street.contracts.callers, "small")

    def _hears(self, proxy: str) -> None:
        self.street.known.pop(proxy, None)

    def _rush(self) -> None:
        """Send all at once for a caller that was quiet.

        Its proxy falls out of reach with the lease in hand, and the caller goes on elsewhere when that has ended.
        """
        street, time, rng = self.street, self.street.time, self.rng
        here, there = rng.sample(street.proxies, 2)
        for i in range(100):
            time.after(i * 15 * MS, street.spend, "c3", here)
            time.after(3 * SECOND + i * 15 * MS, street.spend, "c3", there)
        if rng.random() < 0.7:
            time.after(200 * MS + rng.randrange(500 * MS), street.alone.add, here.name)
            time.after(7 * SECOND, street.alone.discard, here.name)

    def _rejoin(self, name: str) -> None:
        roster = self.street.roster
        self.street.roster = roster.successor({**roster.nodes, name: self.street.nodes[name].region})

    def _back(self, node: Node) -> None:
        if node.home is None and node.allowance is None:
            node.begins()
