"""What a request costs the mesh's processes: CPU near and far, memory, start; real processes on loopback.

    python -m benchmarks.mesh_cost [--quick]

Control: a bare pass-through on asyncio and the same parser (`benchmarks.passthrough`), one process for the whole way.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_request
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.simulation.http_call import HttpCall
from lilacsill.mesh.simulation.loopback import SERVICE, Backend, LoopbackMesh, rules
from lilacsill.mesh.simulation.loopback_processes import (
    APP_PORT,
    CORE_PROGRAMS,
    OUTGOING_PORT,
    READY_PORT,
    ProcessKey,
    Program,
)

READY_TIMEOUT_US = 1_500_000
CLIENTS = 8
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def private_mb(pid: int) -> float:
    """Return the memory that a process alone has, in MB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith(("Private_Clean", "Private_Dirty"))) / 1024


class PersistentClient(Connection):
    """A client with one connection and one request at a time."""

    def __init__(self, mesh: LoopbackMesh, to: Address, left: int, done: Callable[[], None]) -> None:
        super().__init__()
        self._reader, self._left, self._done = Reader(HttpResponseParser, 1 << 20), left, done
        self.served = 0

        def opened(sock: object) -> None:
            self.attach(sock)  # type: ignore[arg-type]
            self._ask()

        connect(mesh.reactor, to, 1_000_000, opened, lambda e: done())

    def _ask(self) -> None:
        headers = [
            (b"Host", b"h.example"),
            (b"Attempt-Id", b"%x-%d" % (id(self), self._left)),
            (b"Time-Left-Ms", b"2000"),
        ]
        self.send(encode_request(b"GET", b"/reads/a", headers))

    def on_data(self, data: bytes) -> None:
        """Send the next request after each response."""
        for message in self._reader.feed(data):
            self.served += message.status == 200
            self._left -= 1
            if self._left:
                self._ask()
            else:
                self.drop()
                self._done()


def load(mesh: LoopbackMesh, to: Address, requests: int) -> int:
    """Send so many requests over all clients, and return how many were served."""
    over: list[bool] = []
    clients = [PersistentClient(mesh, to, requests // CLIENTS, lambda: over.append(True)) for _ in range(CLIENTS)]
    assert mesh.until(lambda: len(over) == CLIENTS, 300)
    return sum(c.served for c in clients)


def ready_after(mesh: LoopbackMesh, ip: str) -> float:
    """Seconds from the start of a proxy until it says that it is ready."""
    began, ready = time.monotonic(), list[bool]()
    mesh.processes.start(Program.PROXY, ip, SERVICE)

    def ask() -> None:
        data = encode_request(b"GET", b"/api/ready", [(b"Host", b"proxy")])
        HttpCall(mesh.reactor, Address(ip, READY_PORT), data, READY_TIMEOUT_US, answered)

    def answered(response: Message | None) -> None:
        if response is not None and response.status == 200:
            ready.append(True)
        else:
            mesh.reactor.after(5_000, ask)

    ask()
    assert mesh.until(lambda: bool(ready), 20)
    return time.monotonic() - began


def main() -> None:
    """Print the figures and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="fewer requests; under a minute")
    requests = 4_000 if parser.parse_args().quick else 40_000
    with LoopbackMesh(cores=3, sidecars=2) as mesh:
        near_ip, far_ip = mesh.sidecars
        mesh.backends[near_ip].state = "draining"  # so that all requests cross
        done: list[int] = []
        mesh.operate(rules(1, ["reads", "writes"]), done.append)
        assert mesh.until(lambda: done == [200], 20)
        mesh.run(2.0)
        pids = {
            name: mesh.processes.pid(ProcessKey(Program.PROXY, ip)) for name, ip in (("near", near_ip), ("far", far_ip))
        }
        load(mesh, Address(near_ip, OUTGOING_PORT), requests // 10)  # connections are up, tables are known
        before = {name: cpu_s(pid) for name, pid in pids.items()}
        served = load(mesh, Address(near_ip, OUTGOING_PORT), requests)
        cost = {name: 1e6 * (cpu_s(pid) - before[name]) / served for name, pid in pids.items()}
        memory = {name: private_mb(pid) for name, pid in pids.items()}
        memory |= {
            program: private_mb(mesh.processes.pid(ProcessKey(program, mesh.cores[0]))) for program in CORE_PROGRAMS
        }
        Backend(mesh, "127.0.0.1")
        control = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.passthrough", str(APP_PORT)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert control.stdout is not None and control.stdin is not None
        port = int(control.stdout.readline())
        load(mesh, Address("127.0.0.1", port), requests // 10)
        at = cpu_s(control.pid)
        load(mesh, Address("127.0.0.1", port), requests)
        bare = 1e6 * (cpu_s(control.pid) - at) / requests
        control.stdin.close()
        control.wait()
        mesh.processes.kill(ProcessKey(Program.PROXY, near_ip))
        start = ready_after(mesh, near_ip)
    print(f"CPU a request: near {cost['near']:.0f} us, far {cost['far']:.0f} us, pass-through {bare:.0f} us")
    print(f"both ends: {(cost['near'] + cost['far']) / bare:.1f} times the control")
    print("private memory: " + ", ".join(f"{name} {mb:.1f} MB" for name, mb in memory.items()))
    print(f"a proxy that is started anew is ready after {start:.2f} s")
    print(
        json.dumps(
            {
                "near_us": round(cost["near"]),
                "far_us": round(cost["far"]),
                "control_us": round(bare),
                "ratio": round((cost["near"] + cost["far"]) / bare, 2),
                "ready_s": round(start, 2),
                "memory_mb": {k: round(v, 1) for k, v in memory.items()},
                "served": served,
            }
        )
    )


if __name__ == "__main__":
    main()
