"""Operators' orders under trouble: one number with two contents, orders sent again, eight at once, refusals that race.

    python -m lilacsill.mesh.simulation orders [--count=N] [--first=SEED]

Each scenario raises RuleBroken when a rule is broken; the judge is `order_history`.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import CallerCheck, CallerCheckReply, CallOrigin, Message, Patch, Reply

from .network import MS, SECOND, Machine
from .order_history import Caller, History
from .store_fleet import Fleet, Operator, RuleBroken, begun, put, route

LOSSES = ("none", "kill head", "power head", "wipe head", "kill tail", "wipe tail", "power all")
LATER = ("none", "newer", "dropped", "service dropped", "place taken")
AWAY_US, BACK_US = 2 * SECOND, 4 * SECOND


def service(name: str, version: int) -> dict[str, Any]:
    """Return a service as an operator's call names it."""
    return {"Name": name, "ConfigVersion": f"r{version}", "HealthPath": "/h", "MaxConnections": 9}


def with_services(body: dict[str, Any], sets: list[tuple[str, int]], drops: list[tuple[str, int]]) -> dict[str, Any]:
    """Add services that are set and dropped to a call."""
    if sets:
        body.setdefault("ReplaceItems", {})["Groups"] = [service(*s) for s in sets]
    if drops:
        body.setdefault("RemoveItems", {})["ServiceList"] = [{"Name": n, "ConfigVersion": f"r{v}"} for n, v in drops]
    return body


def opened(seed: int, callers: int = 1) -> tuple[Fleet, list[Caller]]:
    """Services s and t stand, and routes r and other."""
    fleet, operator = begun(seed, [route("r", 1, "/r/"), route("other", 1, "/other/")])
    history = History()
    made = [Caller(fleet, history, Operator(fleet, f"caller{i}").machine) for i in range(callers)]
    first = put([route("r", 1, "/r/"), route("other", 1, "/other/")], first=True)
    answers = made[0].recover([(addresses(fleet)[0], first), (addresses(fleet)[0], with_services({}, [("t", 1)], []))])
    if answers != [200, 200]:
        raise RuleBroken(f"the first orders are answered {answers}")
    return fleet, made


def addresses(fleet: Fleet) -> list[str]:
    """Return the addresses of the stores that run."""
    return [a for a in fleet.up() if a in fleet.stores]


def members(fleet: Fleet) -> list[str]:
    """Of the newest view, head first."""
    newest = max((fleet.stores[a].replica.view for a in addresses(fleet)), key=lambda view: view.number)
    return [m.address for m in newest.members]


def run(fleet: Fleet, us: int) -> None:
    """Let so many microseconds pass."""
    fleet.net.time.run(fleet.net.time.now + us)


def expect(caller: Caller, to: str, body: dict[str, Any], status: int) -> None:
    """Send a call, and check the status of its clear answer."""
    found = caller.recover([(to, body)])[0]
    if found != status:
        raise RuleBroken(f"{found} for {status} at {to}: {msgspec.json.encode(body).decode()}")


def strike(fleet: Fleet, loss: str) -> Callable[[], None]:
    """Brings the loss about. Returns what brings the lost machines back."""
    if loss == "none":
        return lambda: None
    how, who = loss.split()
    lost = {"head": members(fleet)[:1], "tail": members(fleet)[-1:], "all": addresses(fleet)}[who]
    for address in lost:
        machine = fleet.net.machines[address]
        machine.end(power=how != "kill")
        if how == "wipe":
            machine.disk.wiped()

    def back() -> None:
        for address in lost:
            fleet.start(address)

    if who == "all":
        back()
    return back if who != "all" else lambda: None


def two_contents_under_one_number(seed: int) -> None:
    """Two operators, one number, two contents: at once, one after the other, and long after."""
    fleet, (one, two) = opened(seed, 2)
    rng = Random(seed)
    contents = [put([route("r", 5, "/r/", "s")]), put([route("r", 5, "/r/", "t")]), put([], [("r", 5)])]
    mine, yours = rng.sample(contents, 2)
    first, second = rng.sample(addresses(fleet), 2)
    one.send(first, mine)
    two.send(second, yours)
    run(fleet, 2 * SECOND)
    report = [one.recover([(second, mine)])[0], two.recover([(first, yours)])[0]]
    if sorted(report) != [200, 409]:
        raise RuleBroken(f"two contents under one number are told {report}")
    one.recover([(first, put([route("r", 7, "/r/")]))])
    repeated_report = [one.recover([(first, mine)])[0], two.recover([(second, yours)])[0]]
    if repeated_report != report:
        raise RuleBroken(f"told {report}, and after a later version {repeated_report}")
    # A number that was overtaken before it was ever sent: it changes nothing, and still stands for one content.
    expect(one, first, put([route("r", 6, "/r/", "s")]), 200)
    expect(two, second, put([route("r", 6, "/r/", "t")]), 409)
    expect(one, second, put([route("r", 6, "/r/", "s")]), 200)
    one.read()


def later_change(later: str) -> list[dict[str, Any]]:
    """After route q at /q/ was set to go to service t, as r3."""
    moved = put([route("q", 4, "/elsewhere/", "s")])
    return {
        "none": [],
        "newer": [put([route("q", 4, "/q/", "s")]), put([route("q", 9, "/q/", "t")])],
        "dropped": [put([], [("q", 8)])],
        "service dropped": [moved, with_services({}, [], [("t", 6)])],
        "place taken": [moved, put([route("other", 6, "/q/")])],
    }[later]


def taken_order_is_repeated(seed: int, loss: str, later: str) -> None:
    """Its answer is lost; then come later changes and a loss; then it is sent again to every machine."""
    fleet, (caller,) = opened(seed)
    order = put([route("q", 3, "/q/", "t")])
    to = addresses(fleet)[seed % 3]
    partition = fleet.net.partition({to}, {caller.address}, one_way=True)
    if caller.send(to, order):
        raise RuleBroken("an answer comes at once")
    run(fleet, SECOND)
    fleet.net.heal(partition)
    for address in addresses(fleet):
        expect(caller, address, order, 200)
    for change in later_change(later):
        expect(caller, to, change, 200)
    back = strike(fleet, loss)
    run(fleet, AWAY_US)
    for address in addresses(fleet):
        expect(caller, address, order, 200)
    back()
    run(fleet, BACK_US)
    for address in addresses(fleet):
        expect(caller, address, order, 200)
    caller.read()


def every_member_leads_once(seed: int) -> None:
    """Whoever leads knows what was accepted before: the head is lost with its disk, time after time."""
    fleet, (caller,) = opened(seed)
    order, other = put([route("q", 3, "/q/", "t")]), put([route("q", 3, "/q/", "s")])
    for body in (order, *later_change("service dropped")):
        expect(caller, addresses(fleet)[0], body, 200)
    for _ in range(4):
        back = strike(fleet, "wipe head")
        run(fleet, AWAY_US)
        back()
        run(fleet, BACK_US)
        expect(caller, addresses(fleet)[0], order, 200)
        expect(caller, addresses(fleet)[1], other, 409)
    for store in fleet.stores.values():
        if store.replica.state.digests != next(iter(fleet.stores.values())).replica.state.digests:
            raise RuleBroken("two copies differ")


def a_refusal_rests_on_nothing_that_may_be_lost(seed: int) -> None:
    """The head cannot pass on an order, and refuses another because of it; then the head is lost."""
    fleet, (one, two) = opened(seed, 2)
    head, others = members(fleet)[0], members(fleet)[1:]
    partition = fleet.net.partition({head}, set(others))
    one.send(head, put([route("a", 2, "/p/")]))
    statuses = two.send(head, put([route("b", 2, "/p/")]))
    run(fleet, SECOND)
    if any(400 <= status < 500 for status in statuses):
        raise RuleBroken(f"{statuses} because of an order that nobody else has")
    fleet.net.machines[head].end(power=True)
    fleet.net.machines[head].disk.wiped()
    fleet.net.heal(partition)
    run(fleet, AWAY_US)
    expect(two, others[0], put([route("b", 2, "/p/")]), 200)
    two.read()


def a_late_copy_of_a_refused_order(seed: int) -> None:
    """Refused for a service that is not there; the service comes; then a copy arrives that a relay still had."""
    fleet, (caller,) = opened(seed)
    head = members(fleet)[0]
    order = put([route("q", 2, "/q/", "new")])
    expect(caller, head, order, 400)
    expect(caller, head, with_services({}, [("new", 2)], []), 200)
    relay = fleet.net.machines[members(fleet)[1]]
    answers: list[Message | None] = []
    relay.ask(head, Patch(msgspec.json.encode(order), 1), SECOND, answers.append)
    run(fleet, 500 * MS)
    caller.read()
    run(fleet, 3 * SECOND)
    expect(caller, head, order, 200)


class Registry:
    """A registry that forwards one call, and replies whether the caller still waits for the response to it."""

    ADDRESS, NUMBER = "registry", 7

    def __init__(self, fleet: Fleet) -> None:
        self.is_caller_waiting = True
        self.checks = 0
        self.answers: list[Message | None] = []
        self._fleet = fleet
        self._machine = fleet.net.machines[self.ADDRESS] = Machine(fleet.net, self.ADDRESS, 1)
        self._machine.begin()
        self._machine.handlers = {CallerCheck: self._handle_caller_check}

    def forward(self, to: str, body: dict[str, Any]) -> None:
        """Forward the call to a member of the store."""
        patch = Patch(msgspec.json.encode(body), 0, CallOrigin(self.ADDRESS, self.NUMBER))
        self._machine.ask(to, patch, SECOND, self.answers.append)

    def statuses(self) -> list[int]:
        """Return the statuses of the answers so far; 0: there was none in time."""
        return [answer.status if isinstance(answer, Reply) else 0 for answer in self.answers]

    def stop(self) -> None:
        """Take the registry away."""
        self._machine.end(power=False)

    def _handle_caller_check(self, check: CallerCheck, reply: Callable[[Message], None]) -> None:
        self.checks += 1
        reply(CallerCheckReply(self.is_caller_waiting and check.number == self.NUMBER))


def a_copy_whose_caller_has_left(seed: int) -> None:
    """A suspended member keeps a copy for longer than refusals are remembered, or another member leads by then."""
    fleet, (caller,) = opened(seed)
    head, relay = members(fleet)[0], members(fleet)[1 + seed % 2]
    registry = Registry(fleet)
    order = put([route("q", 2, "/q/", "new")])
    fleet.net.machines[relay].frozen_until = fleet.net.time.now + BACK_US
    registry.forward(relay, order)
    run(fleet, SECOND)
    registry.is_caller_waiting = False
    expect(caller, head, order, 400)
    expect(caller, head, with_services({}, [("new", 2)], []), 200)
    run(fleet, 2 * BACK_US)
    caller.read()
    fleet.net.machines[head].end(power=True)
    run(fleet, AWAY_US)
    registry.forward(relay, order)
    run(fleet, SECOND)
    caller.read()
    if registry.checks < 2 or 200 in registry.statuses():
        raise RuleBroken(f"a call whose caller has left is answered {registry.statuses()}")
    fleet.start(head)
    run(fleet, BACK_US)
    registry.is_caller_waiting = True
    registry.forward(relay, order)
    run(fleet, SECOND)
    if registry.statuses()[-1] != 200:
        raise RuleBroken(f"a call whose caller waits is answered {registry.statuses()}")


def a_call_whose_registry_is_gone(seed: int) -> None:
    """Nobody knows whether the caller waits: the call is not accepted, and its caller tries another registry."""
    fleet, (caller,) = opened(seed)
    registry = Registry(fleet)
    order = put([route("q", 2, "/q/")])
    registry.forward(members(fleet)[seed % 3], order)
    registry.stop()
    run(fleet, BACK_US)
    known = {rule["Name"] for listener in caller.read()["Listeners"] for rule in listener["Policy"]}
    if "q" in known:
        raise RuleBroken("a call is accepted though nobody knows whether its caller waits")
    expect(caller, members(fleet)[0], order, 200)


def versions_beyond_the_record(seed: int) -> None:
    """More versions of one item than are remembered: what is forgotten gets neither yes nor no."""
    fleet, (caller,) = opened(seed)
    to = addresses(fleet)[seed % 3]
    for version in range(2, 90):
        expect(caller, to, put([route("r", version, "/r/", "st"[version % 2])]), 200)
    forgotten, other = put([route("r", 3, "/r/", "t")]), put([route("r", 3, "/r/", "s")])
    for body in (forgotten, other):
        statuses = caller.send(to, body)
        run(fleet, SECOND)
        if statuses != [503]:
            raise RuleBroken(f"forgotten, and answered {statuses}")
    expect(caller, to, put([route("r", 80, "/r/", "s")]), 200)
    expect(caller, to, put([route("r", 80, "/r/", "t")]), 409)
    caller.read()


def a_stalled_disk(seed: int) -> None:
    """Eight orders wait for it; none gets a refusal, each gets its caller's time back, and in the end all are taken."""
    fleet, callers = opened(seed, 8)
    head = members(fleet)[0]
    fleet.net.machines[head].disk.stall(3 * SECOND)
    orders = [put([route(f"q{i}", 2, f"/q{i}/")]) for i in range(8)]
    answers = [caller.send(head, order) for caller, order in zip(callers, orders, strict=True)]
    run(fleet, 950 * MS)
    if answers != [[503]] * 8:
        raise RuleBroken(f"eight orders at a disk that stands still are answered {answers}")
    for caller, order in zip(callers, orders, strict=True):
        expect(caller, addresses(fleet)[seed % 3], order, 200)
    run(fleet, BACK_US)
    for caller, order in zip(callers, orders, strict=True):
        expect(caller, head, order, 200)
    callers[0].read()


class Race:
    """Eight operators at once, over few items, numbers and places, with lost answers and one loss.

    Each has a route of its own, too, with which nobody else's orders can conflict.
    """

    CALLERS, CALLS = 8, 5

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet, self.callers = opened(seed, self.CALLERS)
        self.taken: list[dict[str, Any]] = []
        self.left = self.CALLERS * self.CALLS

    def play(self) -> None:
        """Let all callers send their orders, and judge what was answered."""
        for caller in self.callers:
            self._next(caller, self.CALLS)
        time = self.fleet.net.time
        time.after(self.rng.randrange(SECOND), self._lose_answers)
        run(self.fleet, self.rng.randrange(600 * MS))
        back = strike(self.fleet, self.rng.choice(LOSSES))
        run(self.fleet, AWAY_US)
        back()
        run(self.fleet, 8 * SECOND)
        if self.left:
            raise RuleBroken(f"{self.left} orders have no clear answer")
        for order in self.taken:
            expect(self.callers[0], self.rng.choice(addresses(self.fleet)), order, 200)
        self.callers[0].read()

    def _lose_answers(self) -> None:
        caller = self.rng.choice(self.callers)
        partition = self.fleet.net.partition(set(addresses(self.fleet)), {caller.address}, one_way=True)
        self.fleet.net.time.after(SECOND, self.fleet.net.heal, partition)

    def _next(self, caller: Caller, calls: int) -> None:
        if calls:
            own = self.rng.random() < 0.25
            self._send(caller, self._own(caller, calls) if own else self._drawn(), calls)

    def _own(self, caller: Caller, calls: int) -> dict[str, Any]:
        name = f"own-{caller.address}"
        return put([route(name, 10 - calls, f"/{name}/")])

    def _drawn(self) -> dict[str, Any]:
        rng = self.rng
        name, version = rng.choice(("r", "other", "q", "p")), rng.randrange(2, 7)
        kind = rng.random()
        if kind < 0.2:
            return put([], [(name, version)])
        if kind < 0.3:
            return with_services({}, [], [("t", version)])
        if kind < 0.4:
            return with_services({}, [("t", version)], [])
        return put([route(name, version, rng.choice(("/r/", "/other/", "/q/")), rng.choice("st"))])

    def _send(self, caller: Caller, body: dict[str, Any], calls: int) -> None:
        up = addresses(self.fleet)
        if not up:
            return self.fleet.net.time.after(100 * MS, self._send, caller, body, calls)
        caller.send(self.rng.choice(up), body, lambda status: self._heard(caller, body, calls, status))
        return None

    def _heard(self, caller: Caller, body: dict[str, Any], calls: int, status: int) -> None:
        if not 200 <= status < 500:
            return self.fleet.net.time.after(self.rng.randrange(200 * MS), self._send, caller, body, calls)
        self.left -= 1
        if status == 200:
            self.taken.append(body)
        elif "own-" in str(body):
            raise RuleBroken(f"an order that conflicts with nothing is refused with {status}")
        self._next(caller, calls - 1)
        return None


def eight_at_once(seed: int) -> None:
    """Play eight operators at once, on few items, numbers and places."""
    Race(seed).play()


SCENARIOS = (
    two_contents_under_one_number,
    every_member_leads_once,
    a_refusal_rests_on_nothing_that_may_be_lost,
    a_late_copy_of_a_refused_order,
    a_copy_whose_caller_has_left,
    a_call_whose_registry_is_gone,
    versions_beyond_the_record,
    a_stalled_disk,
    eight_at_once,
)


def orders(count: int = 20, first: int = 0) -> int:
    """Play all scenarios with so many seeds each; an order that was taken is sent again after each loss and change."""
    played = broken = 0
    for seed in range(first, first + count):
        plays: list[tuple[Callable[..., None], tuple[Any, ...]]] = [(scenario, (seed,)) for scenario in SCENARIOS]
        plays += [(taken_order_is_repeated, (seed, loss, later)) for loss in LOSSES for later in LATER]
        for scenario, arguments in plays:
            played += 1
            try:
                scenario(*arguments)
            except Exception as error:  # whatever stops a member is a broken invariant
                broken += 1
                print(f"{scenario.__name__} {arguments}: {type(error).__name__}: {error}", flush=True)
    print(f"{played} played, {broken} broken")
    return int(broken > 0)
