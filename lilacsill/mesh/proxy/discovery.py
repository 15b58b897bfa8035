"""Service discovery: long polls of registries for endpoints and configuration, which also announce the own endpoint.

A poll carries the version of the registry's directory and the version of the configuration that the proxy has, and the
reply contains what is newer. The proxy polls two registries at a time; one that does not answer is replaced by the
next.
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

POLL_WAIT_MS = 700  # how long a registry may hold a poll until there is something new
REPLY_MARGIN_US = 500_000  # for the reply, beyond that wait
POLL_CHECK_US = 150_000  # interval of the checks that two polls are pending
BACKOFF_US = 2_000_000  # for a registry that did not answer
STALE_BACKOFF_US = BACKOFF_US // 4  # for a registry that cannot prove that its configuration is current
CONFIG_FETCH_DELAY_US = 150_000  # time for the configuration to arrive from the registry that sends it
FRESHNESS_MAX_AGE_US = 1_900_000  # of a proof by the tail of the chain, over all hops
OMIT_CONFIG = -1  # as `Poll.config_seq`: the registry must not send the configuration
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
        """Create a client that does nothing until it is started.

        Args:
            settings: The settings of the process.
            environment: Clock, timers and links.
            config: Receives the configuration.
            lifecycle: The state of the own backend, to be announced.
            endpoints: Receives the endpoints of all proxies.
            suspects: The nodes that the failure detector suspects; a set that the detector updates.
            on_update: Called after each reply of a registry.
        """
        self._settings, self._environment = settings, environment
        self._config, self._lifecycle = config, lifecycle
        self._endpoints, self._suspects, self._on_update = endpoints, suspects, on_update
        self.registries = RegistrySelector(
            settings.node_name, {f"{seed.host}:{settings.internal_ports[0]}" for seed in settings.seeds}
        )
        self.registry_versions: dict[str, tuple[int, int]] = {}  # by registry: its incarnation, directory version
        self._pending: dict[str, int] = {}  # by registry: the number of the latest poll
        self._poll_count = 0
        self._newest_seq = 0  # highest known sequence number of the configuration
        self._config_requested_from: set[str] = set()  # registries that must send it in reply to their next poll
        # The time of day is probably higher than the number of the previous run.
        self._incarnation = Incarnation(time.time_ns() // 1000)
        # Proof that the local configuration is the one in force.
        self.config_freshness = FreshnessTracker(FRESHNESS_MAX_AGE_US)
        self._is_shutting_down = False

    def is_config_current(self) -> bool:
        """Return whether the local configuration is proven to be the one in force."""
        return self.config_freshness.is_current(self._environment.now())

    def start(self) -> None:
        """Start to poll."""
        self._keep_polling()

    def announce(self) -> None:
        """Announce at once that the own endpoint has changed."""
        self._incarnation.next_version()
        self.poll_now()

    def announce_shutdown(self) -> None:
        """Announce at once that this proxy is shutting down."""
        self._is_shutting_down = True
        self.announce()

    def poll_now(self) -> None:
        """Poll the current registries again with no wait, so that they get this proxy's reports at once."""
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
            EndpointState.LEAVING if self._is_shutting_down else lifecycle.state,
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
        self._poll_count += 1
        number = self._pending[registry] = self._poll_count
        incarnation, directory_version = self.registry_versions.get(registry, UNKNOWN_VERSIONS)
        poll = Poll(
            self.endpoint(),
            incarnation,
            directory_version,
            self._config.seq if self._should_send_config(registry) else OMIT_CONFIG,
            self._newest_seq,
            wait_ms,
            with_incarnations(self._suspects, self._endpoints.incarnations(self._suspects)),
        )
        on_reply = partial(self._on_reply, registry, number, self._environment.now())
        self._environment.ask(registry, poll, wait_ms * 1000 + REPLY_MARGIN_US, on_reply)

    def _should_send_config(self, registry: str) -> bool:
        """Return whether a registry should send the configuration with its reply.

        Only one registry does. The others report that a newer configuration exists, and send it on request if the
        first registry fails.
        """
        is_requested = registry in self._config_requested_from
        self._config_requested_from.discard(registry)
        return is_requested or registry == self.registries.first()

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
            # The registry was partitioned or has just started: its directory is useful, its configuration is not.
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
            self.config_freshness.record(reply.freshness, asked_at)
        elif not reply.items:
            self._environment.after(CONFIG_FETCH_DELAY_US, self._fetch_missing_config, registry)

    def _fetch_missing_config(self, registry: str) -> None:
        """Request the configuration from a registry that has a newer one, if no other registry has sent it."""
        if self._config.seq < self._newest_seq:
            self._config_requested_from.add(registry)
            self._poll(registry, POLL_WAIT_MS)

    def _refute(self, endpoints: list[Endpoint]) -> None:
        """Announce a higher incarnation if the record of an earlier run of this proxy would override this one."""
        own = (endpoint for endpoint in endpoints if endpoint.node == self._settings.node_name)
        if any(self._incarnation.refute(endpoint.incarnation, endpoint.version) for endpoint in own):
            self.announce()
