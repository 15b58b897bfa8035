"""The directory: one endpoint record for each proxy and its backend, as announced by the proxy.

The directory is soft state: if it is lost, the announcements of the proxies rebuild it. Changes are numbered, so that a
reader gets only the changes that it lacks. Does no I/O; the caller passes the time in microseconds.
"""

from __future__ import annotations

from bisect import bisect_right
from operator import itemgetter
from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Endpoint, EndpointState, SuspicionReport

FAILURE_TIMEOUT_US = 2_500_000  # a node has failed if no registry has heard from it for this time
MIN_REPORTERS = 2  # a node has failed if this many neighbours report it unreachable
REPORT_LIFETIME_US = 2_000_000  # after which a report of an unreachable node expires
DIRECT_CONTACT_US = 900_000  # reports are ignored for a node that this registry heard from within this time
TOMBSTONE_LIFETIME_US = 60_000_000  # for which the removal of a node is kept for readers
MAX_CHANGES_PER_REPLY = 128  # about 11 KB; a larger reply would exceed the reader's time-out on a slow link
CHANGE_LOG_SLACK = 64  # the change log is compacted when it exceeds two changes per entry by this many
SHUTDOWN_STATES = (EndpointState.DRAINING, EndpointState.GONE)


class Changes(NamedTuple):
    """The changes of the directory that a reader lacks."""

    endpoints: list[Endpoint]
    removed: list[str]  # names of removed nodes
    version: int  # after applying these changes, the reader is complete up to this version


class Report(NamedTuple):
    """A neighbour's report that it cannot reach a node."""

    received_at: int
    direct: bool  # the neighbour sent the report to this registry; otherwise another registry forwarded it


class Entry(msgspec.Struct):
    """The directory's entry for one node."""

    endpoint: Endpoint | None  # None: the node was removed, and this entry is its tombstone
    change_number: int  # number of the latest change of this entry
    last_heard_at: int  # last time that any registry is known to have heard from the node
    last_contact_at: int | None  # last time that this registry heard from the node; None: never
    reports: dict[str, Report] = {}  # by reporting node
    draining_server: str = ""  # identity of the backend that has announced its shutdown


class Directory:
    """The directory of one registry.

    Attributes:
        incarnation: Identifies this run of the registry; versions are comparable only within one run.
        version: Number of the latest change.
        entries: By node.
        observing_since: Start of the current observation. Earlier silence of a node is ignored, because a registry
            that was partitioned or suspended has missed announcements.
    """

    def __init__(self, incarnation: int = 1) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.entries: dict[str, Entry] = {}
        self.observing_since = 0
        self._change_log: list[tuple[int, str]] = []  # number and node; superseded changes remain until a compaction

    # Announcements

    def update(self, endpoint: Endpoint, now: int, direct: bool = True) -> bool:
        """Apply an endpoint record, and return whether the directory changed.

        Args:
            endpoint: The record that the proxy announced.
            now: The current time.
            direct: The proxy announced the record to this registry; otherwise another registry forwarded it.
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
                # The record with the higher incarnation wins. It gets a new change number, so that the proxy with the
                # lower incarnation receives it and raises its own (`lilacsill.mesh.runtime.incarnation`).
                self._change(entry, endpoint.node, current)
                return False
        self._change(entry, endpoint.node, endpoint)
        if direct or current is None:
            entry.last_heard_at = max(entry.last_heard_at, now)
        return True

    def _add(self, endpoint: Endpoint, now: int, direct: bool) -> None:
        draining_server = endpoint.server if endpoint.state in SHUTDOWN_STATES else ""
        entry = Entry(None, 0, now, now if direct else None, {}, draining_server)
        self.entries[endpoint.node] = entry
        self._change(entry, endpoint.node, endpoint)

    def mark_alive(self, nodes: list[str], now: int) -> None:
        """Record that another registry has heard from these nodes."""
        for node in nodes:
            entry = self.entries.get(node)
            if entry is not None:
                entry.last_heard_at = now

    def recently_contacted(self, now: int, within_us: int) -> list[str]:
        """Return the nodes that announced themselves to this registry within this time."""
        return [
            node
            for node, entry in self.entries.items()
            if entry.last_contact_at is not None and now - entry.last_contact_at < within_us
        ]

    # Failures

    def report_unreachable(self, report: SuspicionReport, now: int, direct: bool = True) -> bool:
        """Record a report that neither the reporter nor its helpers reach a node, and return whether it is new.

        Args:
            report: Applies to one incarnation of the node.
            now: The current time.
            direct: The reporter sent it to this registry; otherwise another registry forwarded it.
        """
        entry = self.entries.get(report.node)
        if entry is None or entry.endpoint is None or entry.endpoint.incarnation != report.incarnation:
            return False
        known = entry.reports.get(report.reporter)
        if known is not None and now - known.received_at < REPORT_LIFETIME_US and (known.direct or not direct):
            return False
        entry.reports[report.reporter] = Report(now, direct)
        return True

    def direct_reports(self, now: int) -> list[SuspicionReport]:
        """Return the current reports received directly.

        Forwarded reports are left out; otherwise registries would forward them to each other forever.
        """
        return [
            SuspicionReport(node, entry.endpoint.incarnation, reporter)
            for node, entry in self.entries.items()
            if entry.endpoint is not None
            for reporter, report in entry.reports.items()
            if report.direct and now - report.received_at < REPORT_LIFETIME_US
        ]

    def remove_failed(self, now: int) -> bool:
        """Remove failed nodes and expired tombstones; return whether a node was removed."""
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
        """Whether `MIN_REPORTERS` unexpired reports exist and this registry has no recent contact with the node."""
        reporters = sum(now - report.received_at < REPORT_LIFETIME_US for report in entry.reports.values())
        last_contact_at = max(entry.last_contact_at or 0, self.observing_since)
        return reporters >= MIN_REPORTERS and now - last_contact_at > DIRECT_CONTACT_US

    # Changes

    def is_newer_than(self, incarnation: int, version: int) -> bool:
        """Whether a reader at this version of a directory with this incarnation lacks changes."""
        return incarnation != self.incarnation or version < self.version

    def changes_for(self, incarnation: int, version: int) -> Changes:
        """Return the changes that a reader at this version of a directory with this incarnation lacks.

        A reader with another incarnation gets all entries.
        """
        return self.changes_since(version if incarnation == self.incarnation else 0)

    def changes_since(self, version: int) -> Changes:
        """Return the changes after a version, oldest first, at most `MAX_CHANGES_PER_REPLY`."""
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
        """Whether this change is the latest one of an existing entry."""
        entry = self.entries.get(node)
        return entry is not None and entry.change_number == number


def _keep_draining(entry: Entry, endpoint: Endpoint) -> Endpoint:
    """Record a draining backend, and return its later READY records as DRAINING.

    A proxy that restarts while its backend drains announces the backend as READY.
    """
    if endpoint.state in SHUTDOWN_STATES:
        entry.draining_server = endpoint.server
    elif endpoint.state == EndpointState.READY and endpoint.server and endpoint.server == entry.draining_server:
        return msgspec.structs.replace(endpoint, state=EndpointState.DRAINING)
    return endpoint
