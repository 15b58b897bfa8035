"""The directory: one record for each proxy and the backend beside it, as the proxy announces them.

It is soft state: after a loss the proxies fill it again. Changes are numbered, so that a reader gets only those that it
does not have. No I/O; the clock from outside, in microseconds.
"""

from __future__ import annotations

from bisect import bisect_right
from operator import itemgetter
from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Endpoint, EndpointState, SuspicionReport

FAILURE_TIMEOUT_US = 2_500_000  # a node that no registry has heard from for so long has failed
MIN_REPORTERS = 2  # neighbours that cannot reach a node, after which it has failed
REPORT_LIFETIME_US = 2_000_000  # a report that a node is unreachable counts for so long
DIRECT_CONTACT_US = 900_000  # a node that this registry heard from within this time has not failed, whoever reports it
TOMBSTONE_LIFETIME_US = 60_000_000  # readers are told for so long that a node was removed
MAX_CHANGES_PER_REPLY = 128  # about 11 KB: more would not cross a slow link before the reader's time-out
CHANGE_LOG_SLACK = 64  # changes that may be kept beyond two for each entry
ENDING_STATES = (EndpointState.DRAINING, EndpointState.GONE)


class Changes(NamedTuple):
    """What a reader of the directory does not have."""

    endpoints: list[Endpoint]
    removed: list[str]  # nodes
    version: int  # with these changes the reader has everything up to this version


class Report(NamedTuple):
    """A neighbour's report that it cannot reach a node."""

    at: int  # when it came
    direct: bool  # it was made to this registry, not to another one


class Entry(msgspec.Struct):
    """One node's place in the directory."""

    endpoint: Endpoint | None  # None: it was removed
    change_number: int  # of its latest change
    last_heard_at: int  # by any registry, as far as this one knows
    last_contact_at: int | None  # by this registry; None: never
    reports: dict[str, Report] = {}  # by reporter
    draining_server: str = ""  # identity of the backend that has said that it ends


class Directory:
    """The directory of one registry.

    Attributes:
        incarnation: Tells this run from others, which count their own versions.
        version: Number of the latest change.
        entries: By node.
        observing_since: Silence of nodes counts from here on: a registry that was cut off or suspended has missed
            what it should have heard before.
    """

    def __init__(self, incarnation: int = 1) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.entries: dict[str, Entry] = {}
        self.observing_since = 0
        self._change_log: list[tuple[int, str]] = []  # number and node; superseded changes are dropped now and then

    # Announcements

    def update(self, endpoint: Endpoint, now: int, direct: bool = True) -> bool:
        """Take a record, and return whether it changes the directory.

        Args:
            endpoint: The record that the proxy announces.
            now: The time.
            direct: The proxy announced it to this registry; else another registry passed it on.
        """
        entry = self.entries.get(endpoint.node)
        if entry is None:
            self._add(endpoint, now, direct)
            return True
        endpoint = _keep_draining(entry, endpoint)
        current = entry.endpoint
        if direct:
            entry.last_contact_at = entry.last_heard_at = now
            entry.reports.clear()
        if current is not None:
            if current.incarnation == endpoint.incarnation and current.version >= endpoint.version:
                return False
            if current.incarnation > endpoint.incarnation:
                # The higher incarnation counts. It is announced anew, also to whoever knows the lower one: the proxy,
                # if it is alive, raises its own above that (`lilacsill.mesh.runtime.incarnation`).
                self._change(entry, endpoint.node, current)
                return False
        self._change(entry, endpoint.node, endpoint)
        if direct or current is None:
            entry.last_heard_at = max(entry.last_heard_at, now)
        return True

    def _add(self, endpoint: Endpoint, now: int, direct: bool) -> None:
        draining_server = endpoint.server if endpoint.state in ENDING_STATES else ""
        entry = Entry(None, 0, now, now if direct else None, {}, draining_server)
        self.entries[endpoint.node] = entry
        self._change(entry, endpoint.node, endpoint)

    def mark_alive(self, nodes: list[str], now: int) -> None:
        """Note that another registry hears from these nodes."""
        for node in nodes:
            entry = self.entries.get(node)
            if entry is not None:
                entry.last_heard_at = now

    def recently_contacted(self, now: int, within_us: int) -> list[str]:
        """Return the nodes that this registry itself heard from within this time."""
        return [
            node
            for node, entry in self.entries.items()
            if entry.last_contact_at is not None and now - entry.last_contact_at < within_us
        ]

    # Failures

    def report_unreachable(self, report: SuspicionReport, now: int, direct: bool = True) -> bool:
        """Take a report that neither the reporter nor its helpers reach a node, and return whether it is new.

        Args:
            report: It concerns one incarnation of the node.
            now: The time.
            direct: The report was made to this registry; else another registry passed it on.
        """
        entry = self.entries.get(report.node)
        if entry is None or entry.endpoint is None or entry.endpoint.incarnation != report.incarnation:
            return False
        known = entry.reports.get(report.reporter)
        if known is not None and now - known.at < REPORT_LIFETIME_US and (known.direct or not direct):
            return False
        entry.reports[report.reporter] = Report(now, direct)
        return True

    def direct_reports(self, now: int) -> list[SuspicionReport]:
        """Return the reports that were made to this registry. Those of others are not passed on, or it never ended."""
        return [
            SuspicionReport(node, entry.endpoint.incarnation, reporter)
            for node, entry in self.entries.items()
            if entry.endpoint is not None
            for reporter, report in entry.reports.items()
            if report.direct and now - report.at < REPORT_LIFETIME_US
        ]

    def remove_failed(self, now: int) -> bool:
        """Remove the nodes that have failed, and return whether there were any."""
        failed, expired = [], []
        observed_long_enough = now - self.observing_since > FAILURE_TIMEOUT_US
        for node, entry in self.entries.items():
            if entry.endpoint is None:
                if now - max(entry.last_heard_at, self.observing_since) > TOMBSTONE_LIFETIME_US:
                    expired.append(node)
            elif (observed_long_enough and now - entry.last_heard_at > FAILURE_TIMEOUT_US) or (
                len(entry.reports) >= MIN_REPORTERS and self._is_reported_unreachable(entry, now)
            ):
                failed.append(node)
        for node in expired:
            del self.entries[node]
        for node in failed:
            entry = self.entries[node]
            entry.reports.clear()
            self._change(entry, node, None)
        return bool(failed)

    def _is_reported_unreachable(self, entry: Entry, now: int) -> bool:
        """Whether enough neighbours have reported it lately, and this registry does not hear from it either."""
        reporters = sum(now - report.at < REPORT_LIFETIME_US for report in entry.reports.values())
        last_contact_at = max(entry.last_contact_at or 0, self.observing_since)
        return reporters >= MIN_REPORTERS and now - last_contact_at > DIRECT_CONTACT_US

    # Changes

    def is_newer_than(self, incarnation: int, version: int) -> bool:
        """Whether there are changes for a reader that has this version, of that incarnation."""
        return incarnation != self.incarnation or version < self.version

    def changes_for(self, incarnation: int, version: int) -> Changes:
        """Return the changes for a reader that has this version, of that incarnation.

        All entries are changes for a reader of another incarnation.
        """
        return self.changes_since(version if incarnation == self.incarnation else 0)

    def changes_since(self, version: int) -> Changes:
        """Return the changes after a version, the oldest first, up to a bounded number."""
        endpoints: list[Endpoint] = []
        removed: list[str] = []
        complete_to = version
        start = bisect_right(self._change_log, version, key=itemgetter(0))
        for index in range(start, len(self._change_log)):
            number, node = self._change_log[index]
            if not self._is_latest(number, node):
                continue
            if len(endpoints) + len(removed) == MAX_CHANGES_PER_REPLY:
                return Changes(endpoints, removed, complete_to)
            endpoint = self.entries[node].endpoint
            if endpoint is None:
                removed.append(node)
            else:
                endpoints.append(endpoint)
            complete_to = number
        return Changes(endpoints, removed, self.version)

    def _change(self, entry: Entry, node: str, endpoint: Endpoint | None) -> None:
        self.version += 1
        entry.endpoint = endpoint
        entry.change_number = self.version
        self._change_log.append((self.version, node))
        if len(self._change_log) > 2 * len(self.entries) + CHANGE_LOG_SLACK:
            self._change_log = [change for change in self._change_log if self._is_latest(*change)]

    def _is_latest(self, number: int, node: str) -> bool:
        """Whether that change is the latest one of an entry that still exists."""
        entry = self.entries.get(node)
        return entry is not None and entry.change_number == number


def _keep_draining(entry: Entry, endpoint: Endpoint) -> Endpoint:
    """Remember that a backend drains, and keep it so: a proxy that was restarted beside it does not know."""
    if endpoint.state in ENDING_STATES:
        entry.draining_server = endpoint.server
    elif endpoint.state == EndpointState.READY and endpoint.server and endpoint.server == entry.draining_server:
        return msgspec.structs.replace(endpoint, state=EndpointState.DRAINING)
    return endpoint
