"""Admission on loopback: storms, broken clients, and descriptors that run out. Nothing here is timed."""

from __future__ import annotations

import asyncio
import resource
import signal
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from lilacsill.agent.admission.policy import ConnectionState
from lilacsill.agent.admission.settings import AdmissionSettings, ConnectionTimeouts, parse_network
from tests.agent.loopback import UNSAFE, Peer, Running, config_doc, member, post, shared, world
from tests.agent.storm import answer, connect, outcome, request, send, storm, strangers, visit

KNOWN = "127.9.0.1"
LISTED = AdmissionSettings(known=(parse_network("127.9.0.0/16"),), reserve=2)
ONE_EACH = AdmissionSettings(per_address=1)
OPERATOR = '[admission]\nknown = ["127.9.0.0/16"]\nreserve = 12\n'
# 8 for clients and 10 for backends are never lent, and 2 of each are the reserve.
TWENTY = replace(shared(20, refusing=2), downstream_floor_share=0.4, upstream_floor_share=0.5)
NEVER = ConnectionTimeouts(silent_us=10**12, reading_us=10**12)


class Scene:
    """An agent as a process under 128 descriptors, with backends that answer at once."""

    def __init__(self, folder: Path, sockets: int = 128) -> None:
        self.agent = Running(folder)
        self._sockets = sockets

    async def start(self, operator: str | None = OPERATOR, prompt: bool = True) -> None:
        self.discovery = await Peer().start()
        self.backends = [await Peer(prompt).start() for _ in range(4)]
        doc = config_doc(self.discovery.port, [member(f"s{i}", b.port) for i, b in enumerate(self.backends)])
        doc["limits"]["sockets"] = self._sockets
        await self.agent.start(doc, operator)

    async def known(self, times: int = 30) -> list[str]:
        return [await visit(self.agent.port, KNOWN) for _ in range(times)]

    async def stop(self) -> list[str]:
        """Returns the rest of the agent's log."""
        await self.agent.stop()
        assert self.agent.process.stderr is not None
        rest = (await self.agent.process.stderr.read()).decode().splitlines()
        for peer in (self.discovery, *self.backends):
            await peer.stop()
        return rest


@pytest.mark.parametrize("addresses", [2200, 3])
def test_known_clients_are_served_in_a_storm_and_every_stranger_hears(tmp_path: Path, addresses: int) -> None:
    async def run() -> None:
        scene = Scene(tmp_path)
        await scene.start(OPERATOR + ("per_address = 10\n" if addresses == 3 else ""))
        over = asyncio.Event()
        sources = strangers(addresses) * (1 if addresses > 3 else 400)
        storming = asyncio.create_task(storm(scene.agent.port, sources, at_once=400, hold=over))
        await scene.agent.line("connection storm begins")
        known = await scene.known()
        over.set()
        heard = Counter(await storming)
        assert known == ["200"] * len(known)
        # Nobody was left waiting: each of them has come to an end.
        assert sum(heard.values()) == len(sources) and set(heard) <= {"200", "503", "closed"}
        assert heard["503"] > 0
        log = await scene.stop()
        assert len(log) < 10, log

    asyncio.run(asyncio.wait_for(run(), 120))


def test_strangers_that_say_nothing_keep_nobody_out(tmp_path: Path) -> None:
    async def run() -> None:
        scene = Scene(tmp_path)
        await scene.start(operator=None)  # as on the platform
        (broken,) = strangers(1)
        held = [await connect(scene.agent.port, broken) for _ in range(400)]
        assert [await visit(scene.agent.port, s) for s in strangers(20)] == ["200"] * 20
        for sock in held:
            sock.close()
        await scene.stop()

    asyncio.run(asyncio.wait_for(run(), 120))


def test_a_known_client_gets_in_while_all_strangers_have_requests_in_hand(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=4, budget=TWENTY, admission=LISTED) as system:  # four: nine may go out
            held = []
            for source in strangers(20):
                sock = await connect(system.port, source)
                await send(sock, request(UNSAFE))
                held.append(sock)
            refused = [asyncio.create_task(answer(s)) for s in held]
            taken = [await system.request() for _ in range(8)]
            assert system.server.admission.connections.count(ConnectionState.IN_FLIGHT) == 8
            client = await system.ask(post(Request_Id="known"), KNOWN)
            await (got := await system.request()).answer()
            assert got.headers["request-id"] == "known" and (await client.read()).status == 200
            # What was taken of the strangers is answered, too; the others were told of their refusal.
            for message in taken:
                await message.answer()
            heard = Counter(map(outcome, await asyncio.gather(*refused)))
            assert heard["200"] == 8 and heard["503"] + heard["closed"] == 12
            for sock in held:
                sock.close()

    asyncio.run(run())


def test_half_open_heads_make_way_for_a_known_client_alone(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=TWENTY, times=NEVER, admission=LISTED) as system:
            table = system.server.admission.connections
            slow = [await connect(system.port, s) for s in strangers(30)]
            for byte in (b"P", b"O", b"S"):
                for sock in slow:
                    await send(sock, byte)
            while table.count(ConnectionState.READING) < 8:
                await asyncio.sleep(0)
            assert await visit(system.port, strangers(1)[0]) in ("503", "closed")
            clients = [await system.ask(post(Request_Id=f"k{i}"), KNOWN) for i in range(5)]
            for _ in clients:
                await (await system.request()).answer()
            assert [(await c.read()).status for c in clients] == [200] * 5
            assert table.count(ConnectionState.READING) == 5  # two were let in by the reserve
            for sock in slow:
                sock.close()

    asyncio.run(run())


def test_a_refusal_says_when_to_come_back_and_that_it_is_one(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(8, refusing=2), admission=ONE_EACH) as system:
            held = await system.ask(post())
            got = await system.request()
            advice = set()
            for _ in range(8):
                other = await system.client()  # its request comes after it was refused
                await other.write(post(Request_Id="9b20"))
                refusal = await other.read()
                assert refusal.status == 503 and refusal.headers["connection"] == "close"
                advice.add(float(refusal.headers["retry-after"]))
                await other.ended()
            assert len(advice) > 4 and all(0.25 <= a <= 1.0 for a in advice)
            silent = await system.client()
            await silent.ended()
            await got.answer()
            assert (await held.read()).status == 200
            assert system.agent._requests_accepted == 1

    asyncio.run(run())


def test_a_refused_storm_holds_few_descriptors(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(8, refusing=3), admission=ONE_EACH) as system:
            held = await system.ask(post())
            got = await system.request()
            others = [await system.client() for _ in range(40)]
            for other in others[:-3]:
                await other.ended()
            assert len(system.server.refused) <= 3
            await got.answer()
            assert (await held.read()).status == 200

    asyncio.run(run())


def test_a_limit_that_is_lowered_while_the_agent_runs(tmp_path: Path) -> None:
    async def run() -> None:
        scene = Scene(tmp_path, sockets=400)
        await scene.start()
        over = asyncio.Event()
        idle = [asyncio.create_task(visit(scene.agent.port, s, hold=over)) for s in strangers(80)]
        mute = [await connect(scene.agent.port, s) for s in strangers(150)]
        assert await scene.known(3) == ["200"] * 3
        resource.prlimit(scene.agent.process.pid, resource.RLIMIT_NOFILE, (90, 90))
        await scene.agent.line("shortage of descriptors begins")
        assert await scene.known() == ["200"] * 30
        # Strangers are refused or served, and hear it.
        assert set(await storm(scene.agent.port, strangers(200))) <= {"200", "503", "closed"}
        assert await scene.known() == ["200"] * 30
        over.set()
        assert set(await asyncio.gather(*idle)) == {"200"}
        for sock in mute:
            sock.close()
        await scene.stop()

    asyncio.run(asyncio.wait_for(run(), 120))


def test_backends_that_reset_while_clients_storm_lose_no_request(tmp_path: Path) -> None:
    async def run() -> None:
        scene = Scene(tmp_path)
        await scene.start(prompt=False)

        async def resets(backend: Peer) -> None:
            while True:
                message = await backend.requests.get()
                message.peer.reset()

        resetting = [asyncio.create_task(resets(b)) for b in scene.backends]
        heard = Counter(await storm(scene.agent.port, strangers(600), at_once=200, cls=UNSAFE))
        # 502: it may have run and is not tried again beyond its class; 503: it was refused.
        assert sum(heard.values()) == 600 and set(heard) <= {"502", "503", "closed"} and heard["502"] > 0
        for task in resetting:
            task.cancel()
        await scene.stop()

    asyncio.run(asyncio.wait_for(run(), 120))


def test_sighup_changes_caps_and_known_clients_under_a_storm(tmp_path: Path) -> None:
    async def run() -> None:
        scene = Scene(tmp_path)
        await scene.start("")
        over = asyncio.Event()
        storming = asyncio.create_task(storm(scene.agent.port, strangers(1500), at_once=400, hold=over))
        await scene.agent.line("connection storm begins")
        for text, line in (
            ("[admission]\nknown = [7]", "[admission] known[0]: Expected `str`, got `int`"),
            ("[admission]\nreserve = 400\nknown = ['127.9.0.0/16']", "reserve: 400 is above"),
            (OPERATOR + "per_address = 2\n", "operator file reloaded"),
        ):
            scene.agent.operator(text)
            scene.agent.process.send_signal(signal.SIGHUP)
            await scene.agent.line(line)
        assert await scene.known() == ["200"] * 30
        over.set()
        assert set(await storming) <= {"200", "503", "closed"}
        await scene.stop()

    asyncio.run(asyncio.wait_for(run(), 120))


def test_sigterm_under_a_storm_answers_all_that_was_taken(tmp_path: Path) -> None:
    async def run() -> None:
        scene = Scene(tmp_path)
        await scene.start(prompt=False)
        requests = scene.backends[0].requests  # of all: one object's requests go to its homes
        for backend in scene.backends:
            backend.requests = requests
        over = asyncio.Event()
        storming = asyncio.create_task(storm(scene.agent.port, strangers(900), at_once=300, hold=over))
        client = await connect(scene.agent.port, KNOWN)
        await send(client, request())
        got = None
        while got is None or "storm-" not in got.headers["request-id"]:
            got = await requests.get()
        await scene.agent.line("connection storm begins")
        scene.agent.process.send_signal(signal.SIGTERM)

        async def serve() -> None:
            while True:
                await (await requests.get()).answer()

        await got.answer()
        serving = asyncio.create_task(serve())
        assert outcome(await answer(client)) == "200"
        over.set()
        assert set(await storming) <= {"200", "503", "closed", "502"}
        assert await scene.agent.process.wait() == 0
        serving.cancel()
        for peer in (scene.discovery, *scene.backends):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 120))


def test_an_ipv4_client_on_an_ipv6_listener_is_the_same_client(tmp_path: Path) -> None:
    async def run() -> None:
        try:
            context = world(tmp_path, host="::", admission=ONE_EACH)
            system = await context.__aenter__()
        except OSError as e:
            pytest.skip(f"no IPv6 here: {e}")
        try:
            held = await system.ask(post())
            got = await system.request()
            (record,) = system.server.connections
            assert record.address.identity == "127.0.0.1"
            assert await visit(system.port, "127.0.0.1") == "503"
            await got.answer()
            assert (await held.read()).status == 200
        finally:
            await context.__aexit__(None, None, None)

    asyncio.run(run())


def test_beyond_the_bound_an_answer_closes_its_connection(tmp_path: Path) -> None:
    # r9d2941: clients asked once and held on to 128 connections, all that they may hold; four of five
    # requests never arrived.
    async def run() -> None:
        async with world(tmp_path, admission=AdmissionSettings(keep_alive=2)) as system:
            answers = []
            for i in range(4):
                client = await system.ask(post(Request_Id=f"r{i}"))
                await (await system.request()).answer()
                answers.append(await client.read())
            assert [a.headers.get("connection") for a in answers] == [None, None, "close", "close"]

    asyncio.run(run())
