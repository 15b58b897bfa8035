"""Serves the long polls of proxies: each poll announces the proxy, and its reply carries the updates that it lacks."""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Item, Poll, PollReply, SuspicionReport
from lilacsill.mesh.runtime.rpc import SendReply

from .core_hosts import CoreHosts
from .directory import MAX_CHANGES_PER_REPLY, Directory
from .gossip_server import GossipServer
from .local_config import LocalConfig
from .long_polls import LongPoll, LongPolls
from .pacing import NotificationPacer


class PollServer:
    """Records announcements and reports in the directory, and notifies proxies and other registries of changes."""

    def __init__(
        self,
        environment: Environment,
        directory: Directory,
        config: LocalConfig,
        core_hosts: CoreHosts,
        registry_port: int,
        gossip_server: GossipServer,
    ) -> None:
        """Initialize without polls.

        Args:
            environment: Provides the clock and timers.
            directory: Updated with the announcements and reports of proxies.
            config: The configuration that is sent to proxies.
            core_hosts: Hosts of the registry addresses that are sent to proxies.
            registry_port: Port of all registries, for these addresses.
            gossip_server: Sends changes and reports to other registries.
        """
        self._environment = environment
        self._directory = directory
        self._config = config
        self._core_hosts = core_hosts
        self._registry_port = registry_port
        self._gossip_server = gossip_server
        self._pacer = NotificationPacer()
        self._polls: LongPolls[Poll] = LongPolls(environment, self._reply)
        self._notification_pending = False
        self.replies = 0  # sent in this run of the process
        self.updates = 0  # endpoints, removals and items in these replies

    @property
    def waiting(self) -> int:
        """The number of pending polls."""
        return len(self._polls)

    def handle(self, request: Poll, send_reply: SendReply) -> None:
        """Record a proxy's announcement and reports. Reply at once if the proxy is outdated, else hold the poll."""
        now = self._environment.now()
        if self._directory.update(request.endpoint, now):
            self.schedule_notification()
        reporter = request.endpoint.node
        reports = [SuspicionReport(suspect.node, suspect.incarnation, reporter) for suspect in request.suspects]
        self.handle_reports(reports, now, direct=True)
        poll = LongPoll(request, send_reply, now)
        if request.wait_ms <= 0 or (
            self._is_outdated(request) and not self._is_covered_by_pending_notification(request)
        ):
            self._reply(poll)
        else:
            self._polls.add(poll, request.wait_ms)

    def handle_reports(self, reports: list[SuspicionReport], now: int, direct: bool) -> None:
        """Record reports of unreachable nodes, and remove nodes that have failed.

        Args:
            reports: May include known ones.
            now: The current time.
            direct: The reporters sent them to this registry, which then forwards them to other registries at once.
        """
        new = False
        for report in reports:
            new = self._directory.report_unreachable(report, now, direct) or new
        if not new:
            return
        if self._config.is_current:  # otherwise this registry may itself be partitioned
            self.remove_failed(now)
        if direct:
            self._gossip_server.reply_to_all()

    def remove_failed(self, now: int) -> None:
        """Remove failed nodes from the directory, and notify proxies and other registries."""
        if self._directory.remove_failed(now):
            self.schedule_notification()

    def schedule_notification(self) -> None:
        """Schedule a notification of all outdated proxies and registries, with the delay given by the pacer."""
        if not self._notification_pending:
            self._notification_pending = True
            self._environment.after(self._pacer.delay_us(self._environment.now()), self._notify)

    def _notify(self) -> None:
        self._notification_pending = False
        # Select all outdated polls before the first reply: `LocalConfig.is_current` may change as time passes.
        outdated = self._polls.pop_where(self._is_outdated)
        for poll in outdated:
            self._reply(poll)
        self._pacer.record_notification(len(outdated), self._environment.now())
        self._gossip_server.reply_with_changes()

    def _is_outdated(self, request: Poll) -> bool:
        if self._directory.is_newer_than(request.registry_incarnation, request.directory_version):
            return True
        return self._is_config_outdated(request)

    def _is_config_outdated(self, request: Poll) -> bool:
        seq = self._config.cache.seq
        return self._config.is_current and (request.newest_seq < seq or 0 <= request.config_seq < seq)

    def _is_covered_by_pending_notification(self, request: Poll) -> bool:
        """Whether the pending notification will deliver all that the proxy lacks: a few changes of the directory."""
        directory = self._directory
        few = (
            request.registry_incarnation == directory.incarnation
            and directory.version - request.directory_version < MAX_CHANGES_PER_REPLY
        )
        return self._notification_pending and few and not self._is_config_outdated(request)

    def _reply(self, poll: LongPoll[Poll]) -> None:
        request, cache = poll.request, self._config.cache
        changes = self._directory.changes_for(request.registry_incarnation, request.directory_version)
        items: list[Item] = []
        config_seq = request.config_seq
        if self._config.is_current and 0 <= config_seq < cache.seq:
            items, config_seq = cache.next_batch(config_seq)
        self.replies += 1
        self.updates += len(changes.endpoints) + len(changes.removed) + len(items)
        poll.send_reply(
            PollReply(
                registry_incarnation=self._directory.incarnation,
                directory_version=changes.version,
                endpoints=changes.endpoints,
                removed=changes.removed,
                config_seq=config_seq,
                items=items,
                newest_seq=cache.seq,
                freshness=self._config.freshness.freshness_of_reply(poll.received_at, self._environment.now()),
                registry_addresses=[f"{host}:{self._registry_port}" for host in sorted(self._core_hosts.all)],
            )
        )
