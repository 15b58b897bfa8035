"""The server side of gossip: other registries poll this one for changes of its directory."""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Gossip, GossipReply
from lilacsill.mesh.runtime.rpc import SendReply

from .directory import Directory
from .long_polls import LongPoll, LongPolls

ALIVE_WITHIN_US = 1_500_000  # nodes that this registry heard from within this time are reported as alive


class GossipServer:
    """Replies to the polls of other registries."""

    def __init__(self, environment: Environment, directory: Directory) -> None:
        self._environment = environment
        self._directory = directory
        self._polls: LongPolls[Gossip] = LongPolls(environment, self._reply)

    def handle(self, gossip: Gossip, send_reply: SendReply) -> None:
        """Reply at once if there are changes, otherwise with the next change or when the poll's wait time expires."""
        poll = LongPoll(gossip, send_reply, self._environment.now())
        if self._is_outdated(gossip):
            self._reply(poll)
        else:
            self._polls.add(poll, gossip.wait_ms)

    def reply_with_changes(self) -> None:
        """Reply to the waiting registries that lack changes."""
        for poll in self._polls.pop_where(self._is_outdated):
            self._reply(poll)

    def reply_to_all(self) -> None:
        """Reply to all waiting registries; used for suspicions, which are urgent but not changes of the directory."""
        for poll in self._polls.pop_all():
            self._reply(poll)

    def _is_outdated(self, gossip: Gossip) -> bool:
        return self._directory.is_newer_than(gossip.registry_incarnation, gossip.directory_version)

    def _reply(self, poll: LongPoll[Gossip]) -> None:
        directory, gossip, now = self._directory, poll.request, self._environment.now()
        changes = directory.changes_for(gossip.registry_incarnation, gossip.directory_version)
        poll.send_reply(
            GossipReply(
                registry_incarnation=directory.incarnation,
                directory_version=changes.version,
                endpoints=changes.endpoints,
                alive=directory.recently_contacted(now, ALIVE_WITHIN_US),
                suspects=directory.direct_reports(now),
            )
        )
