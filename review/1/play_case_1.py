"""Plays case 1: an order that was refused comes into force when a frozen core machine wakes."""

from __future__ import annotations

import signal
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
    call,
    replace,
    route_item,
    run_case,
    service_item,
    wait_for,
)

FREEZE_S = 4.0  # the largest dose of node_freeze on core machines in the site file
SETTLE_S = 6.0  # InTouchMs and ConfigWithinMs after the freeze, and a second
FROZEN = 2  # index of the machine that freezes


def request(deployment: Deployment, ip: str, path: str, number: str) -> int:
    """Send a client's request to the proxy of a machine, and return the status."""
    headers = {"Host": HOST, "Attempt-Id": number, "Time-Left-Ms": "2000"}
    status, _, _ = call(ip, deployment.outgoing, "GET", path, None, headers, 3.0)
    deployment.record(f"client: GET {path} {number} at {ip}: {status}")
    return status


def play(record: Record) -> bool:
    """Return whether the refused route is in force at the end."""
    deployment = Deployment(record, services=("stock", "stock", "fitment"))
    try:
        return play_in(deployment, record)
    finally:
        deployment.close()


def play_in(deployment: Deployment, record: Record) -> bool:
    """Play the day."""
    operator = deployment.operator
    deployment.start_all()
    for ip in deployment.sides:
        Backend(deployment, ip, f"i-{ip.rpartition('.')[2]}")
    first = replace([route_item("r-main", 1, "/main/", "stock")], [service_item("stock", 1)], Limits=LIMITS)
    if operator.change("first call", first) != 200:
        raise CannotRunError("the first call was refused")
    deployment.wait_until_ready()
    side = deployment.sides[0]
    wait_for(lambda: request(deployment, side, "/main/a", f"m{time.monotonic_ns()}") == 200, 15, "nothing is served")
    time.sleep(4.0)  # all machines are in touch

    frozen = deployment.cores[FROZEN]
    thaw = threading.Timer(FREEZE_S, lambda: deployment.signal_machine(frozen, signal.SIGCONT))
    started_at = time.monotonic()
    if TROUBLE:
        deployment.signal_machine(frozen, signal.SIGSTOP)
        thaw.start()
    # An order that names a service which is not known. The first agent of the operator's list is the frozen one.
    wrong = replace([route_item("r-wrong", 5, "/wrong/", "fitment")])
    status = operator.change("route r-wrong to the unknown service fitment", wrong, first=FROZEN)
    if status == 200:
        raise CannotRunError("the invalid order was acknowledged")
    # The service is then added for another route. The refused order is not sent again.
    right = replace([route_item("r-right", 6, "/right/", "fitment")], [service_item("fitment", 6)])
    if operator.change("service fitment with route r-right", right, first=0) != 200:
        raise CannotRunError("the valid order was refused")
    time.sleep(max(0.0, started_at + FREEZE_S + SETTLE_S - time.monotonic()))
    deployment.check_running()

    read = operator.read()
    names = [rule["Name"] for listener in read["Listeners"] for rule in listener["Policy"]]
    statuses = [request(deployment, ip, "/wrong/a", f"w{i}") for i, ip in enumerate(deployment.sides)]
    if "r-right" not in names:
        raise CannotRunError("the valid order is not in force")
    record(f"judge: refused with {status}; routes read back: {names}; statuses on /wrong/: {statuses}")
    return "r-wrong" in names or 200 in statuses


run_case(FOLDER, play)
