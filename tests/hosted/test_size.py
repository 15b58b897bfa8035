"""The service at size, on a full disk, and with two operators at once."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from lilacsill.hosted.decisions.secrets import digest_of, make_token
from lilacsill.hosted.resources import CredentialSpec, Kind, PoolSpec, Role, TenantSpec
from lilacsill.hosted.store.interface import Author, Put, Write
from lilacsill.hosted.store.sqlite import SqliteStore
from tests.hosted.service import Fleet, facts, hosted, pool_body

TENANTS, ACTIVE = 10_000, 50


def test_ten_thousand_tenants_of_whom_fifty_ask(tmp_path: Path) -> None:
    tokens = [make_token(number.to_bytes(6, "big"), bytes(32)) for number in range(ACTIVE)]

    async def run() -> None:
        fleet = await Fleet().start()
        store = SqliteStore(str(tmp_path / "state.db"), lambda: 1)
        pool = PoolSpec(discovery=f"127.0.0.1:{fleet.discovery.port}", settings=facts())
        writes: list[Write] = [Put(Kind.POOL, "p", pool, 0)]
        writes += [Put(Kind.TENANT, f"t{i}", TenantSpec(pool="p", hosts=[f"t{i}.example"]), 0) for i in range(TENANTS)]
        for i, (id_, token) in enumerate(tokens):
            spec = CredentialSpec(role=Role.CLIENT, digest=digest_of(token), tenant=f"t{i}")
            writes.append(Put(Kind.CREDENTIAL, id_, spec, 0))
        store.commit(writes, Author("tester", "r1"))
        store.close()
        async with hosted(tmp_path, workers=2) as service:
            for number, (_, token) in enumerate(tokens):
                answer = await service.ask(
                    token, Host=f"t{number}.example", Request_Id=f"r{number}", Idempotency_Key=f"r{number}"
                )
                assert answer.status == 200
            # A host of another of the ten thousand is refused, also one that nobody has used.
            assert (await service.ask(tokens[0][1], Host=f"t{TENANTS - 1}.example")).status == 403
            status = (await service.api.get("/v1/status")).json()
            while sum(t["served"] for t in status["busiest"]) < ACTIVE:
                status = (await service.api.get("/v1/status")).json()
            assert status["tenants"] == TENANTS and len(status["busiest"]) == ACTIVE
            (p,) = status["busiest_pools"]
            assert (p["name"], p["tenants"], p["servers"], p["usable"], p["served"]) == (
                "p",
                TENANTS,
                1,
                1,
                ACTIVE,
            )
            parts = [(t["weight_part"], t["quota_per_s"]) for t in status["busiest"]]
            assert set(parts) == {(round(1 / ACTIVE, 4), 0.0)}
            assert abs(sum(t["cpu_part"] for t in status["busiest"]) - 1) < 0.01
            metrics = (await service.api.get("/metrics")).text
            assert f'lilacsill_pool_tenants{{pool="p"}} {TENANTS}' in metrics
            changed = await service.api.patch(f"/v1/tenants/t{TENANTS - 1}", json={"weight": 2})
            assert changed.status_code == 200 and changed.json()["in_force"]
        await fleet.stop()

    asyncio.run(run())


def test_on_a_full_disk_changes_are_refused_and_traffic_goes_on(tmp_path: Path) -> None:
    async def run() -> None:
        fleet = await Fleet().start()
        async with hosted(tmp_path) as service:
            await service.pool("p", fleet)
            secret = await service.tenant("a")
            pid = service.process.pid
            _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (4096, hard))  # no file may grow beyond this
            refused = await service.api.patch("/v1/tenants/a", json={"weight": 3})
            assert refused.status_code == 503, refused.text
            assert refused.headers["content-type"] == "application/problem+json"
            assert "nothing was changed" in refused.json()["detail"]
            assert (await service.ask(secret)).status == 200
            assert (await service.api.get("/v1/tenants/a")).json()["weight"] == 1
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
            again = await service.api.patch("/v1/tenants/a", json={"weight": 3})
            assert again.status_code == 200 and again.json()["in_force"]
        await fleet.stop()

    asyncio.run(run())


def test_two_operators_at_once_lose_no_update(tmp_path: Path) -> None:
    """Each adds a host to what it has read; the one that came second is told so and reads again."""

    async def run() -> None:
        fleet = await Fleet().start()
        async with hosted(tmp_path) as service:
            made = await service.api.post("/v1/pools", json={"name": "p", **pool_body(fleet)})
            assert made.status_code == 201
            await service.tenant("a")
            other = await service.credential("operator")
            refused = 0  # told that they had read an older state

            async def add(names: list[str], token: str) -> None:
                nonlocal refused
                headers = {"Authorization": f"Bearer {token}"}
                for name in names:
                    done = False
                    while not done:
                        seen = await service.api.get("/v1/tenants/a", headers=headers)
                        hosts = [*seen.json()["hosts"], name]
                        answer = await service.api.patch(
                            "/v1/tenants/a",
                            json={"hosts": hosts},
                            headers={**headers, "If-Match": seen.headers["etag"]},
                        )
                        assert answer.status_code in (200, 412), answer.text
                        done = answer.status_code == 200
                        refused += not done

            sets = [[f"{who}{n}.example" for n in range(8)] for who in ("x", "y")]
            await asyncio.gather(add(sets[0], service.token), add(sets[1], other))
            hosts = (await service.api.get("/v1/tenants/a")).json()["hosts"]
            assert sorted(hosts) == sorted(sets[0] + sets[1])
            log = (await service.api.get("/v1/events", params={"kind": "tenant", "name": "a"})).json()["items"]
            assert len(log) == 1 + 16
        await fleet.stop()

    asyncio.run(run())
