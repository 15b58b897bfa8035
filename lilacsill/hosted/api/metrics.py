"""The metrics of the service for Prometheus, from the workers' reports."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from prometheus_client.registry import Collector
from starlette.requests import Request
from starlette.responses import Response

from ..resources import Role
from .callers import Caller
from .observation import ObservationHandlers

POOL_GAUGES = ("tenants", "servers", "usable", "in_hand", "excess", "window", "latency_ms")
TENANT_GAUGES = ("requests", "served", "in_aim", "failed", "refused", "cpu_s")
WORKER_GAUGES = ("serving", "have", "connections", "cpu_s", "rss_mb", "held_back")
"""Keys of the rows of the status, which are in the names of the metrics."""


class Metrics(Collector):
    """A collector of the status.

    The counters of a tenant are gauges: they cover the last hour, which the usage account retains. Only the busiest
    tenants and pools have metrics.
    """

    def __init__(self, handlers: ObservationHandlers) -> None:
        self._handlers = handlers
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def describe(self) -> Iterable[Metric]:
        """Describe no metrics, so that registering collects none."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Convert the status to metrics."""
        status = self._handlers.collect_status()
        for name in ("revision", "tenants", "pools"):
            yield GaugeMetricFamily(f"lilacsill_{name}", f"{name} of the service", value=status[name])
        yield from self._worker_metrics(status["workers"])
        yield from self._pool_metrics(status["busiest_pools"])
        yield from self._tenant_metrics(status["busiest"])

    @staticmethod
    def _worker_metrics(rows: list[dict[str, Any]]) -> Iterable[Metric]:
        for name in WORKER_GAUGES:
            gauge = GaugeMetricFamily(f"lilacsill_worker_{name}", f"{name} of a worker", labels=["worker"])
            for row in rows:
                gauge.add_metric([str(row["number"])], float(row[name]))
            yield gauge
        starts = CounterMetricFamily("lilacsill_worker_starts", "times a worker was started", labels=["worker"])
        for row in rows:
            starts.add_metric([str(row["number"])], row["starts"])
        yield starts

    @staticmethod
    def _pool_metrics(rows: list[dict[str, Any]]) -> Iterable[Metric]:
        for name in POOL_GAUGES:
            gauge = GaugeMetricFamily(f"lilacsill_pool_{name}", f"{name} of a pool", labels=["pool"])
            for row in rows:
                if row[name] is not None:
                    gauge.add_metric([row["name"]], float(row[name]))
            yield gauge

    @staticmethod
    def _tenant_metrics(rows: list[dict[str, Any]]) -> Iterable[Metric]:
        for name in TENANT_GAUGES:
            gauge = GaugeMetricFamily(
                f"lilacsill_tenant_{name}_last_hour", f"{name} of a tenant in the last hour", labels=["tenant"]
            )
            for row in rows:
                gauge.add_metric([row["name"]], float(row[name]))
            yield gauge

    async def answer(self, request: Request, caller: Caller) -> Response:
        """Answer GET /metrics."""
        caller.need(Role.OPERATOR, Role.AUDITOR)
        return Response(generate_latest(self._registry), headers={"Content-Type": CONTENT_TYPE_LATEST})
