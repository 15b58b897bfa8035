"""The hosted service's database: written by one build, read and continued by the other, read by the first again."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import httpx

from benchmarks.processes import settings

from .checks import Check, equality_check
from .programs import CALL_TIMEOUT_S, HOST, ProgramError, Servers, free_ports, running, running_servers, wait_until
from .source_trees import SourceTree, TreePair

AREA = "hosted"
MODULE = "lilacsill"
OK, CREATED, UNAUTHORIZED = 200, 201, 401
BACKENDS, BACKEND_DELAY_MS = 2, 1.0
DATABASE = "state.db"
COLLECTIONS = ("pools", "tenants", "credentials")
PAGE_ITEMS = 500
UNREPEATED_KEYS = ("revision", "in_force")  # of an answer to a creation: not known when the answer to repeats is stored
OPERATOR = """[hosted]
listen = "{host}:{port}"
admin_listen = "{host}:{admin_port}"
store = "{store}"
workers = 1
sockets = 1024
"""

Snapshot = dict[str, Any]


class Deployment:
    """One database and the service on it, which either build runs in turn."""

    def __init__(self, folder: Path, servers: Servers) -> None:
        self.folder, self.store, self._servers = folder, folder / DATABASE, servers
        self._port, self._admin_port = free_ports(2)
        self._operator = folder / "operator.toml"
        self._operator.write_text(
            OPERATOR.format(host=HOST, port=self._port, admin_port=self._admin_port, store=self.store)
        )
        self._token = ""
        self.secrets: dict[str, str] = {}  # client credentials, by tenant
        self.created: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {}  # a tenant's body and the answer, by build

    def bootstrap(self, tree: SourceTree) -> None:
        """Create the database with the first operator's credential."""
        created = tree.run(MODULE, "store", "bootstrap", "--operator", str(self._operator))
        if created.returncode:
            raise ProgramError(f"store bootstrap of the {tree.name} build: {created.stderr.strip()}")
        self._token = created.stdout.strip()

    @contextmanager
    def served_by(self, tree: SourceTree) -> Iterator[httpx.Client]:
        """Run the service of a build; yields a client of its administration API."""
        log_path = self.folder / f"{tree.name}.log"
        arguments = ("hosted", "--operator", str(self._operator))
        headers = {"Authorization": f"Bearer {self._token}"}
        base_url = f"http://{HOST}:{self._admin_port}"
        with (
            running(tree, log_path, {}, MODULE, *arguments),
            httpx.Client(base_url=base_url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False) as api,
        ):
            wait_until(lambda: api.get("/healthz").status_code == OK, f"the hosted service of the {tree.name} build")
            yield api

    def write(self, api: httpx.Client, suffix: str) -> None:
        """Write a pool, tenants with limits, and credentials; change, suspend and remove some."""
        pool = {"discovery": f"{HOST}:{self._servers.discovery}", "settings": _pool_settings()}
        _call(api, "POST", "/v1/pools", {"name": f"pool-{suffix}", "description": f"by {suffix}", **pool})
        limits = {"in_flight": 200, "connections": 50, "requests_per_s": 400.0, "body_bytes": 1 << 20}
        served, changed, removed = (f"{role}-{suffix}" for role in ("served", "changed", "removed"))
        common = {"pool": f"pool-{suffix}", "weight": 2.5, "quota_per_s": 150.0}
        body = {"name": served, "hosts": [f"{suffix}.example"], "limits": limits, **common}
        self.created[suffix] = (body, _create_once(api, suffix, body))
        for name in (changed, removed):
            _call(api, "POST", "/v1/tenants", {"name": name, **common})
        _call(api, "PATCH", f"/v1/tenants/{changed}", {"weight": 7.0, "limits": {"in_flight": 3}})
        _call(api, "PATCH", f"/v1/tenants/{changed}", {"state": "suspended"})
        _call(api, "DELETE", f"/v1/tenants/{removed}")
        for tenant in (served, changed):
            issued = _call(api, "POST", "/v1/credentials", {"role": "client", "tenant": tenant})
            self.secrets[tenant] = str(issued["secret"])
        _call(api, "POST", "/v1/credentials", {"role": "auditor", "description": f"by {suffix}"})
        wait_until(lambda: api.get(f"/v1/tenants/{removed}").status_code != OK, f"the removal of {removed}")

    def change(self, api: httpx.Client, suffix: str) -> None:
        """Change resources that the other build wrote."""
        _call(api, "PATCH", f"/v1/tenants/changed-{suffix}", {"state": "active", "description": "changed later"})
        _call(api, "PATCH", f"/v1/pools/pool-{suffix}", {"description": "changed later"})

    def request_status(self, secret: str, number: int) -> int:
        """Send a request of a client, and return the status of the response."""
        headers = {
            "Authorization": f"Bearer {secret}",
            "Request-Id": f"{number}",
            "Request-Class": "vale-almacen",
            "Request-Timeout-Ms": "750",
        }
        url = f"http://{HOST}:{self._port}/api"
        return httpx.post(url, headers=headers, content=b"body", timeout=CALL_TIMEOUT_S, trust_env=False).status_code


def _pool_settings() -> dict[str, Any]:
    found = settings(probes=False)
    found.pop("tenants")
    return found


def _call(api: httpx.Client, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    response = api.request(method, path, json=body)
    if response.is_error:
        raise ProgramError(f"{method} {path}: {response.status_code} {response.text}")
    decoded: dict[str, Any] = response.json() if response.content else {}
    return decoded


def _create_once(api: httpx.Client, suffix: str, body: dict[str, Any]) -> dict[str, Any]:
    """Create a tenant with an idempotency key, and return the answer: the same one again when it is repeated."""
    response = api.post("/v1/tenants", json=body, headers={"Idempotency-Key": f"create-{suffix}"})
    return {"status": response.status_code, "body": response.json()}


def read_all(api: httpx.Client) -> Snapshot:
    """Return all resources and the complete log of changes."""
    found: Snapshot = {}
    for collection in COLLECTIONS:
        found[collection] = _call(api, "GET", f"/v1/{collection}?limit={PAGE_ITEMS}")
        for item in found[collection]["items"]:
            name = item.get("name") or item["id"]
            found[f"{collection}/{name}"] = _call(api, "GET", f"/v1/{collection}/{name}")
    found["events"] = _call(api, "GET", f"/v1/events?limit={PAGE_ITEMS}")
    return found


def check_hosted(trees: TreePair, _seed: int, _seconds: float) -> list[Check]:
    """Write, read and continue a database in both orders."""
    checks: list[Check] = []
    with running_servers(BACKENDS, BACKEND_DELAY_MS) as servers:
        for first, second in trees.orders:
            with tempfile.TemporaryDirectory(prefix="lilacsill.hosted-") as folder:
                checks += _check_order(Deployment(Path(folder), servers), first, second)
    return checks


def _check_order(deployment: Deployment, first: SourceTree, second: SourceTree) -> list[Check]:
    deployment.bootstrap(first)
    with deployment.served_by(first) as api:
        deployment.write(api, first.name)
        written = read_all(api)
    with deployment.served_by(second) as api:
        read = read_all(api)
        repeated = _check_repeat(deployment, api, first, second)
        served_by_second = _check_clients(deployment, first, second)
        deployment.write(api, second.name)
        deployment.change(api, first.name)
        continued = read_all(api)
    with deployment.served_by(first) as api:
        reread = read_all(api)
        served_by_first = _check_clients(deployment, second, first)
    return [
        equality_check(AREA, f"{second.name} reads what {first.name} wrote", written, read, describe(read)),
        repeated,
        served_by_second,
        equality_check(AREA, f"{first.name} reads what {second.name} added", continued, reread, describe(reread)),
        served_by_first,
        _check_log(deployment, first, second),
    ]


def describe(snapshot: Snapshot) -> str:
    """Return how many resources and changes a snapshot has."""
    counts = [f"{len(snapshot[collection]['items'])} {collection}" for collection in COLLECTIONS]
    return f"{', '.join(counts)}, {len(snapshot['events']['items'])} changes equal"


def _check_clients(deployment: Deployment, issuer: SourceTree, server: SourceTree) -> Check:
    """A client with a credential that one build issued is served by the other; an unknown credential is rejected."""
    secret = deployment.secrets[f"served-{issuer.name}"]
    statuses: list[int] = []

    def is_served() -> bool:
        statuses.append(deployment.request_status(secret, len(statuses)))
        return statuses[-1] == OK

    with suppress(ProgramError):  # the statuses say so
        wait_until(is_served, "a served request")
    unknown_status = deployment.request_status(f"{secret[:-4]}0000", len(statuses))
    passed = statuses[-1:] == [OK] and unknown_status == UNAUTHORIZED
    figures = f"status {statuses[-1] if statuses else 'none'}; unknown credential: {unknown_status}"
    return Check(AREA, f"{server.name} serves clients of {issuer.name}", passed, figures)


def _check_repeat(deployment: Deployment, api: httpx.Client, writer: SourceTree, reader: SourceTree) -> Check:
    """A repeated creation gets the answer that the other build gave, and creates nothing."""
    body, expected = deployment.created[writer.name]
    found = _create_once(api, writer.name, body)
    name = f"{reader.name} answers repeats of {writer.name}'s calls"
    if expected["status"] != CREATED:
        return Check(AREA, name, False, f"status {expected['status']} at first")
    stored = {key: value for key, value in expected["body"].items() if key not in UNREPEATED_KEYS}
    expected = {"status": expected["status"], "body": stored}
    return equality_check(AREA, name, expected, found, f"status {found['status']}, the same body")


def _check_log(deployment: Deployment, tree: SourceTree, last_writer: SourceTree) -> Check:
    verified = tree.run(MODULE, "store", "verify", str(deployment.store))
    name = f"{tree.name} verifies the log that {last_writer.name} continued"
    figures = (verified.stdout or verified.stderr).strip().rpartition(f"{DATABASE}: ")[2]
    return Check(AREA, name, verified.returncode == 0, figures)
