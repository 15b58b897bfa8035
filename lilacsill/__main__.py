"""Starts the agent: ``python -m lilacsill``, configured by RELAY_CONFIG. Stops in order on SIGTERM."""
from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import Any

from brasshead.logic import Balancer

from .agent import Agent
from .backends import Backends
from .clock import Clock
from .config import Config, ConfigError, load
from .discovery import Discovery
from .server import Server

log = logging.getLogger("lilacsill")

SERVE_ON_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
FINISH_SLACK_S = 0.1  # past the longest deadline; SIGKILL comes 0.7 s past it
DESCRIPTORS_APART = 64  # for discovery, listener, logs and the event loop


async def serve(config: Config, clock: Clock) -> int:
    """Run until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_unhandled)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    settings = config.settings
    connect_s = config.connect_timeout_us / 1e6
    backends = Backends(clock, settings.report_fields, config.connect_timeout_us, config.conn_idle_us,
                        most=max(1, (config.sockets - DESCRIPTORS_APART) // 2))
    discovery = Discovery(config.discovery, config.parser, config.known.revision, connect_s)
    agent = Agent(Balancer(settings, config.seed), clock, backends, discovery)
    agent.start(config.known)
    server = Server(settings, agent)
    try:
        await server.listen(config.listen)
    except OSError as e:
        print(f"lilacsill: cannot listen: {e}", file=sys.stderr)
        return 1
    await stop.wait()
    longest_s = max(c.deadline_us for c in settings.classes) / 1e6
    await server.drain(SERVE_ON_S, longest_s + FINISH_SLACK_S)
    return 0


def _unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """What no one caught is logged and ends neither the process nor other requests."""
    log.error("unhandled: %s", context.get("message"), exc_info=context.get("exception"))


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    try:
        config = load(os.environ, clock)
    except ConfigError as e:
        print(f"lilacsill: {e}", file=sys.stderr)
        return 2
    return asyncio.run(serve(config, clock))


if __name__ == "__main__":
    sys.exit(main())
