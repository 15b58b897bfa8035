"""Metrics of the memory that the connections of a process hold. Import lazily: it loads the Prometheus library."""

from __future__ import annotations

from .memory_budget import MemoryBudget
from .metrics_text import MetricsText


def encode_memory(memory: MemoryBudget) -> bytes:
    """Return the metrics of a budget in the Prometheus text format."""
    text = MetricsText()
    text.gauge("connection_bytes_used", "Memory that connections hold, by estimate", memory.used)
    text.gauge("connection_bytes_limit", "Memory that connections may hold together", memory.limit)
    text.counter("connections_evicted", "Connections closed because the memory was spent", memory.evictions)
    text.counter("connection_bytes_evicted", "What these connections held", memory.evicted_bytes)
    return text.encode()
