"""Plays case 3: a raised limit never reaches the connections that clients keep open."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from backends import Backend  # noqa: E402
from common import (  # noqa: E402
    HOST,
    LIMITS,
    TROUBLE,
    CannotRunError,
    Deployment,
    Record,
    replace,
    route_item,
    run_case,
    service_item,
)

CLIENTS = 12  # on each of two machines
SMALL, LARGE = 2_000, 200_000  # bytes of a body
LOW, HIGH = 65_536, 1_048_576  # MaxBodyBytes before and after
REST_S = 1.0  # between the requests of a client; far below IdleTimeoutMs
CONFIG_WITHIN_S = 2.0


class Client(threading.Thread):
    """A client that keeps its connection: small requests until `grows` is set, then one large request."""

    def __init__(self, deployment: Deployment, ip: str, name: str, grows: threading.Event) -> None:
        super().__init__(daemon=True)
        self._deployment, self._ip, self._name, self._grows = deployment, ip, name, grows
        self._connection = http.client.HTTPConnection(ip, deployment.outgoing, timeout=5)
        self._count = 0
        self.sent = 0  # all requests
        self.statuses: list[int] = []  # of the small requests
        self.large_status = 0
        self.fresh_status = 0  # of the same large request on a new connection

    def run(self) -> None:
        """Send the requests."""
        while not self._grows.is_set():
            self.statuses.append(self._send(self._connection, SMALL))
            self._grows.wait(REST_S)
        self.large_status = self._send(self._connection, LARGE)
        fresh = http.client.HTTPConnection(self._ip, self._deployment.outgoing, timeout=5)
        self.fresh_status = self._send(fresh, LARGE)
        fresh.close()
        self._connection.close()

    def _send(self, connection: http.client.HTTPConnection, size: int) -> int:
        self._count += 1
        self.sent += 1
        number = f"{self._name}-{self._count}"
        port = connection.sock.getsockname()[1] if connection.sock else "new"
        headers = {"Host": HOST, "Attempt-Id": number, "Time-Left-Ms": "4000"}
        try:
            connection.request("POST", "/book/a", b"x" * size, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        self._deployment.record(f"client {number}: POST of {size} bytes at {self._ip}, connection {port}: {status}")
        return status


def play(record: Record) -> bool:
    """Return whether more proper requests were denied than the rule allows."""
    deployment = Deployment(record, services=("stock", "stock"))
    try:
        return play_in(deployment, record)
    finally:
        deployment.close()


def play_in(deployment: Deployment, record: Record) -> bool:
    """Play the day."""
    operator = deployment.operator
    deployment.start_all()
    for ip in deployment.sides:
        Backend(deployment, ip, f"i-{ip.rpartition('.')[2]}", slots=24)
    routes = [route_item("r-book", 1, "/book/", "stock", kind="writes")]
    limit = LOW if TROUBLE else HIGH  # without the change the limit is high from the first call on
    first = replace(routes, [service_item("stock", 1)], Limits={**LIMITS, "MaxBodyBytes": limit})
    if operator.change("first call", first) != 200:
        raise CannotRunError("the first call was refused")
    deployment.wait_until_ready()
    time.sleep(4.0)  # all machines are in touch

    raised = replace(Limits={**LIMITS, "MaxBodyBytes": HIGH, "ConfigVersion": "r2"})
    grows = threading.Event()
    clients = [
        Client(deployment, ip, f"c{ip.rpartition('.')[2]}-{i}", grows)
        for ip in deployment.sides
        for i in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    time.sleep(3.0)
    if TROUBLE:
        raise_limit(deployment, raised)
    time.sleep(CONFIG_WITHIN_S + 2.0)
    grows.set()
    for client in clients:
        client.join(30)
    deployment.check_running()

    if any(status != 200 for client in clients for status in client.statuses):
        raise CannotRunError("a small request was not served")
    if any(client.fresh_status != 200 for client in clients):
        raise CannotRunError("a large request on a new connection was not served")
    denied = sum(400 <= client.large_status < 500 for client in clients)
    total = sum(client.sent for client in clients)
    record(f"judge: {denied} of {total} requests denied; the rule allows {5 + total / 500:.1f}")
    return denied > 5 + total / 500


def raise_limit(deployment: Deployment, order: dict) -> None:
    """Send the raised limit."""
    if deployment.operator.change("Limits r2 with a higher MaxBodyBytes", order) != 200:
        raise CannotRunError("the raised limit was refused")


run_case(FOLDER, play)
