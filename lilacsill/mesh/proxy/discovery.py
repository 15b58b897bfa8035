"""Service discovery: long polls of registries for endpoints and configuration, which also announce the own endpoint.

A poll carries a vector of versions, one for each registry's directory and one for the configuration, and the reply has
what is newer. The proxy polls two registries at a time; one that does not answer is replaced by the next.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Set
from functools import partial

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.freshness import FreshnessTracker
from lilacsill.mesh.runtime.incarnation import Incarnation
from lilacsill.mesh.runtime.messages import Endpoint, Message, Poll, PollReply
from lilacsill.mesh.runtime.settings import Settings

from .active_config import ActiveConfig
from .backend_lifecycle import BackendLifecycle, EndpointState
from .failure_detector import with_incarnations
from .known_endpoints import KnownEndpoints
from .registry_selector import RegistrySelector

POLL_WAIT_MS = 700  # how long a registry may wait for something new
REPLY_MARGIN_US = 500_000  # beyond that wait
POLL_CHECK_US = 150_000  # how often the proxy checks that two polls are pending
BACKOFF_US = 2_000_000  # of a registry that did not answer
STALE_BACKOFF_US = BACKOFF_US // 4  # of a registry whose configuration is not known to be current
MISSING_CONFIG_US = 150_000  # how long another registry's configuration may take to come
CURRENT_US = 1_900_000  # a proof by the tail of the chain counts for so long, over all hops
NO_ITEMS = -1  # in `Poll.config_seq`: the registry is to send no configuration
UNKNOWN_VERSIONS = (0, 0)  # of a registry that was not polled before


class DiscoveryClient:
    """Keeps endpoints and configuration up to date, and announces the own endpoint."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        config: ActiveConfig,
        lifecycle: BackendLifecycle,
        endpoints: KnownEndpoints,
        suspects: Set[str],
        on_update: Callable[[], None],
    ) -> None:
        """Prepare a client that does nothing until it is started.

        Args:
            settings: The settings of the process.
            environment: Clock, timers and links.
            config: Gets the configuration.
            lifecycle: The state of the own backend, to be announced.
            endpoints: Gets the endpoints of all proxies.
            suspects: The nodes that the failure detector cannot reach, at any time.
            on_update: Called after each reply of a registry.
        """
        self._settings, self._environment = settings, environment
        self._config, self._lifecycle = config, lifecycle
        self._endpoints, self._suspects, self._on_update = endpoints, suspects, on_update
        self.registries = RegistrySelector(
            settings.node_name, {f"{seed.host}:{settings.internal_ports[0]}" for seed in settings.seeds}
        )
        self.registry_versions: dict[str, tuple[int, int]] = {}  # of each: its incarnation, version of its directory
        self._pending: dict[str, int] = {}  # by registry: the number of the poll that counts
        self._polls = 0
        self._newest_seq = 0  # of the configuration that is known to exist
        self._behind: set[str] = set()  # registries that are to send the configuration with the next poll
        # The time of day is a good guess at a higher number than that of the run before.
        self._incarnation = Incarnation(time.time_ns() // 1000)
        self.evidence = FreshnessTracker(CURRENT_US)  # that the configuration here is the one in force
        self._leaving = False

    def is_config_current(self) -> bool:
        """Return whether the configuration here is the one in force."""
        return self.evidence.is_current(self._environment.now())

    def start(self) -> None:
        """Begin to poll."""
        self._keep_polling()

    def announce(self) -> None:
        """Announce at once that the own endpoint has changed."""
        self._incarnation.next_version()
        self.poll_now()

    def announce_leaving(self) -> None:
        """Announce at once that this proxy shuts down."""
        self._leaving = True
        self.announce()

    def poll_now(self) -> None:
        """Poll the current registries without a wait, so that they learn at once what this proxy reports."""
        for registry in list(self._pending):
            self._poll(registry, 0)

    def endpoint(self) -> Endpoint:
        """Return the record of this proxy and its backend."""
        lifecycle, settings = self._lifecycle, self._settings
        warmup_left_us = lifecycle.warming_up_until - self._environment.now()
        return Endpoint(
            settings.node_name,
            self._incarnation.number,
            self._incarnation.version,
            settings.ip,
            settings.internal_ports[0],
            settings.zone,
            lifecycle.service or settings.service,
            lifecycle.server,
            EndpointState.LEAVING if self._leaving else lifecycle.state,
            lifecycle.slots,
            max(0, warmup_left_us // 1000),
        )

    # Polls

    def _keep_polling(self) -> None:
        self._environment.after(POLL_CHECK_US, self._keep_polling)
        self.registries.end_backoffs(self._environment.now())
        self._poll_missing(self.registries.selected())

    def _poll_missing(self, registries: list[str]) -> None:
        for registry in registries:
            if registry not in self._pending:
                self._poll(registry, POLL_WAIT_MS)

    def _poll(self, registry: str, wait_ms: int) -> None:
        self._polls += 1
        number = self._pending[registry] = self._polls
        incarnation, directory_version = self.registry_versions.get(registry, UNKNOWN_VERSIONS)
        poll = Poll(
            self.endpoint(),
            incarnation,
            directory_version,
            self._config.seq if self._sends_config(registry) else NO_ITEMS,
            self._newest_seq,
            wait_ms,
            with_incarnations(self._suspects, self._endpoints.incarnations(self._suspects)),
        )
        on_reply = partial(self._on_reply, registry, number, self._environment.now())
        self._environment.ask(registry, poll, wait_ms * 1000 + REPLY_MARGIN_US, on_reply)

    def _sends_config(self, registry: str) -> bool:
        """Return whether a registry is to send the configuration.

        One registry does. The others only report that there is more, and are asked if the one fails.
        """
        is_behind = registry in self._behind
        self._behind.discard(registry)
        return is_behind or registry == self.registries.first()

    def _on_reply(self, registry: str, number: int, asked_at: int, reply: Message | None) -> None:
        is_latest = self._pending.get(registry) == number
        if is_latest:
            del self._pending[registry]
        if not isinstance(reply, PollReply):
            if is_latest:
                self._replace(registry, BACKOFF_US)
            return
        self._apply(registry, asked_at, reply)
        if not is_latest:
            return
        if reply.freshness is None:
            # The registry was cut off or has just started: its directory is of use, its configuration is not.
            self._replace(registry, STALE_BACKOFF_US)
        elif self.registries.is_available(registry):
            self._poll(registry, POLL_WAIT_MS)

    def _replace(self, registry: str, backoff_us: int) -> None:
        now = self._environment.now()
        self.registries.back_off(registry, now + backoff_us)
        self._poll_missing(self.registries.replacements(now))

    # Replies

    def _apply(self, registry: str, asked_at: int, reply: PollReply) -> None:
        self.registry_versions[registry] = (reply.registry_incarnation, reply.directory_version)
        self._endpoints.apply(reply.endpoints, reply.removed, self._environment.now())
        self._apply_config(registry, asked_at, reply)
        if reply.registry_addresses:
            self.registries.addresses = set(reply.registry_addresses)
        self._on_update()
        self._refute(reply.endpoints)

    def _apply_config(self, registry: str, asked_at: int, reply: PollReply) -> None:
        if reply.items or reply.config_seq > self._config.seq:
            self._config.apply(reply.items, reply.config_seq)
        self._newest_seq = max(self._newest_seq, reply.newest_seq)
        if reply.freshness is None:
            return
        if self._config.seq >= reply.newest_seq:
            self._config.was_complete = True
            self.evidence.record(reply.freshness, asked_at)
        elif not reply.items:
            self._environment.after(MISSING_CONFIG_US, self._poll_if_behind, registry)

    def _poll_if_behind(self, registry: str) -> None:
        """Ask a registry for the configuration that it knows of, if the one that should send it has not."""
        if self._config.seq < self._newest_seq:
            self._behind.add(registry)
            self._poll(registry, POLL_WAIT_MS)

    def _refute(self, endpoints: list[Endpoint]) -> None:
        """Announce a higher incarnation where a record of an earlier run of this proxy would hide this one."""
        own = (endpoint for endpoint in endpoints if endpoint.node == self._settings.node_name)
        if any(self._incarnation.refute(endpoint.incarnation, endpoint.version) for endpoint in own):
            self.announce()
