"""The status of the service: its workers, and the busiest pools and tenants of the last hour."""

from __future__ import annotations

from collections.abc import Iterable
from operator import itemgetter
from typing import Any

from ..decisions.directory import Directory, Tenant
from ..messages import PoolStatistics
from ..supervisor.workers import Workers, WorkerState
from ..worker.process import REPORT_S

MAX_ROWS = 100
"""Tenants, and pools, that the status lists."""
COUNTERS = {"requests": "requests", "served": "served", "in_aim": "within_target", "failed": "failed"}
"""The counters of the usage account, by their keys in the status."""


def collect_status(revision: int, directory: Directory, workers: Workers) -> dict[str, Any]:
    """Collect the answer of /v1/status.

    `per_s` is smoothed over the last seconds. The parts are among the tenants that were active: `weight_part` is what
    a tenant may use of the core where all want it, `cpu_part` what it has used in the last hour.
    """
    in_flight = _in_flight_by_tenant(workers)
    tenants = []
    pools = {name: _pool_row(name, workers) for name in directory.pools}
    for tenant in directory.tenants.values():
        pool = pools.get(tenant.spec.pool)
        if pool is not None:
            pool["tenants"] += 1
        row = _tenant_row(tenant, workers, in_flight.get(tenant.uid))
        if row is None:
            continue
        tenants.append(row)
        if pool is not None:
            for key in (*COUNTERS, "refused"):
                pool[key] += row[key]
    _add_parts(tenants)
    return {
        "revision": revision,
        "tenants": len(directory.tenants),
        "pools": len(directory.pools),
        "workers": [_worker_row(state) for state in workers.states],
        "busiest_pools": _busiest(pools.values()),
        "busiest": _busiest(tenants),
    }


def _busiest(rows: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    return sorted(rows, key=itemgetter("requests"), reverse=True)[:MAX_ROWS]


def _tenant_row(tenant: Tenant, workers: Workers, in_flight: int | None) -> dict[str, Any] | None:
    """Make the row of a tenant; None where it was not active."""
    total = workers.account.total(tenant.uid)
    if not total.requests and in_flight is None:
        return None
    demand = sum(state.demand.get(tenant.uid, 0.0) for state in workers.states)  # between two reports
    return {
        "name": tenant.name,
        "pool": tenant.spec.pool,
        "state": tenant.spec.state.value,
        "weight": tenant.spec.weight,
        "quota_per_s": tenant.spec.quota_per_s,
        "per_s": round(demand / REPORT_S, 1),
        "in_flight": in_flight or 0,
        **{key: getattr(total, counter) for key, counter in COUNTERS.items()},
        "refused": sum(total.refused.values()),
        "cpu_s": round(total.cpu_us / 1e6, 3),
    }


def _add_parts(tenants: list[dict[str, Any]]) -> None:
    weights = sum(row["weight"] for row in tenants) or 1.0
    cpu_s = sum(row["cpu_s"] for row in tenants) or 1.0
    for row in tenants:
        row["weight_part"] = round(row["weight"] / weights, 4)
        row["cpu_part"] = round(row["cpu_s"] / cpu_s, 4)


def _worker_row(state: WorkerState) -> dict[str, Any]:
    report = state.report
    return {
        "number": state.number,
        "serving": state.serving,
        "have": state.applied_revision,
        "starts": state.starts,
        "pid": state.process.pid if state.process is not None else 0,
        "connections": report.connections if report else 0,
        "cpu_s": round(report.cpu_s, 2) if report else 0.0,
        "rss_mb": round(report.rss_mb, 1) if report else 0.0,
        "held_back": report.waiting if report else 0,
    }


def _in_flight_by_tenant(workers: Workers) -> dict[int, int]:
    sums: dict[int, int] = {}
    for state in workers.states:
        if state.report is not None:
            for uid, count in state.report.in_flight.items():
                sums[uid] = sums.get(uid, 0) + count
    return sums


def _pool_row(name: str, workers: Workers) -> dict[str, Any]:
    """Combine the workers that have used a pool: sums of requests, and the worst view of servers and latencies."""
    reports = [state.report for state in workers.states if state.report is not None]
    pools: list[PoolStatistics] = [report.pools[name] for report in reports if name in report.pools]
    return {
        "name": name,
        "tenants": 0,
        "servers": min((pool.servers for pool in pools), default=None),
        "usable": min((pool.usable for pool in pools), default=None),
        "in_hand": sum(pool.in_flight for pool in pools),
        "excess": sum(pool.excess for pool in pools),
        "window": round(sum(pool.window for pool in pools), 1),
        "latency_ms": max((pool.latency_ms for pool in pools), default=0.0),
        "base_ms": max((pool.base_ms for pool in pools), default=0.0),
        **dict.fromkeys((*COUNTERS, "refused"), 0),
    }
