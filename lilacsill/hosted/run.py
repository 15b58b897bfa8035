"""The service as a process: it assembles the parts, runs them, and shuts them down."""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import signal
import socket
import time

from lilacsill.agent.operator.sections import HostedSection

from ..address import parse_address
from .api.server import AdminServer
from .store.interface import StoreError
from .store.sqlite import SqliteStore
from .supervisor.service import Service
from .supervisor.workers import Workers
from .worker.process import WorkerConfig

log = logging.getLogger("lilacsill.supervisor")

EXIT_OK = 0
EXIT_NO_ADDRESS = 1
"""Exit status where a listening address cannot be bound."""
EXIT_NO_STORE = 2
"""Exit status where the store cannot be opened."""


def wall_ms() -> int:
    """Read the wall clock, in milliseconds of Unix time."""
    return time.time_ns() // 1_000_000


def reserve_address(host: str, port: int) -> socket.socket:
    """Bind a socket that does not listen; it keeps the port while no worker listens on it.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, port))
    return sock


async def serve(section: HostedSection, operator: str | None) -> int:
    """Run the service until SIGTERM or SIGINT. Returns the exit status."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        store = SqliteStore(section.store, wall_ms)
    except StoreError as error:
        log.error("%s", error)
        return EXIT_NO_STORE
    address = parse_address(section.listen)
    try:
        reserved = reserve_address(address.host, address.port)
    except OSError as error:
        log.error("cannot listen on %s: %s", section.listen, error)
        return EXIT_NO_ADDRESS
    service = Service(store)
    workers = Workers(store, reserved.getsockname()[:2], _worker_configs(section, operator), service.finish_removal)
    service.listeners.append(workers.publish)
    admin = AdminServer(section, service, workers)
    try:
        admin_port = await admin.start()
    except OSError as error:
        log.error("cannot listen on %s: %s", section.admin_listen, error)
        return EXIT_NO_ADDRESS
    serving = asyncio.create_task(workers.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        log.info(
            "serving on %s:%d, administration on port %d, %d workers, revision %d, pid %d",
            *reserved.getsockname()[:2],
            admin_port,
            section.workers,
            store.revision,
            os.getpid(),
        )
        await stopping
    serving.cancel()
    await workers.stop()
    await admin.stop()
    store.close()
    reserved.close()
    log.info("stopped")
    return EXIT_OK


def _worker_configs(section: HostedSection, operator: str | None) -> list[WorkerConfig]:
    return [
        WorkerConfig(section.listen, index, section.workers, section.sockets, secrets.randbits(63), operator)
        for index in range(section.workers)
    ]
