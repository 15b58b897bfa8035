"""One agent, from its parts to its end: signals, reload and the order of a stop."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lilacsill.balancing.interface import DiscoveryMode
from lilacsill.balancing.logic import Balancer
from lilacsill.clock import Clock

from . import descriptors
from .admission.controller import AdmissionController
from .admission.descriptor_account import DescriptorAccount
from .admission.settings import AdmissionSettings, ConnectionTimeouts, DescriptorBudget
from .agent import Agent
from .config import Config, ConfigError, load_again
from .descriptors import EXHAUSTED, SharedLimit, Spare
from .discovery.watch import Discovery
from .inbound.leave import DrainTimes
from .inbound.server import SWEEP_S, Server
from .inbound.validation import RequestValidator
from .outbound.attempts import Backends
from .outbound.pool import SETTLE_US, Pool
from .watermarks import Watermarks, budget_of

if TYPE_CHECKING:
    from .admin.door import Door
    from .admin.operations import Operations
    from .operator.sections import OperatorFile
    from .peers.channel import Channel
    from .recorder.ring import Recorder
    from .recovery.room import Recovery

log = logging.getLogger("lilacsill")

# After SIGTERM new connections come for 0.2 to 0.4 s, and SIGKILL comes 0.7 s past the longest deadline.
IDLE_S, SERVE_S, FINISH_S = 0.1, 0.5, 0.6
# With another process in its place no connections come, and those that are idle are the only ones to be closed.
HANDED_OVER_IDLE_S = 0.5
LEARN_S = 2.0  # a process that takes over is to be ready within 6 s, and what discovery tells binds 2 s after that
READ_AGAIN_S, READS = 0.1, 30  # for the files of a reload, where no descriptor is left to read them with


@dataclass(slots=True, frozen=True)
class Options:
    """What the command line and the environment name beside the platform's configuration."""

    operator_path: str | None = None
    operator: OperatorFile | None = None  # the file as read at the start

    def admission(self) -> AdmissionSettings:
        return self.operator.admission.settings() if self.operator is not None else AdmissionSettings()


@dataclass(slots=True, frozen=True)
class Parts:
    """One agent, wired."""

    agent: Agent
    server: Server
    gate: AdmissionController
    spare: Spare
    limit: SharedLimit


def check_reserve(admission: AdmissionSettings, budget: DescriptorBudget) -> None:
    """A reserve must leave strangers something. Raises ConfigError."""
    most = DescriptorAccount(budget).shared // 2
    if admission.reserve > most:
        raise ConfigError(
            f"[admission] reserve: {admission.reserve} is above {most}, half of the descriptors that "
            f"clients and backends share under the limit of {budget.limit}"
        )


def budget_for(config: Config) -> DescriptorBudget:
    """By what the process holds now; the listener comes on top, and the operators' door where there is one."""
    base = descriptors.held() + 1 + config.peers_allowed  # the listener, and the socket between agents
    if config.admin is not None:
        from .admin.door import DESCRIPTORS

        base += DESCRIPTORS
    return DescriptorBudget(descriptors.limit(config.sockets), base)


def assemble(
    config: Config,
    clock: Clock,
    timeouts: ConnectionTimeouts | None = None,
    settle_us: int = SETTLE_US,
    sweep_s: float = SWEEP_S,
    admission: AdmissionSettings | None = None,
    budget: DescriptorBudget | None = None,
) -> Parts:
    """The parts, wired; nothing has started yet."""
    settings, admission = config.settings, admission or AdmissionSettings()
    budget = budget or budget_for(config)
    check_reserve(admission, budget)
    ledger = DescriptorAccount(budget)
    gate = AdmissionController(ledger, admission, timeouts or ConnectionTimeouts(), config.seed, log.warning)
    spare = Spare()
    pool = Pool(clock, config.connect_timeout_us, config.conn_idle_us, ledger, settle_us)
    backends = Backends(clock, settings.report_fields, pool)
    discovery = Discovery(
        clock,
        config.discovery,
        config.parser,
        config.known.revision,
        config.connect_timeout_us / 1e6,
        settings.discovery is DiscoveryMode.PUSH,
        config.seed,
    )
    agent = Agent(Balancer(settings, config.seed), clock, backends, discovery)
    limit = SharedLimit(config.sockets)
    # Where a listener is handed on another process may come at any time, under the same limit.
    marks = Watermarks(budget_of(config.memory_mb, 1 if config.listen_fd is None else 2))
    validator = RequestValidator(settings.classes, settings.tenants)
    most_advice_s = settings.max_retry_after_us / 1e6 if settings.can_advise_retry else 0.0
    server = Server(validator, most_advice_s, agent, gate, clock, spare, pool, limit, budget.refusals, marks, sweep_s)
    pool.downstream_makes_way = server.make_way_for_upstream
    pool.short_of_descriptors = server.short_of_descriptors
    discovery.short_of_descriptors = server.short_of_descriptors
    return Parts(agent, server, gate, spare, limit)


async def serve(config: Config, clock: Clock, options: Options) -> int:
    """Run until SIGTERM or SIGINT. Returns the exit status."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_unhandled)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    recovery = _recovery(config, clock, options)
    if recovery is not None:
        config = recovery.config
    try:
        parts = assemble(config, clock, admission=options.admission())
    except ConfigError as e:
        print(f"lilacsill: {e}", file=sys.stderr)
        return 2
    recorder = _record(config, clock, options, parts.agent)
    try:
        peers = _peers(config, clock, options, parts.agent, recovery)
    except (ConfigError, OSError) as e:
        print(f"lilacsill: {e}", file=sys.stderr)
        return 2
    if recovery is not None:
        parts.agent.observe(recovery)
        parts.agent.remember(recovery.known_pace())
    reload = Reload(parts, clock, options, budget_for(config), peers)
    loop.add_signal_handler(signal.SIGHUP, reload.begin)
    parts.agent.start(config.known)
    try:
        # What operators have asked for holds from the first request on.
        operations = _operations(config, parts, peers, recovery)
        door = _open_door(config, parts, operations)
        if operations is not None and operations.beside:
            await _learn(parts.agent, stop)
        port = parts.server.listen(config.listen, descriptor=config.listen_fd)
    except OSError as e:
        print(f"lilacsill: cannot listen: {e}", file=sys.stderr)
        return 1
    log.info("%s listens on %s:%d", config.name, config.listen.host, port)
    if operations is not None:
        operations.serves()
    if peers is not None:
        peers.start()
    if recovery is not None:
        recovery.follow(parts.agent.pace, operations.out if operations is not None else lambda: recovery.start.out)
    await stop.wait()
    if peers is not None:
        peers.stop()  # before the clients go: a process that takes over needs the address
    longest_s = max(c.deadline_us for c in config.settings.classes) / 1e6
    if operations is not None and config.listen_fd is not None and operations.succeeded():
        log.info("%s hands over to process %d", config.name, operations.beside)
        parts.server.hand_over()
        await parts.server.drain(DrainTimes(HANDED_OVER_IDLE_S, HANDED_OVER_IDLE_S, longest_s + FINISH_S))
    else:
        await parts.server.drain(DrainTimes(IDLE_S, SERVE_S, longest_s + FINISH_S))
    if recorder is not None:
        recorder.close()
    if recovery is not None:
        recovery.stop()
    if door is not None and operations is not None:
        door.stop()
        operations.stop()
    log.info("%s stops", config.name)
    return 0


async def _learn(agent: Agent, stop: asyncio.Event) -> None:
    """While another process serves, wait until discovery has told of the backends, but not for long."""
    agent.learn()
    waits = [asyncio.ensure_future(e.wait()) for e in (agent.listed, stop)]
    await asyncio.wait(waits, timeout=LEARN_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def _recovery(config: Config, clock: Clock, options: Options) -> Recovery | None:
    """Where no folder is named, as on a platform without a disk that lasts, nothing of it is imported."""
    if options.operator is None or not options.operator.recovery.folder:
        return None
    from .recovery.room import Recovery

    return Recovery(config, options.operator.recovery, clock)


def _peers(config: Config, clock: Clock, options: Options, agent: Agent, recovery: Recovery | None) -> Channel | None:
    """Where the platform forbids it, or nothing is set, nothing of it is imported. Raises ConfigError and OSError."""
    if options.operator is None or not options.operator.peers.enabled:
        return None
    if not config.peers_allowed:
        log.info("[peers] is enabled, but the settings forbid agents to talk: it stays off")
        return None
    from .peers.channel import Channel

    return Channel(config, options.operator.peers, clock, agent, recovery.life if recovery is not None else 0)


def _operations(config: Config, parts: Parts, peers: Channel | None, recovery: Recovery | None) -> Operations | None:
    if config.admin is None:
        return None
    from .admin.file import StandingFile
    from .admin.operations import Operations

    operations = Operations(parts.server, parts.agent, StandingFile(os.environ.get("TMPDIR")), peers, recovery)
    operations.start(recovery.start.out if recovery is not None else frozenset())
    parts.limit.beside = lambda: operations.beside
    return operations


def _open_door(config: Config, parts: Parts, operations: Operations | None) -> Door | None:
    """Raises OSError."""
    if config.admin is None or operations is None:
        return None
    from .admin.door import Door

    door = Door(operations.carry_out, parts.spare, parts.server.short_of_descriptors)
    port = door.listen(config.admin)
    log.info("%s answers operators on %s:%d", config.name, config.admin.host, port)
    return door


def _record(config: Config, clock: Clock, options: Options, agent: Agent) -> Recorder | None:
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
        agent.beliefs,
        section.beliefs_ms * 1000,
    )
    agent.observe(recorder)
    return recorder


class Reload:
    """SIGHUP: the configuration and the operator file are read again. A file that cannot be used is one line and
    changes nothing of its own; the other one still counts."""

    def __init__(
        self, parts: Parts, clock: Clock, options: Options, budget: DescriptorBudget, peers: Channel | None = None
    ) -> None:
        self._parts, self._clock, self._budget, self._peers = parts, clock, budget, peers
        self._path, self._operator = options.operator_path, options.operator
        self._loop = asyncio.get_running_loop()

    def begin(self) -> None:
        self._try(self._configuration, READS)
        if self._path is not None:
            self._try(self._operator_file, READS)
        if self._peers is not None:
            self._try(self._peers.read_secrets, READS)

    def _try(self, read: Callable[[], None], reads: int) -> None:
        """Read, on the spare descriptor if need be; again a little later where even that was not enough."""
        try:
            with self._parts.spare.lent():
                read()
        except ConfigError as e:
            cause = e.__cause__
            if isinstance(cause, OSError) and cause.errno in EXHAUSTED and reads:
                if reads == READS:
                    self._parts.server.short_of_descriptors("a file of the configuration")
                self._loop.call_later(READ_AGAIN_S, self._try, read, reads - 1)
            else:
                log.error("the old configuration stays: %s", e)

    def _configuration(self) -> None:
        config = load_again(os.environ, self._clock)
        log.info("configuration read again; discovery at %s:%d", config.discovery.host, config.discovery.port)
        self._parts.agent.move(config.discovery)

    def _operator_file(self) -> None:
        from .operator.file import OperatorError, load, needs_restart

        assert self._path is not None and self._operator is not None
        try:
            new = load(self._path)
        except OperatorError as e:
            raise ConfigError(str(e)) from e.__cause__
        admission = new.admission.settings()
        check_reserve(admission, self._budget)
        later = needs_restart(self._operator, new)
        self._operator = new
        self._parts.gate.apply_settings(admission)
        log.info("operator file read again%s", f"; a restart is needed for {', '.join(later)}" if later else "")


def _unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """What no one caught is logged and ends neither the process nor other requests."""
    log.error("unhandled: %s", context.get("message"), exc_info=context.get("exception"))
