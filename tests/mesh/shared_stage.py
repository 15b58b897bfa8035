"""A stage with tenants, a member of the store that decides on tokens and claims, and several proxies for clients."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from lilacsill.address import Address
from lilacsill.mesh.operations.operation_gate import OperationGate
from lilacsill.mesh.operations.operation_table import OperationTable
from lilacsill.mesh.proxy.client_listener import ClientListener
from lilacsill.mesh.proxy.forwarder import Forwarder
from lilacsill.mesh.proxy.offer_server import OfferServer
from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.relaying.core_links import CoreLinks
from lilacsill.mesh.relaying.counters import RelayCounters
from lilacsill.mesh.relaying.relay_selector import RelaySelector
from lilacsill.mesh.relaying.relay_server import RelayServer
from lilacsill.mesh.relaying.relayed_links import RelayedLinks
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Item,
    Message,
    OperationQuery,
    OperationReply,
    Relay,
    TokenReply,
    TokenRequest,
)
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.reactor_environment import ReactorEnvironment
from lilacsill.mesh.runtime.records import OperationOwner, TokenGrant
from lilacsill.mesh.runtime.rpc import OnReply, RequestHandler, RpcServer, SendReply
from lilacsill.net import reactor as watchers

from .stage import LOOPBACK, Client, NoQueries, Stage, request

KEY_WINDOW_US = 60_000_000
ACME_KEY, OTHER_KEY, LIMITED_KEY = "key-of-acme", "key-of-other", "key-of-limited"


def tenant(name: str, keys: list[str], version: int = 1, rank: int = 1, rate: float = 0.0) -> Item:
    body = {"Name": name, "ApiKeys": keys, "Rank": rank, "RatePerS": rate, "BurstSize": rate}
    return Item("tenant", name, version, version, msgspec.json.encode(body))


class StoreMember:
    """Grants claims at once, and tokens while there are some."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self.owners: dict[str, OperationOwner] = {}
        self.claims = 0
        self.tokens = 0
        self.is_silent = False
        self.reply_delay_us = 0
        handlers: dict[type, RequestHandler] = {Claim: self._on_claim, TokenRequest: self._on_tokens}
        self._server = RpcServer(reactor, Address(LOOPBACK, 0), handlers)
        self.address = f"{LOOPBACK}:{self._server.listener.port}"

    def _on_claim(self, claim: Claim, reply: SendReply) -> None:
        self.claims += 1
        owner = self.owners.get(claim.operation)
        is_granted = owner is None or owner in (claim.owner, claim.replaces)
        if is_granted:
            owner = self.owners[claim.operation] = claim.owner
        status = ClaimStatus.GRANTED if is_granted else ClaimStatus.OWNED
        self._send(ClaimReply(status, owner, 1, [self.address]), reply)

    def _on_tokens(self, question: TokenRequest, reply: SendReply) -> None:
        grants = []
        for demand in question.demands:
            granted = min(demand.count, self.tokens)
            self.tokens -= granted
            grants.append(TokenGrant(demand.tenant, granted, 0 if granted == demand.count else 40))
        self._send(TokenReply(grants, 1, [self.address]), reply)

    def _send(self, message: ClaimReply | TokenReply, reply: SendReply) -> None:
        if not self.is_silent:
            self._reactor.after(self.reply_delay_us, reply, message)


class PartitionedEnvironment(ReactorEnvironment):
    """The links of a process; questions to some addresses get no answer."""

    def __init__(self, reactor: Reactor) -> None:
        super().__init__(reactor)
        self.partitioned: set[str] = set()

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        if address in self.partitioned:
            self.after(timeout_us, answered, None)
        else:
            super().ask(address, message, timeout_us, answered)


class Front(NoQueries):
    """A proxy for clients, which other proxies can ask about its operations."""

    def __init__(self, stage: SharedStage, incarnation: int) -> None:
        reactor, near = stage.reactor, stage.forwarder
        self.environment = PartitionedEnvironment(reactor)
        members = CoreMembers(lambda: [stage.store.address])
        self.offer_server = OfferServer(reactor, Address(LOOPBACK, 0), stage.near_gateway, self)
        own_address = f"{LOOPBACK}:{self.offer_server.listener.port}"
        node = f"front{incarnation}"
        stage.front_addresses = {**stage.front_addresses, node: own_address}
        self.core_links = CoreLinks(self.environment)
        self.relay_counters = RelayCounters()
        self.relay_server = RelayServer(self.core_links, members, self.relay_counters)
        selector = RelaySelector(node, lambda: stage.front_addresses)
        links = RelayedLinks(self.environment, self.core_links, selector, self.relay_counters)
        self.operations = OperationGate(OperationTable(own_address, incarnation, KEY_WINDOW_US), links, members)
        self.forwarder = Forwarder(reactor, near.config, near.upstreams, "desk", near.rng, lambda: stage.is_current)
        self.forwarder.permits.operations = self.operations
        self.forwarder.permits.quota = QuotaClient(links, members)
        self.clients = ClientListener(reactor, Address(LOOPBACK, 0), self.forwarder)

    def operation(self, query: OperationQuery) -> OperationReply:
        return self.operations.reply_to(query)

    def relay(self, relay: Relay, reply: SendReply) -> None:
        self.relay_server.relay(relay, reply)

    def kill(self) -> None:
        """Nobody reaches it any more."""
        self.offer_server.close()
        for link in list(self.offer_server.links):
            link.link.close()


class SharedStage(Stage):
    """`/reads/`, `/writes/`, `/keyed/` and the public `/open/`; the tenants acme, other and limited."""

    def __init__(self, reactor: Reactor) -> None:
        super().__init__(reactor)
        self.is_current = True
        self.near_gateway = self.forwarder.upstreams._gateway
        self.store = StoreMember(reactor)
        self.front_addresses: dict[str, str] = {}
        self.fronts = [Front(self, 1), Front(self, 2)]
        public = msgspec.json.decode(self.route("open", "read_only", 4).body or b"")
        public["Rule"]["Public"] = True
        self.apply(
            self.route("keyed", "keyed_write", 3),
            Item("route", "open", 4, 4, msgspec.json.encode(public)),
            tenant("acme", [ACME_KEY]),
            tenant("other", [OTHER_KEY], rank=0),
            tenant("limited", [LIMITED_KEY], rate=5.0),
        )

    def apply(self, *items: Item) -> None:
        """A change of the configuration reaches all proxies."""
        self.forwarder.config.apply(list(items), self.forwarder.config.seq + 1)

    def partition(self, front: int) -> None:
        """A front does not reach the store any more, and has found that out."""
        cut_off = self.fronts[front]
        cut_off.environment.partitioned.add(self.store.address)
        cut_off.core_links.ask(self.store.address, TokenRequest([]), 1, lambda _reply: None)
        reachability = cut_off.core_links.reachability
        self.until(lambda: not reachability.is_reachable(self.store.address), "the store is unreachable")

    def connect(self, data: bytes, front: int = 0) -> Client:
        client = Client()
        sock = socket.create_connection((LOOPBACK, self.fronts[front].clients.listener.port))
        sock.setblocking(False)
        client.attach(sock)
        client.send(data)
        return client

    def get(self, data: bytes, front: int = 0) -> tuple[int, bytes]:
        """The status and body of the response."""
        client = self.connect(data, front)
        self.until(lambda: bool(client.answers), "there is a response")
        return client.answers[0].status, bytes(client.answers[0].body)

    def keyed(self, number: int, key: str = "k1", tenant_key: str = ACME_KEY, body: bytes = b"body") -> bytes:
        more = f"Credential: {tenant_key}\r\nOperation-Key: {key}\r\n"
        return request("POST", "/keyed/a", number, body, more)

    def read(self, number: int, tenant_key: str | None = ACME_KEY, path: str = "/reads/a", more: str = "") -> bytes:
        credential = "" if tenant_key is None else f"Credential: {tenant_key}\r\n"
        return request("GET", path, number, more=credential + more)


@contextmanager
def shared_stage() -> Iterator[SharedStage]:
    reactor = Reactor()
    try:
        yield SharedStage(reactor)
    finally:
        reactor.close()
        watchers.install(None)
