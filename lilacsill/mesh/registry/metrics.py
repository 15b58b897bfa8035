"""The metrics of a registry (`GET /metrics`). Import this module lazily: it loads the Prometheus library."""

from __future__ import annotations

from collections import Counter

from lilacsill.mesh.runtime.metrics_text import MetricsText

from .core_hosts import CoreHosts
from .directory import Directory
from .local_config import LocalConfig
from .operator_api import OperatorApi
from .poll_server import PollServer


def encode_metrics(
    directory: Directory,
    config: LocalConfig,
    core_hosts: CoreHosts,
    poll_server: PollServer,
    operator_api: OperatorApi,
    now: int,
) -> bytes:
    """Return the metrics in the Prometheus text format; `now` is the current time in microseconds."""
    text = MetricsText()
    endpoints = [entry.endpoint for entry in directory.entries.values() if entry.endpoint is not None]
    states = Counter(str(endpoint.state) for endpoint in endpoints)
    text.gauge_by("state", "endpoints", "Endpoints in the directory, by state", states)
    text.counter("directory_changes", "Changes of the directory", directory.version)
    text.gauge("core_hosts", "Core machines that are known", len(core_hosts.all))
    text.gauge("polls_waiting", "Polls of proxies that wait for something new", poll_server.waiting)
    text.counter("poll_replies", "Replies to polls of proxies", poll_server.replies)
    text.counter("updates_sent", "Endpoints, removals and items in these replies", poll_server.updates)
    by_status = {str(status): count for status, count in operator_api.responses.items()}
    text.counter_by("status", "operator_calls", "Calls of operators, by HTTP status", by_status)
    age_ms = config.freshness.age_ms(now)
    text.gauge("config_seq", "Number of the newest change here", config.cache.seq)
    text.gauge("config_current", "1 while this is known to be the configuration in force", config.is_current)
    text.gauge("config_proof_age_seconds", "Age of the proof of that", None if age_ms is None else age_ms / 1000)
    return text.encode()
