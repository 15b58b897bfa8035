"""Clients that pause while they read long answers, at a proxy that is stopped in order. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

from mesh2 import OUTGOING, Deployment, Request, first_order, head, play, route

HERE = Path(__file__).resolve().parent
CLIENTS = 6
ANSWER_BYTES = 8 << 20
DEADLINE_MS = 5500
PAUSE_S = 2.2  # before the rest of the answer is read


async def client(d: Deployment, front: str, name: str, pause: float) -> bool:
    """Send one request and read its answer; return whether the answer was complete."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (front, OUTGOING))
        await loop.sock_sendall(sock, head("GET", "/a/x", name, DEADLINE_MS))
        data = await loop.sock_recv(sock, 65536)
        d.record(f"client {name} has {len(data)} bytes and reads on after {pause} s")
        await asyncio.sleep(pause)
        count, problem = len(data), "the connection was closed"
        fields, _, rest = data.partition(b"\r\n\r\n")
        due = len(data) - len(rest) + ANSWER_BYTES
        try:
            while count < due:
                more = await loop.sock_recv(sock, 1 << 18)
                if not more:
                    break
                count += len(more)
        except OSError as error:
            problem = str(error)
    ending = problem if count < due else "complete"
    d.record(f"client {name} {fields.splitlines()[0].decode()}: {count} of {due} bytes; {ending}")
    return count >= due


async def main(trouble: bool) -> bool:
    """Play the case, and return whether every request got a complete answer."""
    d = Deployment(HERE, 3, {"stock-desk": 2, "fitment-catalog": 2})

    async def work(_request: Request) -> bytes:
        await asyncio.sleep(0.1)
        return bytes(ANSWER_BYTES)

    try:
        services = ["stock-desk", "fitment-catalog"]
        await d.start(first_order(1, services, [route("r-a", 1, "/a/", "stock-desk", "read_only")]))
        for backend in d.backends.values():
            backend.work = work
        front = next(ip for ip, service in d.programs.service.items() if service == "fitment-catalog")
        pause = PAUSE_S if trouble else 0.0
        clients = [asyncio.create_task(client(d, front, f"c{i}", pause)) for i in range(CLIENTS)]
        await asyncio.sleep(0.05)
        d.programs.signal("proxy", front, signal.SIGTERM)
        complete = await asyncio.gather(*clients)
        cut = complete.count(False)
        print(f"LOST {'broken' if cut else 'held'}: {cut} of {CLIENTS} answers ended early")
        return not cut
    finally:
        await d.close()


play(main)
