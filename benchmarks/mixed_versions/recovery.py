"""Two agents that know of each other, one of each build, and the state that each saves for a start of the other build.

Both agents keep their state in one recovery folder. After traffic and a backend taken out of service they end; then
each starts from the other tree, with a configuration that names one backend only, so that what it knows of the others
is from the saved state.
"""

from __future__ import annotations

import json
import socket
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import httpx

from benchmarks.processes import settings
from benchmarks.standins import members

from .checks import Check, equality_check
from .programs import CALL_TIMEOUT_S, HOST, ProgramError, Servers, free_ports, running, running_servers, wait_until
from .source_trees import SourceTree, TreePair

AREA = "recovery"
MODULE = "lilacsill"
OK = 200
BACKENDS, BACKEND_DELAY_MS = 4, 2.0
REQUESTS = 300  # to each agent
MIN_SERVED_SHARE = 0.9  # the rest may be refused while backends warm up
DISABLED_BACKEND = "s3"
AGENTS = 2
OPERATOR = """[peers]
enabled = true
fleet = "mixed"
secrets_file = "{folder}/secrets"
period_ms = 100
lease_ms = 400
records = "{folder}/records/n{number}.jsonl"
[recovery]
folder = "{folder}/state"
fleet = "mixed"
every_ms = 500
"""
SECRET = "a-secret-of-the-mixed-fleet"


class AgentClient:
    """The ports of one agent, and calls to it."""

    def __init__(self, port: int, admin_port: int) -> None:
        self.port, self.admin_port = port, admin_port
        self._http = httpx.Client(timeout=CALL_TIMEOUT_S, trust_env=False)

    def status(self, call: str, method: str = "GET") -> int:
        """Make an operator's call, and return its status."""
        return self._http.request(method, f"http://{HOST}:{self.admin_port}/-/{call}").status_code

    def read(self, call: str) -> dict[str, Any]:
        """Return the answer to an operator's call."""
        answer: dict[str, Any] = self._http.get(f"http://{HOST}:{self.admin_port}/-/{call}").json()
        return answer

    def served(self, prefix: str) -> int:
        """Send requests one after the other, and return how many were served."""
        statuses = [self._request_status(f"{prefix}-{number}") for number in range(REQUESTS)]
        return statuses.count(OK)

    def _request_status(self, request_id: str) -> int:
        headers = {
            "Request-Id": request_id,
            "Request-Class": "vale-almacen",
            "Tenant": "norvalle",
            "Request-Timeout-Ms": "750",
        }
        return self._http.post(f"http://{HOST}:{self.port}/api", headers=headers, content=b"body").status_code

    def is_peer_alive(self) -> bool:
        """Return whether the agent has heard the other one."""
        found = self.read("peers")
        other = next(member for member in found["members"] if member["number"] != found["me"])
        return other["state"] == "alive" and other["heard_s"] is not None


class AgentFleet:
    """The configuration of two agents, which either build runs."""

    def __init__(self, folder: Path, servers: Servers) -> None:
        self._folder, self._servers = folder, servers
        tcp, self._peer_ports = free_ports(2 * AGENTS), free_ports(AGENTS, socket.SOCK_DGRAM)
        self.clients = [AgentClient(*pair) for pair in zip(tcp[:AGENTS], tcp[AGENTS:], strict=True)]
        (folder / "state").mkdir()
        (folder / "records").mkdir()
        (folder / "secrets").write_text(f"{SECRET}\n")

    @property
    def records(self) -> Path:
        """The folder of what the agents noted on each other."""
        return self._folder / "records"

    @contextmanager
    def run_by(self, trees: tuple[SourceTree, ...], known: dict[str, Any]) -> Iterator[None]:
        """Run each agent from its tree, with a list of backends; both serve and know of each other."""
        with ExitStack() as stack:
            for number, tree in enumerate(trees):
                stack.enter_context(self._agent(number, tree, known))
            for client in self.clients:
                wait_until(lambda client=client: client.status("ready") == OK, "the agent is ready")  # type: ignore[misc]
            for client in self.clients:
                wait_until(client.is_peer_alive, "an agent hears one of the other build")
            yield

    @contextmanager
    def _agent(self, number: int, tree: SourceTree, known: dict[str, Any]) -> Iterator[None]:
        folder = self._folder / f"n{number}"
        folder.mkdir(exist_ok=True)
        config, operator = folder / "config.json", folder / "operator.toml"
        config.write_text(json.dumps(self._config(number, known)))
        operator.write_text(OPERATOR.format(folder=self._folder, number=number))
        environment = {"RELAY_CONFIG": str(config), "TMPDIR": str(folder)}
        with running(tree, folder / "agent.log", environment, MODULE, "--operator", str(operator)):
            yield

    def _config(self, number: int, known: dict[str, Any]) -> dict[str, Any]:
        found = settings(probes=False)
        found["allowed"]["peers"] = True
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{self.clients[number].port}",
            "admin_addr": f"{HOST}:{self.clients[number].admin_port}",
            "discovery": f"{HOST}:{self._servers.discovery}",
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 384},
            "settings": {**found, "siblings": AGENTS, "me": number},
            "known": known,
            "peer_listen": f"{HOST}:{self._peer_ports[number]}",
            "peers": [f"{HOST}:{port}" for port in self._peer_ports],
        }


def check_recovery(trees: TreePair, _seed: int, _seconds: float) -> list[Check]:
    """Run an agent of each build, then each agent again from the other tree."""
    before, after = (trees.old, trees.new), (trees.new, trees.old)
    with (
        tempfile.TemporaryDirectory(prefix="lilacsill.recovery-") as folder,
        running_servers(BACKENDS, BACKEND_DELAY_MS) as servers,
    ):
        fleet = AgentFleet(Path(folder), servers)
        listed = members(servers.backends)
        with fleet.run_by(before, listed):
            served = [client.served("before") for client in fleet.clients]
            previous = [_disable_and_read(client) for client in fleet.clients]
        with fleet.run_by(after, {**members(servers.backends[:1]), "revision": 0}):
            found = [client.read("recovery") for client in fleet.clients]
            served_after = [client.served("after") for client in fleet.clients]
        checks = [
            judge_served("agents of both builds as peers", served),
            judge_served("the same agents after the exchange of builds", served_after),
        ]
        for number in range(AGENTS):
            name = f"{after[number].name} uses the state that {before[number].name} saved"
            checks.append(judge_recovery(name, previous[number], found[number]))
        return [*checks, _check_records(fleet.records, trees)]


def _disable_and_read(client: AgentClient) -> dict[str, Any]:
    """Take a backend out of service, and return what the agent answers on its saved state."""
    if client.status(f"backends/{DISABLED_BACKEND}/disable", "POST") != OK:
        raise ProgramError(f"{DISABLED_BACKEND} cannot be taken out of service")
    return client.read("recovery")


def judge_served(name: str, served: list[int]) -> Check:
    """Each agent served its requests."""
    passed = all(count >= MIN_SERVED_SHARE * REQUESTS for count in served)
    return Check(AREA, name, passed, f"{' and '.join(map(str, served))} of {REQUESTS} served")


def judge_recovery(name: str, previous: dict[str, Any], found: dict[str, Any]) -> Check:
    """An agent has used what its predecessor saved: the list, the latencies, operators' decisions, the incarnation.

    Args:
        name: Of the check.
        previous: What the predecessor answered to `recovery`.
        found: What the agent answered.
    """
    loaded, listing = found["loaded"], found["list"]
    conditions = {
        "the state is not used": loaded["used"],
        "generations are left aside": not [
            skipped for skipped in loaded["left_aside"] if skipped["generation"] < loaded["generation"]
        ],
        "the list is not the saved one": (listing["source"], listing["backends"]) == ("saved", BACKENDS),
        "the latencies are not used": found["pace"]["answers"] > 0,
        "the disabled backend is forgotten": found["out"] == [DISABLED_BACKEND],
        "the incarnation is not greater": found["life"] > previous["life"],
    }
    broken = [reason for reason, holds in conditions.items() if not holds]
    figures = (
        f"generation {loaded['generation']}, {listing['backends']} backends ({listing['source']}), "
        f"{found['pace']['answers']} answers, out: {', '.join(found['out']) or 'none'}"
    )
    return Check(AREA, name, not broken, f"{figures}{': ' if broken else ''}{', '.join(broken)}")


def _check_records(folder: Path, trees: TreePair) -> Check:
    """Both builds join the agents' records, parts of which each build wrote, to the same stories."""
    printed = [tree.run("lilacsill.emulator", "fleet", str(folder), "--json") for tree in (trees.old, trees.new)]
    for output in printed:
        if output.returncode:
            raise ProgramError(f"fleet: {output.stderr.strip()}")
    expected, found = (json.loads(output.stdout) for output in printed)
    stories = len(expected["stories"])
    if not stories:
        return Check(AREA, "fleet joins the records of both builds", False, "there are no stories")
    return equality_check(AREA, "fleet joins the records of both builds", expected, found, f"{stories} stories equal")
