"""Counters of relayed requests, for operators."""

from __future__ import annotations

import msgspec


class RelayCounters(msgspec.Struct):
    """The counters of one proxy since its start."""

    answered: int = 0  # own requests that were answered through another proxy
    unanswered: int = 0  # own requests that were relayed and got no answer
    served: int = 0  # requests of other proxies that were sent to core machines
    refused: int = 0  # requests of other proxies that were not sent to core machines
