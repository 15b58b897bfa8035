"""The agent between scripted peers: answers given once, attempts by the rules, faults contained."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from lilacsill.agent.admission.descriptor_account import Side
from tests.agent.loopback import KEYED, UNSAFE, World, post, shared, world

from lilacsill.balancing.interface import Event, RequestArrived
from lilacsill.balancing.logic import Balancer


def test_a_request_goes_on_unchanged_and_connections_are_kept(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post(body=b"\x00wheel\xff"))
            got = await system.request()
            assert got.first == "POST /api?obj=7f3a HTTP/1.1" and got.body == b"\x00wheel\xff"
            assert got.headers["request-id"] == "9b1f" and got.headers["idempotency-key"] == "5c0f"
            assert 0 < int(got.headers["request-timeout-ms"]) <= 30_000
            await got.answer(200, b"\xfeok")
            answer = await client.read()
            assert (answer.status, answer.body) == (200, b"\xfeok")
            await client.write(post())
            await (await system.request()).answer()
            assert (await client.read()).status == 200
            assert system.backends[0].connections == 1

    asyncio.run(run())


def test_samples_are_asked_for_their_load_first(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, probes=True) as system:
            client = await system.ask(post())
            await (await system.request()).answer()
            assert (await client.read()).status == 200
            # The probe's connection served the attempt.
            assert system.backends[0].connections == 1

    asyncio.run(run())


async def outcome_of_reset(system: World, cls: str) -> int:
    """Resets the first attempt; answers the second, if one comes. Returns what the client gets."""
    client = await system.ask(post(cls))
    (await system.request()).peer.reset()
    answer = asyncio.create_task(client.read())
    again = asyncio.create_task(system.request())
    await asyncio.wait([answer, again], return_when=asyncio.FIRST_COMPLETED)
    if again.done():
        await again.result().answer()
    else:
        again.cancel()
    return (await answer).status


@pytest.mark.parametrize("cls, status", [(KEYED, 200), (UNSAFE, 502)])
def test_what_may_have_run_is_repeated_only_where_repeats_are_dropped(tmp_path: Path, cls: str, status: int) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=3) as system:
            assert await outcome_of_reset(system, cls) == status
            assert system.nothing_sent()

    asyncio.run(run())


def test_unsafe_work_that_surely_never_ran_is_tried_again(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=3) as system:
            client = await system.ask(post(UNSAFE))
            await (await system.request()).answer(503, b"", Not_Started="1")
            await (await system.request()).answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


def test_a_client_that_leaves_ends_its_attempt(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post())
            got = await system.request()
            client.close()
            await got.peer.ended()
            client = await system.ask(post())
            await (await system.request()).answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


def test_the_attempt_is_closed_when_time_is_up_and_the_client_told(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post(UNSAFE, timeout_ms="1000"))
            got = await system.request()
            assert (await client.read()).status == 502
            await got.peer.ended()

    asyncio.run(run())


def test_a_refusal_says_when_to_come_back(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post())
            await (await system.request()).answer()
            await client.read()
            # Full for good: after the attempts that the budget allows the module gives up, at once.
            await client.write(post(UNSAFE))
            answer = asyncio.create_task(client.read())
            while not answer.done():
                got = asyncio.create_task(system.request())
                await asyncio.wait([answer, got], return_when=asyncio.FIRST_COMPLETED)
                if got.done():
                    await got.result().answer(503, b"", Not_Started="1")
                else:
                    got.cancel()
            assert answer.result().status == 503 and float(answer.result().headers["retry-after"]) > 0

    asyncio.run(run())


def test_a_fault_of_the_module_costs_one_request_at_most(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    whole = Balancer.handle
    failed: list[Event] = []

    def handle(self: Balancer, now: int, event: Event) -> list[Any]:
        if isinstance(event, RequestArrived) and not failed:
            failed.append(event)
            raise ZeroDivisionError("mean of none")
        return whole(self, now, event)

    monkeypatch.setattr(Balancer, "handle", handle)

    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post())
            assert (await client.read()).status == 500
            await client.write(post())
            await (await system.request()).answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


def test_a_request_that_the_module_forgets_is_answered_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole = Balancer.handle
    monkeypatch.setattr(
        Balancer,
        "handle",
        lambda self, now, event: [] if isinstance(event, RequestArrived) else whole(self, now, event),
    )

    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post(timeout_ms="30"))
            assert (await client.read()).status == 500

    asyncio.run(run())


def test_an_action_that_ends_at_once_does_not_re_enter_the_module(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole, depth, deepest = Balancer.handle, [0], [0]

    def handle(self: Balancer, now: int, event: Event) -> list[Any]:
        actions = whole(self, now, event)
        deepest[0] = max(deepest[0], depth[0])
        return actions

    from lilacsill.agent.agent import Agent

    handled = Agent._dispatch

    def agent_handle(self: Agent, event: Event) -> None:
        depth[0] += 1
        handled(self, event)
        depth[0] -= 1

    monkeypatch.setattr(Balancer, "handle", handle)
    monkeypatch.setattr(Agent, "_dispatch", agent_handle)

    async def run() -> None:
        # One connection to backends at most, and that one is busy: the next attempt ends unsent, at once.
        async with world(tmp_path, budget=shared(4)) as system:
            system.server.admission.descriptors.acquire(Side.UPSTREAM)
            first = await system.ask(post())
            got = await system.request()
            second = await system.ask(post(UNSAFE, Request_Id="9b20"))
            assert (await second.read()).status == 503
            await got.answer()
            assert (await first.read()).status == 200

    asyncio.run(run())
    assert deepest[0] == 1
