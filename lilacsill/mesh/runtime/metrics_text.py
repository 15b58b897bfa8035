"""Encodes metrics in the Prometheus text format. Import this module lazily: it loads the Prometheus library."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

PREFIX = "lilacsill_"


class MetricsText(Collector):
    """Collects metrics, and encodes them."""

    def __init__(self) -> None:
        self._families: list[Metric] = []

    def gauge(self, name: str, help_text: str, value: float | None) -> None:
        """Add a gauge; None: the value is not known, and the gauge is omitted."""
        if value is not None:
            self._families.append(GaugeMetricFamily(PREFIX + name, help_text, value=float(value)))

    def counter(self, name: str, help_text: str, value: float) -> None:
        """Add a counter; the value never decreases during a run of the process."""
        self._families.append(CounterMetricFamily(PREFIX + name, help_text, value=float(value)))

    def gauge_by(self, label: str, name: str, help_text: str, values: Mapping[str, float]) -> None:
        """Add a gauge with one sample for each value of a label."""
        family = GaugeMetricFamily(PREFIX + name, help_text, labels=[label])
        for key, value in values.items():
            family.add_metric([key], float(value))
        self._families.append(family)

    def counter_by(self, label: str, name: str, help_text: str, values: Mapping[str, float]) -> None:
        """Add a counter with one sample for each value of a label."""
        family = CounterMetricFamily(PREFIX + name, help_text, labels=[label])
        for key, value in values.items():
            family.add_metric([key], float(value))
        self._families.append(family)

    def collect(self) -> Iterable[Metric]:
        """Return all metrics; called by the Prometheus library."""
        return self._families

    def encode(self) -> bytes:
        """Return all metrics as text."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
