"""The directory as proxies see it: they announce themselves with a long poll, and get what they do not have."""

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
    """Takes announcements and reports into the directory, and notifies proxies and other registries of changes."""

    def __init__(
        self,
        environment: Environment,
        directory: Directory,
        config: LocalConfig,
        core_hosts: CoreHosts,
        registry_port: int,
        gossip_server: GossipServer,
    ) -> None:
        """Begin without polls.

        Args:
            environment: Keeps the time.
            directory: Is updated.
            config: Proxies get its items.
            core_hosts: Proxies get their addresses.
            registry_port: Port of all registries, for these addresses.
            gossip_server: Is notified of changes and reports, too.
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
        self.replies = 0  # in this run of the process
        self.updates = 0  # endpoints, removals and items in these replies

    @property
    def waiting(self) -> int:
        """How many polls wait for something new."""
        return len(self._polls)

    def handle(self, request: Poll, send_reply: SendReply) -> None:
        """Take what a proxy announces. Reply at once if it is outdated, else later."""
        now = self._environment.now()
        if self._directory.update(request.endpoint, now):
            self.notify_soon()
        reporter = request.endpoint.node
        reports = [SuspicionReport(suspect.node, suspect.incarnation, reporter) for suspect in request.suspects]
        self.take_reports(reports, now, direct=True)
        poll = LongPoll(request, send_reply, now)
        if request.wait_ms <= 0 or (self._is_outdated(request) and not self._is_notified_soon(request)):
            self._reply(poll)
        else:
            self._polls.add(poll, request.wait_ms)

    def take_reports(self, reports: list[SuspicionReport], now: int, direct: bool) -> None:
        """Take reports that nodes are unreachable.

        Args:
            reports: May be known already.
            now: The time.
            direct: They were made to this registry. Then other registries are notified at once.
        """
        new = False
        for report in reports:
            new = self._directory.report_unreachable(report, now, direct) or new
        if not new:
            return
        if self._config.is_current:  # else this registry may be the one that is cut off
            self.remove_failed(now)
        if direct:
            self._gossip_server.reply_to_all()

    def remove_failed(self, now: int) -> None:
        """Remove failed nodes from the directory, and notify proxies and other registries."""
        if self._directory.remove_failed(now):
            self.notify_soon()

    def notify_soon(self) -> None:
        """Have all that lack something get it, at the pace that this registry can bear."""
        if not self._notification_pending:
            self._notification_pending = True
            self._environment.after(self._pacer.delay_us(self._environment.now()), self._notify)

    def _notify(self) -> None:
        self._notification_pending = False
        # All are selected before the first reply: whether the local configuration is current may change with the time.
        outdated = self._polls.pop_where(self._is_outdated)
        for poll in outdated:
            self._reply(poll)
        self._pacer.notified(len(outdated), self._environment.now())
        self._gossip_server.reply_with_changes()

    def _is_outdated(self, request: Poll) -> bool:
        if self._directory.is_newer_than(request.registry_incarnation, request.directory_version):
            return True
        return self._is_config_outdated(request)

    def _is_config_outdated(self, request: Poll) -> bool:
        seq = self._config.cache.seq
        return self._config.is_current and (request.newest_seq < seq or 0 <= request.config_seq < seq)

    def _is_notified_soon(self, request: Poll) -> bool:
        """Whether only a few changes of the directory are missing, which the next notification will bring."""
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
