"""Proxies, core machines and the links between them, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.relaying.core_links import CoreLinks
from lilacsill.mesh.relaying.counters import RelayCounters
from lilacsill.mesh.relaying.relay_selector import RelaySelector
from lilacsill.mesh.relaying.relay_server import RelayServer
from lilacsill.mesh.relaying.relayed_links import RelayedLinks
from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import Claim, ClaimReply, ClaimStatus, Message, Relay, TokenReply, TokenRequest
from lilacsill.mesh.runtime.records import OperationOwner, TokenDemand, TokenGrant
from lilacsill.timers import Timer, TimerWheel

CORE, OTHER_CORE = "10.0.0.1:7661", "10.0.0.2:7661"
HOP_US = 2_000
TIMEOUT_US = 300_000  # as the quota client waits
CLAIM = Claim("tenant|key", OperationOwner("10.1.0.0:7660", 1, 1))
DEMAND = TokenRequest([TokenDemand("acme", 2)])


class Proxy:
    """One proxy; it is also its own environment."""

    def __init__(self, world: World, node: str, address: str) -> None:
        self._world, self.address = world, address
        self.links = CoreLinks(self)
        self.counters = RelayCounters()
        self.server = RelayServer(self.links, CoreMembers(lambda: [CORE, OTHER_CORE]), self.counters)
        self.questions = RelayedLinks(self, self.links, RelaySelector(node, world.peers), self.counters)

    def now(self) -> int:
        return self._world.clock

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> Timer:
        return self._world.after(delay_us, call, *arguments)

    def call_soon(self, callback: Callable[..., None], *args: object) -> None:
        self._world.after(0, callback, *args)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        self._world.send(self.address, address, message, timeout_us, answered)


class World:
    """The clock, the links that work, and core machines that answer."""

    def __init__(self, proxies: int = 10) -> None:
        self.clock = 0
        self._wheel = TimerWheel()
        self.broken: set[tuple[str, str]] = set()  # links on which nothing arrives
        self.sent: list[tuple[str, str, Message]] = []
        self.arrived: list[Message] = []  # at core machines, without questions for nothing
        self.reply_delay_us = 0  # of core machines
        self._peers = {f"n{number}": f"10.1.0.{number}:7660" for number in range(1, proxies)}
        self.asker = Proxy(self, "n0", "10.1.0.0:7660")
        self.proxies = {address: Proxy(self, node, address) for node, address in self._peers.items()}

    def peers(self) -> dict[str, str]:
        return self._peers

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> Timer:
        return self._wheel.add(self.clock + delay_us, call, arguments)

    def cut(self, *addresses: str, cores: tuple[str, ...] = (CORE, OTHER_CORE)) -> None:
        """Proxies reach these core machines no more."""
        self.broken |= {(address, core) for address in addresses for core in cores}

    def send(
        self, sender: str, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]
    ) -> None:
        """As `RpcClient.request`: one call, later."""
        finish = once(answered)
        self.sent.append((sender, address, message))

        def arrive() -> None:
            if (sender, address) not in self.broken:
                self._arrive(address, message, lambda reply: self._return(finish, reply))

        self.after(timeout_us, finish, None)
        self.after(HOP_US, arrive)

    def _return(self, finish: Callable[[Message | None], None], reply: Message) -> None:
        self.after(HOP_US, finish, reply)

    def _arrive(self, address: str, message: Message, reply: Callable[[Message], None]) -> None:
        if isinstance(message, Relay):
            self.proxies[address].server.relay(message, reply)
            return
        if message != TokenRequest([]):
            self.arrived.append(message)
        self.after(self.reply_delay_us, reply, _answer(message))

    def run(self, duration_us: int = 400_000) -> None:
        end = self.clock + duration_us
        while (due := self._wheel.next_due_us) is not None and due <= end:
            self.clock = max(self.clock, due)
            for timer in self._wheel.pop_due(self.clock):
                timer.fire()
        self.clock = end

    def question(self, message: Message = DEMAND, address: str = CORE, run_us: int = 400_000) -> Message | None:
        """The asker's question to a core machine, and what came of it."""
        answers = self.begin(message, address)
        self.run(run_us)
        assert len(answers) == 1, "each question is answered once"
        return answers[0]

    def begin(self, message: Message = DEMAND, address: str = CORE) -> list[Message | None]:
        """The asker's question; the list takes what comes of it."""
        answers: list[Message | None] = []
        self.asker.questions.ask(address, message, TIMEOUT_US, answers.append)
        return answers

    def relays_asked(self) -> list[str]:
        """To which proxies the asker has sent relays, in order."""
        return [address for _, address, message in self.sent if isinstance(message, Relay)]


def _answer(message: Message) -> Message:
    if isinstance(message, Claim):
        return ClaimReply(ClaimStatus.GRANTED, message.owner, 1, [CORE, OTHER_CORE])
    assert isinstance(message, TokenRequest)
    return TokenReply([TokenGrant(demand.tenant, demand.count, 0) for demand in message.demands], 1, [CORE])
