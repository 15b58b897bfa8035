"""Agents as processes, with faults between them. What must hold whatever the machine's speed; waits are for events."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lilacsill.agent.peers.datagram import DatagramCodec, fleet_id
from lilacsill.agent.peers.peer_health import backend_tag
from lilacsill.agent.peers.records import REFUTATION_BITS, Health, HealthReport, encode
from lilacsill.emulator.processes.rig import RigError
from tests.agent.loopback import Running, config_doc, settings

from .fleets import OPERATOR, Told, ask, burst, fleet, met, states, until

N = 8
HALF, REST = set(range(N // 2)), set(range(N // 2, N))


def right(told: Told) -> float:
    return float(told["budgets"]["cold"]["right"])


def sees(other: int, state: str, told: Told) -> bool:
    return states(told)[other] == state


def test_halves_of_a_partition_keep_their_shares_and_counts_merge_after_it(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(N, tmp_path, backends=4, started_s=19) as r:
            await r.set_rules([{"from": sorted(HALF), "to": sorted(REST), "cut": True}])
            for half, rest in ((HALF, REST), (REST, HALF)):
                for n in half:
                    await until(r, n, lambda t, rest=rest: all(sees(k, "dead", t) for k in rest))  # type: ignore[misc]
            for n in (0, N - 1):
                assert await ask(r.agents[n], 5) == [200] * 5
            for half in (
                HALF,
                REST,
            ):  # what the other side lent is over by now: a side has its own parts at most
                told = [await r.peers(n) for n in half]
                assert all(t["siblings"]["used"] == N for t in told)
                assert all(right(t) <= len(half) for t in told)
                assert all(t["counts"]["requests"] <= 5 for t in told)
            await r.set_rules([])
            await met(r)
            for n in range(N):
                await until(r, n, lambda t: t["counts"]["requests"] >= 10)
                assert (await r.peers(n))["counts"]["requests"] == 10

    asyncio.run(run())


def test_one_that_is_killed_is_known_and_what_it_counted_stays_across_its_next_life(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(N, tmp_path, backends=2) as r:
            assert await ask(r.agents[3], 10) == [200] * 10
            for n in range(N):
                await until(r, n, lambda t: t["counts"]["requests"] == 10)
            before = (await r.peers(3))["life"]
            await r.kill(3)
            for n in set(range(N)) - {3}:
                await until(r, n, lambda t: sees(3, "dead", t))
            await r.start(3)
            await met(r)
            assert (await r.peers(3))["life"] > before
            assert await ask(r.agents[3], 5) == [200] * 5
            for n in range(N):
                await until(r, n, lambda t: t["counts"]["requests"] >= 15)
                assert (await r.peers(n))["counts"]["requests"] == 15

    asyncio.run(run())


def test_a_process_stalled_past_its_lease_has_nothing_of_it(tmp_path: Path) -> None:
    """All traffic comes to agent 0, so that the others lend it what they may of the cold servers."""

    async def run() -> None:
        # Half warm, and for two minutes yet: on a busy machine agents take seconds to start and to meet.
        rules = {**settings()["rules"], "warmUpUs": 240_000_000}
        async with fleet(N, tmp_path, backends=4, started_s=120, rules=rules) as r:
            await ask(r.agents[0], 150)
            await until(r, 0, lambda t: t["budgets"]["cold"]["held"] > 0.5)
            r.stall(0, True)
            for n in range(1, N):  # every lender has back what it lent
                await until(r, n, lambda t: t["budgets"]["cold"]["lent"] == 0 and not sees(0, "alive", t))
            r.stall(0, False)
            told = await until(r, 0, lambda t: t["stood_still_s"] > 0)
            notes = (await r.peers(0, "notes"))["notes"]
            woke = max(i for i, n in enumerate(notes) if n["kind"] == "stood_still")
            assert told["budgets"]["cold"]["held"] == 0 or any(n["kind"] == "held" for n in notes[woke:])
            assert told["doubt"] > 0 or told["budgets"]["cold"]["held"] == 0
            await met(r)

    asyncio.run(run())


def test_several_processes_stall_in_turn_while_a_fifth_of_datagrams_is_lost(tmp_path: Path) -> None:
    async def run() -> None:
        n = 16
        async with fleet(n, tmp_path) as r:
            await r.set_rules(
                [
                    {
                        "from": list(range(n)),
                        "to": list(range(n)),
                        "loss": 0.2,
                        "twice": 0.1,
                        "median_ms": 2,
                        "p99_ms": 20,
                    }
                ]
            )
            for number in (2, 7, 11):
                r.stall(number, True)
                await until(r, 0, lambda t, k=number: not sees(k, "alive", t))  # type: ignore[misc]
                r.stall(number, False)
                await until(r, 0, lambda t, k=number: sees(k, "alive", t))  # type: ignore[misc]
            await r.set_rules([])
            await met(r)
            dropped = [(await r.peers(k))["dropped"] for k in range(n)]
            assert sum(d.get("repeated", 0) for d in dropped) > 0
            assert not any(d.keys() - {"repeated", "old"} for d in dropped)

    asyncio.run(run())


def test_a_backend_unreachable_for_one_agent_stays_in_service_for_the_others(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(
            N, tmp_path, backends=6, serve_s=0.05, dead_for=lambda agent, backend: agent == 0 and backend == 0
        ) as r:
            for n in range(1, N):
                told: Told = {"judgements": []}
                while not told["judgements"]:
                    await burst(r.agents[0])
                    told = await r.peers(n)
                [said] = told["judgements"]
                assert said["backend"] == "s0" and not said["excluded"]
                assert [witness["member"] for witness in said["witnesses"]] == [0]

    asyncio.run(run())


def test_a_backend_unreachable_for_three_agents_is_ejected_by_the_others_until_they_end(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with fleet(
            N, tmp_path, backends=6, serve_s=0.05, dead_for=lambda agent, backend: agent < 3 and backend == 0
        ) as r:
            for n in range(3, N):
                told: Told = {"judgements": []}
                while not any(j["excluded"] for j in told["judgements"]):
                    for witness in range(3):
                        await burst(r.agents[witness])
                    told = await r.peers(n)
                [said] = told["judgements"]
                assert said["backend"] == "s0" and {witness["member"] for witness in said["witnesses"]} == {0, 1, 2}
            for n in range(3):
                await r.kill(n)
            for n in range(3, N):
                await until(r, n, lambda t: not t["judgements"])

    asyncio.run(run())


def test_settings_with_a_too_great_fleet_size_are_corrected_slowly(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(N, tmp_path, siblings=10 * N) as r:
            for n in range(N):
                told = await r.peers(n)
                assert told["siblings"] == {"told": 10 * N, "named": N, "used": 10 * N}
                assert right(told) <= 1.0  # of an own part, which is one of eighty

    asyncio.run(run())


def test_a_secret_is_changed_while_all_run(tmp_path: Path) -> None:
    old, new = "0123456789abcdef-old", "0123456789abcdef-new"
    path = tmp_path / "secrets"
    path.write_text(old)
    path.chmod(0o600)

    async def run() -> None:
        async with fleet(6, tmp_path, operator=OPERATOR + f'secrets_file = "{path}"\n') as r:
            for text, lines in ((f"{old}\n{new}", 2), (f"{new}\n{old}", 2), (new, 1)):
                path.write_text(text)
                seen = [len(c.lines) for c in r.running()]
                for c in r.running():
                    c.send_signal(signal.SIGHUP)
                for c, before in zip(r.running(), seen, strict=True):
                    await c.wait_until(
                        lambda c=c, before=before, lines=lines: any(  # type: ignore[misc]
                            f"reloaded the secrets for datagrams between agents: {lines} secrets" in x
                            for x in c.lines[before:]
                        )
                    )
            await met(r)
            assert not any("is dead" in line for c in r.running() for line in c.lines)
            # One with the old file is not let in.
            await r.kill(5)
            path.write_text(old)
            await r.start(5)
            await until(r, 0, lambda t: t["dropped"].get("unsigned", 0) > 0 and sees(5, "dead", t))
            assert not any("agent 5 is alive" in line for line in r.agents[0].lines)

    asyncio.run(run())


def test_a_process_that_takes_over_waits_for_the_address_and_spends_nothing_until_then(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with fleet(4, tmp_path) as r:
            first = r.agents[1]
            life = (await r.peers(1))["life"]
            second = r.begin(1)
            await r.wait_ready(second)
            await second.wait_for_line("is used by another process; joining the fleet when it is free")
            assert not (await r.peers(1))["open"]
            first.send_signal(signal.SIGTERM)
            await first.wait_for_end()
            await until(r, 1, lambda t: bool(t["open"]))
            await met(r)
            assert (await r.peers(1))["life"] > life

    asyncio.run(run())


def test_lists_that_differ_make_everybody_careful(tmp_path: Path) -> None:
    """Two agents have not yet been told of the last two: the greater number counts for all that hear it."""

    async def run() -> None:
        async with fleet(6, tmp_path, begin=False) as r:
            all_of_them = r.addresses["peers"]
            for n in range(4):
                r.addresses["peers"] = all_of_them[:4] if n < 2 else all_of_them
                await r.start(n)
            for n in range(4):
                await until(r, n, lambda t: t["siblings"]["used"] == 6)
            assert (await r.peers(0))["siblings"]["named"] == 4

    asyncio.run(run())


@pytest.mark.parametrize("allowed, there", [(False, False), (True, True)])
def test_where_the_platform_forbids_it_nothing_is_imported(tmp_path: Path, allowed: bool, there: bool) -> None:
    async def run() -> str:
        doc = config_doc(1, [], peers=allowed)
        doc |= {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1"]}
        doc["settings"]["me"] = 0
        agent = Running(tmp_path)
        await agent.start(doc, OPERATOR, PYTHONPROFILEIMPORTTIME="1")
        agent.process.send_signal(signal.SIGTERM)
        return "".join(agent.seen) + (await agent.process.communicate())[1].decode()

    assert ("lilacsill.agent.peers" in asyncio.run(run())) is there


@pytest.mark.parametrize(
    "change, said",
    [
        ({"peer_listen": None}, "peer_listen: missing"),
        ({"peers": []}, "peers: 0 addresses, 1 to 1024"),
        ({"peers": ["127.0.0.1:1"]}, "settings.me: 1 is not among the 1 addresses"),
        ({"peers": ["127.0.0.1:1", "127.0.0.1:1"]}, "peers: an address is listed twice"),
    ],
)
def test_a_configuration_that_cannot_be_used_ends_it_with_one_line(tmp_path: Path, change: Told, said: str) -> None:
    import json
    import os

    doc = config_doc(1, [], peers=True)
    doc |= {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.1:2"], **change}
    doc["settings"] |= {"me": 1, "siblings": 2}
    (tmp_path / "c.json").write_text(json.dumps(doc))
    (tmp_path / "o.toml").write_text(OPERATOR)
    ended = subprocess.run(
        [sys.executable, "-m", "lilacsill", "--operator", str(tmp_path / "o.toml")],
        env={**os.environ, "RELAY_CONFIG": str(tmp_path / "c.json")},
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 2 and said in ended.stderr and ended.stderr.count("\n") == 1


def test_a_rig_says_why_an_agent_did_not_start(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(1, tmp_path, operator="[peers]\nperiod_ms = 0\n", begin=False) as r:
            with pytest.raises(RigError, match="period_ms"):
                await r.start(0)

    asyncio.run(run())


def test_a_process_that_condemns_every_backend_does_not_count(tmp_path: Path) -> None:
    """It speaks for three members in whose places nobody runs, so that there are witnesses enough for any bound."""

    async def run() -> None:
        async with fleet(6, tmp_path, backends=5, begin=False) as r:
            await asyncio.gather(*(r.start(n) for n in range(3)))
            life, sockets = time.time_ns() // 1_000_000, list[socket.socket]()
            gates: dict[int, DatagramCodec] = {}
            for n in (3, 4, 5):
                host, _, port = r.addresses["listens"][n].rpartition(":")
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind((host, int(port)))
                sockets.append(sock)
                gates[n] = DatagramCodec(n, fleet_id("test"), 6, ())
            said = 0

            def lie() -> None:
                nonlocal said
                said += 1
                for n, sock in zip((3, 4, 5), sockets, strict=True):
                    for backend in range(5):
                        j = HealthReport(
                            backend_tag(f"s{backend}"), Health.UNHEALTHY, n, life, said, 0, 4000, (n, 1 + said)
                        )
                        for hearer, peer in enumerate(r.addresses["peers"][:3]):
                            to, _, port = peer.rpartition(":")
                            sock.sendto(gates[n].encode(hearer, life << REFUTATION_BITS, [encode(j)]), (to, int(port)))

            try:
                for _ in range(5):
                    lie()
                    for n in range(3):
                        heard = await until(r, n, lambda t: any(x["kind"] == "heard" for x in t["notes"]), "notes")
                        assert heard["notes"]
                        told = await r.peers(n)
                        assert not [j for j in told["judgements"] if j["excluded"]]
                        assert await ask(r.agents[n], 5) == [200] * 5
            finally:
                for sock in sockets:
                    sock.close()

    asyncio.run(run())
