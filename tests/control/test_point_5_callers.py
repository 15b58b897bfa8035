"""Point 5: a caller of a core machine gets its own response once, and a process replaces its earlier runs."""

from __future__ import annotations

from functools import partial

import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.proxy.discovery import DiscoveryClient
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.registry import operator_api
from lilacsill.mesh.registry import process as registry_process
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.registry.process import STORE_PORT_OFFSET
from lilacsill.mesh.registry.process import Process as Registry
from lilacsill.mesh.runtime import control
from lilacsill.mesh.runtime.control import ControlServer, Respond
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.messages import Endpoint, Follow, Freshness, Message, Patch, Poll, PollReply, Read, Reply
from lilacsill.mesh.runtime.reactor_environment import ReactorEnvironment
from lilacsill.mesh.runtime.rpc import RequestHandler, RpcServer, SendReply
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator, put, route
from tests.mesh.stage import LOOPBACK, Stage, request, stage

from .point_5_world import SECOND, ScriptedProxy, ask, caller, settings, statuses, whole

# Callers of a core machine


def test_the_idle_time_out_does_not_end_a_call_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "IDLE_TIMEOUT_US", 40_000)

    def handle(call: Request, respond: Respond) -> None:
        mesh.reactor.after(120_000, respond, 200, b"done")

    with stage() as mesh:
        server = ControlServer(mesh.reactor, Address(LOOPBACK, 0), handle)
        client = caller(mesh, server.listener.port, request("PATCH", "/api/config", 1, b"{}"))
        assert statuses(mesh, client) == [200]
        mesh.until(lambda: client.over, "the idle time-out")


def test_a_second_response_to_a_call_is_dropped_and_the_next_call_gets_its_own() -> None:
    with stage() as mesh:

        def handle(call: Request, respond: Respond) -> None:
            respond(200, call.target)
            mesh.reactor.call_soon(respond, 503, b"late")

        server = ControlServer(mesh.reactor, Address(LOOPBACK, 0), handle)
        client = caller(mesh, server.listener.port, request("GET", "/one", 1) + request("GET", "/two", 2))
        assert statuses(mesh, client, 2) == [200, 200]
        assert [bytes(response.body) for response in client.answers] == [b"/one", b"/two"]


def registry_at(mesh: Stage, monkeypatch: pytest.MonkeyPatch, store: Address, call_us: int) -> Registry:
    """A registry whose store is at that address; it has no peers and no proxies."""
    monkeypatch.setattr(operator_api, "CALL_TIMEOUT_US", call_us)
    monkeypatch.setattr(operator_api, "MIN_ATTEMPT_US", 10_000)
    monkeypatch.setattr(registry_process, "RpcServer", lambda reactor, address, handlers, limits: None)
    monkeypatch.setattr(mesh.reactor, "on_signal", lambda number, call: None)
    first_port = store.port - STORE_PORT_OFFSET
    return Registry(replace(settings(), internal_ports=(first_port, store.port)), mesh.reactor)


def test_a_late_reply_of_the_store_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as mesh:
        calls: list[bytes] = []

        def on_patch(patch: Patch, send_reply: SendReply) -> None:
            calls.append(patch.body)
            delay_us = 120_000 if len(calls) == 1 else 0
            mesh.reactor.after(delay_us, send_reply, Reply(200, patch.body))

        store = RpcServer(
            mesh.reactor, Address(LOOPBACK, 0), {Patch: on_patch, Follow: lambda follow, send_reply: None}
        )
        registry = registry_at(mesh, monkeypatch, Address(LOOPBACK, store.listener.port), 60_000)
        data = request("PATCH", "/api/config", 1, b"first") + request("PATCH", "/api/config", 2, b"second")
        client = caller(mesh, registry._control_server.listener.port, data)
        assert statuses(mesh, client, 2) == [503, 200] and bytes(client.answers[1].body) == b"second"
        elapsed: list[bool] = []
        mesh.reactor.after(150_000, elapsed.append, True)
        mesh.until(lambda: bool(elapsed), "the late reply has come")
        assert len(client.answers) == 2 and not client.over and calls == [b"first", b"second"]


# Guards against a registry that ends one second after SIGTERM while a call that takes longer is under way.
def test_a_registry_that_leaves_waits_for_the_response_of_a_call_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry_process, "MIN_SHUTDOWN_US", 20_000)
    with stage() as mesh:
        calls: list[bytes] = []

        def on_patch(patch: Patch, send_reply: SendReply) -> None:
            calls.append(patch.body)
            mesh.reactor.after(250_000, send_reply, Reply(200, b"{}"))

        store = RpcServer(
            mesh.reactor, Address(LOOPBACK, 0), {Patch: on_patch, Follow: lambda follow, send_reply: None}
        )
        registry = registry_at(mesh, monkeypatch, Address(LOOPBACK, store.listener.port), 900_000)
        data = request("PATCH", "/api/config", 1, b"{}")
        client = caller(mesh, registry._control_server.listener.port, data)
        mesh.until(lambda: bool(calls), "the store has the call")
        registry._shut_down()
        mesh.until(lambda: bool(client.answers) or mesh.reactor._stopped, "the response, or the end")
        assert [answer.status for answer in client.answers] == [200]
        mesh.until(lambda: mesh.reactor._stopped, "the process ends")


def test_a_registry_that_leaves_waits_no_longer_than_its_grace_period_allows(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry_process, "MIN_SHUTDOWN_US", 20_000)
    monkeypatch.setattr(registry_process, "MAX_SHUTDOWN_SHARE", 0.02)
    with stage() as mesh:
        registry = registry_at(mesh, monkeypatch, Address(LOOPBACK, 17999), 4_000_000)
        monkeypatch.setattr(registry._control_server, "handle", lambda call, respond: None)
        caller(mesh, registry._control_server.listener.port, request("PATCH", "/api/config", 1, b"{}"))
        mesh.until(lambda: registry._control_server.is_busy, "the call is under way")
        registry._shut_down()
        mesh.until(lambda: mesh.reactor._stopped, "the process ends")


class CountingFleet(Fleet):
    """Core machines that count how many replies each request gets."""

    reply_counts: list[int]

    def start(self, address: str, fresh: bool = False) -> None:
        super().start(address, fresh)
        handlers = self.net.machines[address].handlers
        for kind, handler in list(handlers.items()):
            handlers[kind] = partial(self._count, handler)

    def _count(self, handler: RequestHandler, message: Message, send_reply: SendReply) -> None:
        self.__dict__.setdefault("reply_counts", []).append(0)
        index = len(self.reply_counts) - 1

        def count_and_send(reply: Message) -> None:
            self.reply_counts[index] += 1
            send_reply(reply)

        handler(message, count_and_send)


@pytest.mark.parametrize("seed", range(6))
def test_no_request_to_a_store_gets_two_replies_while_machines_are_partitioned_and_killed(seed: int) -> None:
    fleet = CountingFleet(seed)
    time, operator = fleet.net.time, Operator(fleet, "a")
    operator.call(put([route("r", 1, "/r/")], first=True))
    time.run(4 * SECOND)
    statuses_of_changes: list[int] = []
    for round_number in range(8):
        victim = fleet.rng.choice(fleet.seeds)
        partition = fleet.net.partition(
            {victim}, {address for address in fleet.stores if address != victim}, one_way=round_number % 3 == 0
        )
        for version in range(2):
            operator.call(
                put([route(f"r{round_number}", version + 2, f"/r{round_number}/")]), statuses_of_changes.append
            )
        for address in fleet.stores:
            for message in (Follow(0, 400, 0), Follow(1 << 40, 400, 0), Read(0)):
                operator.machine.ask(address, message, SECOND, lambda reply: None)
        time.run(time.now + fleet.rng.randrange(1, SECOND))
        fleet.net.heal(partition)
        if round_number % 4 == 3:
            fleet.net.machines[victim].end(power=False)
            fleet.start(victim)
        time.run(time.now + 2 * SECOND)
    assert statuses_of_changes.count(200) == 16 and max(fleet.reply_counts) == 1


# Incarnations


def record(incarnation: int, version: int = 1, state: str = "ready") -> Endpoint:
    return Endpoint("me", incarnation, version, LOOPBACK, 1, "z", "stock", "i-me", state, 4, 0)


def discovery_client(mesh: Stage) -> DiscoveryClient:
    """The client of the proxy `me`, which updates the forwarder of the stage."""
    config, endpoints = mesh.forwarder.config, KnownEndpoints("me", mesh.forwarder.upstreams)
    return DiscoveryClient(
        settings(), ReactorEnvironment(mesh.reactor), config, BackendLifecycle(SECOND), endpoints, set(), lambda: None
    )


def test_a_proxy_whose_clock_went_back_replaces_its_earlier_run_on_all_registries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with stage() as mesh:
        directory, other = Directory(), Directory()
        before = record(1 << 60, 5)
        for known in (directory, other):
            known.update(before, 0, direct=known is directory)
        polls: list[Poll] = []

        def on_poll(poll: Poll, send_reply: SendReply) -> None:
            polls.append(poll)
            directory.update(poll.endpoint, SECOND)
            changes = directory.changes_for(poll.registry_incarnation, poll.directory_version)
            send_reply(PollReply(1, changes.version, changes.endpoints, changes.removed, 0, [], 0, Freshness(0, 0), []))

        registry = RpcServer(mesh.reactor, Address(LOOPBACK, 0), {Poll: on_poll})
        client = discovery_client(mesh)
        client.registries.addresses = {f"{LOOPBACK}:{registry.listener.port}"}
        client.start()
        mesh.until(
            lambda: bool(polls) and polls[-1].endpoint.incarnation > before.incarnation,
            "the proxy has raised its incarnation",
        )
        mesh.settle()
        alive = directory.entries["me"].endpoint
        assert (
            polls[0].endpoint.incarnation < before.incarnation
            and alive is not None
            and alive.incarnation == before.incarnation + 1
        )
        # Passed on by another registry, the earlier run hides the later one nowhere, and the later one replaces it.
        directory.update(before, 2 * SECOND, direct=False)
        other.update(alive, 2 * SECOND, direct=False)
        assert directory.entries["me"].endpoint == other.entries["me"].endpoint == alive


def test_a_registry_announces_a_later_run_anew_to_whoever_passes_on_an_earlier_one() -> None:
    directory = Directory()
    directory.update(record(9), 0, direct=False)
    directory.update(replace(record(1), node="other"), 0)  # a later change than that
    version = directory.version
    directory.update(record(3), SECOND, direct=False)
    assert [endpoint.incarnation for endpoint in directory.changes_since(version)[0]] == [9]
    # A backend that has said that it drains stays so, whichever run of its proxy passed it on.
    directory.update(record(3, 2, "draining"), SECOND)
    assert directory.update(record(10), SECOND) and directory.changes_since(version)[0][0].state == "draining"


def test_two_runs_of_a_registry_have_different_incarnations_without_a_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as mesh:
        monkeypatch.setattr("time.time_ns", lambda: 0)
        runs = [registry_at(mesh, monkeypatch, Address(LOOPBACK, 1), SECOND) for _ in range(2)]
        assert len({run._node.directory.incarnation for run in runs}) == 2


def test_no_incarnation_is_zero_which_stands_for_none() -> None:
    assert incarnation_id(bytes(INCARNATION_ID_BYTES)) != 0


def test_idle_links_to_a_process_that_has_ended_are_not_used() -> None:
    with stage() as mesh:
        remote = ScriptedProxy(mesh.reactor, lambda number, offer: [(number, whole(b"mine"))])
        client = discovery_client(mesh)
        endpoint = replace(record(1), node="far", port=remote.listener.port, server="i-far")

        def update(*endpoints: Endpoint, removed: tuple[str, ...] = ()) -> None:
            client._apply(
                "registry",
                mesh.reactor.now(),
                PollReply(1, 1, list(endpoints), list(removed), 0, [], 0, Freshness(0, 0), []),
            )
            mesh.prefer("far")

        for links in (1, 2, 3):
            if links == 2:
                update(replace(endpoint, incarnation=2))  # restarted
            elif links == 3:
                update(removed=("far",))
            if links != 2:
                update(endpoint)
            for _ in range(2):
                assert statuses(mesh, ask(mesh, "GET", "/reads/a")) == [200]
            assert len(remote.links) == links
