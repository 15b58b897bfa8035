"""Point 5: those who call a control machine get their own answer once, and a process outlives its earlier runs."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.proxy.discovery import DiscoveryClient
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.registry import operator_api
from lilacsill.mesh.registry import process as registry_process
from lilacsill.mesh.registry.process import STORE_PORT_OFFSET
from lilacsill.mesh.registry.process import Process as Registry
from lilacsill.mesh.runtime import control
from lilacsill.mesh.runtime.control import ControlServer, Respond
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.messages import Endpoint, Follow, Freshness, Message, Patch, Poll, PollReply, Read, Reply
from lilacsill.mesh.runtime.rpc import RequestHandler, RpcServer
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator, put, route
from tests.mesh.stage import LOOPBACK, Stage, request, stage

from .point_5_world import S, ScriptedProxy, ask, caller, settings, statuses, whole

# Those who call a control machine


def test_a_call_under_way_is_not_cut_by_the_time_that_a_caller_may_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "IDLE_TIMEOUT_US", 40_000)

    def handle(call: Request, respond: Respond) -> None:
        s.reactor.after(120_000, respond, 200, b"done")

    with stage() as s:
        server = ControlServer(s.reactor, Address(LOOPBACK, 0), handle)
        client = caller(s, server.listener.port, request("PATCH", "/api/config", 1, b"{}"))
        assert statuses(s, client) == [200]
        s.until(lambda: client.over, "it may rest for a while only")


def test_a_second_answer_to_a_call_is_dropped_and_the_next_call_gets_its_own() -> None:
    with stage() as s:

        def handle(call: Request, respond: Respond) -> None:
            respond(200, call.target)
            s.reactor.call_soon(respond, 503, b"late")

        server = ControlServer(s.reactor, Address(LOOPBACK, 0), handle)
        client = caller(s, server.listener.port, request("GET", "/one", 1) + request("GET", "/two", 2))
        assert statuses(s, client, 2) == [200, 200]
        assert [bytes(a.body) for a in client.answers] == [b"/one", b"/two"]


def registry_at(s: Stage, monkeypatch: pytest.MonkeyPatch, store: Address, call_us: int) -> Registry:
    """One whose store is at that address; nothing else is there."""
    monkeypatch.setattr(operator_api, "CALL_TIMEOUT_US", call_us)
    monkeypatch.setattr(operator_api, "MIN_ATTEMPT_US", 10_000)
    monkeypatch.setattr(registry_process, "RpcServer", lambda reactor, address, handlers: None)
    monkeypatch.setattr(s.reactor, "on_signal", lambda number, call: None)
    first_port = store.port - STORE_PORT_OFFSET
    return Registry(replace(settings(), internal_ports=(first_port, store.port)), s.reactor)


def test_a_store_that_answers_late_answers_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        calls: list[bytes] = []

        def taken(m: Patch, reply: Callable[[Message], None]) -> None:
            calls.append(m.body)
            delay_us = 120_000 if len(calls) == 1 else 0
            s.reactor.after(delay_us, reply, Reply(200, m.body))

        store = RpcServer(s.reactor, Address(LOOPBACK, 0), {Patch: taken, Follow: lambda m, reply: None})
        registry = registry_at(s, monkeypatch, Address(LOOPBACK, store.listener.port), 60_000)
        data = request("PATCH", "/api/config", 1, b"first") + request("PATCH", "/api/config", 2, b"second")
        client = caller(s, registry._control_server.listener.port, data)
        assert statuses(s, client, 2) == [503, 200] and bytes(client.answers[1].body) == b"second"
        late: list[bool] = []
        s.reactor.after(150_000, late.append, True)
        s.until(lambda: bool(late), "the late answer has come")
        assert len(client.answers) == 2 and not client.over and calls == [b"first", b"second"]


class CountingFleet(Fleet):
    """Core machines that count how often each question gets an answer."""

    answers: list[int]

    def start(self, address: str, fresh: bool = False) -> None:
        super().start(address, fresh)
        handlers = self.net.machines[address].handlers
        for kind, handler in list(handlers.items()):
            handlers[kind] = partial(self._counted, handler)

    def _counted(self, handler: RequestHandler, message: Message, reply: Callable[[Message], None]) -> None:
        self.__dict__.setdefault("answers", []).append(0)
        place = len(self.answers) - 1

        def counted(answer: Message) -> None:
            self.answers[place] += 1
            reply(answer)

        handler(message, counted)


@pytest.mark.parametrize("seed", range(6))
def test_no_question_to_a_store_gets_two_answers_while_machines_are_cut_and_killed(seed: int) -> None:
    fleet = CountingFleet(seed)
    time, operator = fleet.net.time, Operator(fleet, "a")
    operator.call(put([route("r", 1, "/r/")], first=True))
    time.run(4 * S)
    taken: list[int] = []
    for turn in range(8):
        victim = fleet.rng.choice(fleet.seeds)
        cut = fleet.net.cut({victim}, {a for a in fleet.stores if a != victim}, one_way=turn % 3 == 0)
        for version in range(2):
            operator.call(put([route(f"r{turn}", version + 2, f"/r{turn}/")]), taken.append)
        for address in fleet.stores:
            for question in (Follow(0, 400, 0), Follow(1 << 40, 400, 0), Read(0)):
                operator.machine.ask(address, question, S, lambda m: None)
        time.run(time.now + fleet.rng.randrange(1, S))
        fleet.net.heal(cut)
        if turn % 4 == 3:
            fleet.net.machines[victim].end(power=False)
            fleet.start(victim)
        time.run(time.now + 2 * S)
    assert taken.count(200) == 16 and max(fleet.answers) == 1


# Incarnations


def record(life: int, count: int = 1, state: str = "ready") -> Endpoint:
    return Endpoint("me", life, count, LOOPBACK, 1, "z", "stock", "i-me", state, 4, 0)


def discovery_client(s: Stage) -> DiscoveryClient:
    """Of the proxy `me`, for the forwarder of the stage."""
    config, endpoints = s.forwarder.config, KnownEndpoints("me", s.forwarder.upstreams)
    return DiscoveryClient(settings(), s.reactor, config, BackendLifecycle(S), endpoints, set(), lambda: None)


def test_a_proxy_whose_clock_went_back_outlives_its_earlier_run_on_all_registries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with stage() as s:
        directory, other = Directory(), Directory()
        before = record(1 << 60, 5)
        for known in (directory, other):
            known.update(before, 0, direct=known is directory)
        polls: list[Poll] = []

        def polled(m: Poll, reply: Callable[[Message], None]) -> None:
            polls.append(m)
            directory.update(m.endpoint, S)
            changes = directory.changes_for(m.registry_incarnation, m.directory_version)
            reply(PollReply(1, changes.version, changes.endpoints, changes.removed, 0, [], 0, Freshness(0, 0), []))

        registry = RpcServer(s.reactor, Address(LOOPBACK, 0), {Poll: polled})
        client = discovery_client(s)
        client.registries.addresses = {f"{LOOPBACK}:{registry.listener.port}"}
        client.start()
        s.until(lambda: bool(polls) and polls[-1].endpoint.incarnation > before.incarnation, "it has raised its own")
        s.settle()
        alive = directory.entries["me"].endpoint
        assert (
            polls[0].endpoint.incarnation < before.incarnation
            and alive is not None
            and alive.incarnation == before.incarnation + 1
        )
        # Hearsay of the earlier run hides it nowhere, and hearsay of it replaces that.
        directory.update(before, 2 * S, direct=False)
        other.update(alive, 2 * S, direct=False)
        assert directory.entries["me"].endpoint == other.entries["me"].endpoint == alive


def test_a_registry_that_holds_a_later_run_tells_it_anew_to_who_passes_on_an_earlier_one() -> None:
    directory = Directory()
    directory.update(record(9), 0, direct=False)
    directory.update(replace(record(1), node="other"), 0)  # a later change than that
    version = directory.version
    directory.update(record(3), S, direct=False)
    assert [e.incarnation for e in directory.changes_since(version)[0]] == [9]
    # That a backend has said it leaves stays so, whichever run of its proxy said it.
    directory.update(record(3, 2, "draining"), S)
    assert directory.update(record(10), S) and directory.changes_since(version)[0][0].state == "draining"


def test_two_runs_of_a_registry_are_told_apart_without_a_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    with stage() as s:
        monkeypatch.setattr("time.time_ns", lambda: 0)
        runs = [registry_at(s, monkeypatch, Address(LOOPBACK, 1), S) for _ in range(2)]
        assert (
            len({run._directory.incarnation for run in runs}) == 2 and incarnation_id(bytes(INCARNATION_ID_BYTES)) != 0
        )


def test_idle_links_to_a_process_that_is_over_are_not_used() -> None:
    with stage() as s:
        far = ScriptedProxy(s.reactor, lambda n, o: [(n, whole(b"mine"))])
        client = discovery_client(s)
        told = replace(record(1), node="far", port=far.listener.port, server="i-far")

        def news(*endpoints: Endpoint, gone: tuple[str, ...] = ()) -> None:
            client._apply(
                "registry", s.reactor.now(), PollReply(1, 1, list(endpoints), list(gone), 0, [], 0, Freshness(0, 0), [])
            )
            s.prefer("far")

        for links in (1, 2, 3):
            if links == 2:
                news(replace(told, incarnation=2))  # started anew
            elif links == 3:
                news(gone=("far",))
            if links != 2:
                news(told)
            for _ in range(2):
                assert statuses(s, ask(s, "GET", "/reads/a")) == [200]
            assert len(far.links) == links
