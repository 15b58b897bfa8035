"""Runs one agent from start to stop: signals, optional components and the order of shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lilacsill.clock import Clock

from .agent import Agent
from .assembly import Options, Parts, assemble, budget_for
from .config import Config, ConfigError
from .inbound.draining import DrainTimes
from .reload import Reload

if TYPE_CHECKING:
    from .admin.operations import Operations
    from .admin.server import AdminServer
    from .peers.channel import Channel
    from .recorder.ring import Recorder
    from .recovery.service import Recovery

log = logging.getLogger("lilacsill")

# After SIGTERM new connections arrive for another 0.2 to 0.4 s, and SIGKILL follows 0.7 s after the longest deadline.
DRAIN_IDLE_S, DRAIN_SERVE_S, DRAIN_FINISH_S = 0.1, 0.5, 0.6
# After a handover to a successor no new connections arrive, and only idle connections are closed.
HANDOVER_IDLE_S = 0.5
# A successor must be ready within 6 s, and the list of discovery is binding 2 s after that.
BACKENDS_KNOWN_TIMEOUT_S = 2.0


@dataclass(slots=True)
class OptionalParts:
    """The components that the configuration can enable; the modules of disabled ones are not imported."""

    recovery: Recovery | None = None
    recorder: Recorder | None = None
    peers: Channel | None = None
    operations: Operations | None = None
    admin: AdminServer | None = None


async def serve(config: Config, clock: Clock, options: Options) -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit status."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    optional = OptionalParts(recovery=_open_recovery(config, clock, options))
    if optional.recovery is not None:
        config = optional.recovery.config
    try:
        parts = assemble(config, clock, admission=options.admission())
    except ConfigError as error:
        print(f"lilacsill: {error}", file=sys.stderr)
        return 2
    optional.recorder = _open_recorder(config, clock, options, parts.agent)
    try:
        optional.peers = _open_peers(config, clock, options, parts.agent, optional.recovery)
    except (ConfigError, OSError) as error:
        print(f"lilacsill: {error}", file=sys.stderr)
        return 2
    if optional.recovery is not None:
        parts.agent.add_observer(optional.recovery)
        parts.agent.restore_latency_model(optional.recovery.restored_latency_model())
    reload = Reload(parts, clock, options, budget_for(config), optional.peers)
    loop.add_signal_handler(signal.SIGHUP, reload.begin)
    parts.agent.start(config.known)
    try:
        port = await _listen(config, parts, optional, stop)
    except OSError as error:
        print(f"lilacsill: cannot listen: {error}", file=sys.stderr)
        return 1
    log.info("%s listens on %s:%d", config.name, config.listen.host, port)
    _start_optional(parts, optional)
    await stop.wait()
    await _shut_down(config, parts, optional)
    log.info("%s: stopped", config.name)
    return 0


async def _listen(config: Config, parts: Parts, optional: OptionalParts, stop: asyncio.Event) -> int:
    """Open the admin API, then listen for clients; return the clients' port.

    Raises:
        OSError: An address cannot be listened on.
    """
    # The settings of operators must be in effect before the first request.
    operations = optional.operations = _open_operations(config, parts, optional)
    optional.admin = _open_admin(config, parts, operations)
    if operations is not None and operations.other_pid:
        await _wait_for_backends(parts.agent, stop)
    return parts.server.listen(config.listen, descriptor=config.listen_fd)


def _start_optional(parts: Parts, optional: OptionalParts) -> None:
    """Start the background work of the optional components; the agent serves from now on."""
    operations = optional.operations
    if operations is not None:
        operations.mark_serving()
    if optional.peers is not None:
        optional.peers.start()
    recovery = optional.recovery
    if recovery is not None:
        disabled = (
            operations.disabled_backends if operations is not None else lambda: recovery.initial.disabled_backends
        )
        recovery.start_saving(parts.agent.latency_model, disabled)


async def _shut_down(config: Config, parts: Parts, optional: OptionalParts) -> None:
    """Drain the clients and close the optional components."""
    if optional.peers is not None:
        optional.peers.stop()  # before the drain, since a successor binds the same address
    end_s = max(c.deadline_us for c in config.settings.classes) / 1e6 + DRAIN_FINISH_S
    operations = optional.operations
    if operations is not None and config.listen_fd is not None and operations.has_successor():
        log.info("%s: handing over to process %d", config.name, operations.other_pid)
        parts.server.hand_over()
        await parts.server.drain(DrainTimes(HANDOVER_IDLE_S, HANDOVER_IDLE_S, end_s))
    else:
        await parts.server.drain(DrainTimes(DRAIN_IDLE_S, DRAIN_SERVE_S, end_s))
    if optional.recorder is not None:
        optional.recorder.close()
    if optional.recovery is not None:
        optional.recovery.stop()
    if optional.admin is not None and operations is not None:
        optional.admin.stop()
        operations.stop()


async def _wait_for_backends(agent: Agent, stop: asyncio.Event) -> None:
    """Wait for the first list from discovery, a timeout or `stop`, while the predecessor still serves."""
    agent.refresh_backends()
    waits = [asyncio.ensure_future(event.wait()) for event in (agent.backends_known, stop)]
    await asyncio.wait(waits, timeout=BACKENDS_KNOWN_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def _open_recovery(config: Config, clock: Clock, options: Options) -> Recovery | None:
    # The folder is not set on platforms without a persistent disk.
    if options.operator is None or not options.operator.recovery.folder:
        return None
    from .recovery.service import Recovery

    return Recovery(config, options.operator.recovery, clock)


def _open_peers(
    config: Config, clock: Clock, options: Options, agent: Agent, recovery: Recovery | None
) -> Channel | None:
    """Open the channel between agents if the operator file enables it and the platform allows it.

    Raises:
        ConfigError: The settings of the channel are missing or invalid.
        OSError: The address of the channel cannot be opened.
    """
    if options.operator is None or not options.operator.peers.enabled:
        return None
    if not config.peers_allowed:
        log.info("%s: [peers] is enabled, but the platform does not allow it; the peer channel stays off", config.name)
        return None
    from .peers.channel import Channel

    return Channel(config, options.operator.peers, clock, agent, recovery.incarnation if recovery is not None else 0)


def _open_operations(config: Config, parts: Parts, optional: OptionalParts) -> Operations | None:
    if config.admin is None:
        return None
    from .admin.operations import Operations
    from .admin.operations_file import OperationsFile

    recovery = optional.recovery
    file = OperationsFile(os.environ.get("TMPDIR"))
    operations = Operations(parts.server, parts.agent, file, optional.peers, recovery)
    operations.start(recovery.initial.disabled_backends if recovery is not None else frozenset())
    parts.limit.other_process = lambda: operations.other_pid
    return operations


def _open_admin(config: Config, parts: Parts, operations: Operations | None) -> AdminServer | None:
    """Open the admin API if its address is configured.

    Raises:
        OSError: The address cannot be listened on.
    """
    if config.admin is None or operations is None:
        return None
    from .admin.server import AdminServer

    server = AdminServer(operations.execute, parts.spare, parts.server.descriptors_exhausted)
    port = server.listen(config.admin)
    log.info("%s answers operators on %s:%d", config.name, config.admin.host, port)
    return server


def _open_recorder(config: Config, clock: Clock, options: Options, agent: Agent) -> Recorder | None:
    if options.operator is None or not options.operator.recorder.path:
        return None
    from .recorder.ring import Recorder

    section = options.operator.recorder
    recorder = Recorder(
        section.path,
        section.max_mb * 2**20,
        config.name,
        config.settings,
        clock,
        agent.estimates,
        section.beliefs_ms * 1000,
    )
    agent.add_observer(recorder)
    return recorder


def _log_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled exception of a callback or task; the process and other requests continue."""
    log.error("unhandled exception in the event loop: %s", context.get("message"), exc_info=context.get("exception"))
