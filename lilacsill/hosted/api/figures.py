"""The service in figures: workers, the busiest pools and tenants of the last hour, and what part each has and uses."""

from __future__ import annotations

from operator import itemgetter
from typing import Any

from ..decisions.directory import Directory
from ..messages import PoolStatistics
from ..supervisor.workers import Workers, WorkerState
from ..worker.process import REPORT_S

MOST = 100  # rows told of tenants and of pools
COUNTED = {"requests": "requests", "served": "served", "in_aim": "within_target", "failed": "failed"}


def figures(revision: int, directory: Directory, workers: Workers) -> dict[str, Any]:
    """As /v1/status tells them. `per_s` is smoothed over the last seconds. Parts are of those that are busy:
    `weight_part` is what a tenant may have where all want the core, `cpu_part` what it has had in the last hour."""
    in_flight = _in_flight(workers)
    tenants = []
    pools: dict[str, dict[str, Any]] = {name: _pool(name, workers) for name in directory.pools}
    for name, tenant in directory.tenants.items():
        pool = pools.get(tenant.spec.pool)
        if pool is not None:
            pool["tenants"] += 1
        total = workers.account.total(tenant.uid)
        if not total.requests and tenant.uid not in in_flight:
            continue
        asked = sum(w.demand.get(tenant.uid, 0.0) for w in workers.states)  # between two reports
        row = {
            "name": name,
            "pool": tenant.spec.pool,
            "state": tenant.spec.state.value,
            "weight": tenant.spec.weight,
            "quota_per_s": tenant.spec.quota_per_s,
            "per_s": round(asked / REPORT_S, 1),
            "in_flight": in_flight.get(tenant.uid, 0),
            **{key: getattr(total, name) for key, name in COUNTED.items()},
            "refused": sum(total.refused.values()),
            "cpu_s": round(total.cpu_us / 1e6, 3),
        }
        tenants.append(row)
        if pool is not None:
            for count in (*COUNTED, "refused"):
                pool[count] += row[count]
    weights, cpu_s = sum(t["weight"] for t in tenants) or 1.0, sum(t["cpu_s"] for t in tenants) or 1.0
    for row in tenants:
        row["weight_part"] = round(row["weight"] / weights, 4)
        row["cpu_part"] = round(row["cpu_s"] / cpu_s, 4)
    by_requests = itemgetter("requests")
    return {
        "revision": revision,
        "tenants": len(directory.tenants),
        "pools": len(directory.pools),
        "workers": [_worker(s) for s in workers.states],
        "busiest_pools": sorted(pools.values(), key=by_requests, reverse=True)[:MOST],
        "busiest": sorted(tenants, key=by_requests, reverse=True)[:MOST],
    }


def _worker(s: WorkerState) -> dict[str, Any]:
    r = s.report
    return {
        "number": s.number,
        "serving": s.serving,
        "have": s.applied_revision,
        "starts": s.starts,
        "pid": s.process.pid if s.process is not None else 0,
        "connections": r.connections if r else 0,
        "cpu_s": round(r.cpu_s, 2) if r else 0.0,
        "rss_mb": round(r.rss_mb, 1) if r else 0.0,
        "held_back": r.waiting if r else 0,
    }


def _in_flight(workers: Workers) -> dict[int, int]:
    found: dict[int, int] = {}
    for s in workers.states:
        if s.report is not None:
            for uid, count in s.report.in_flight.items():
                found[uid] = found.get(uid, 0) + count
    return found


def _pool(name: str, workers: Workers) -> dict[str, Any]:
    """Over the workers that have used it: what is in hand in all, and of servers and latencies the worst belief."""
    seen: list[PoolStatistics] = [
        s.report.pools[name] for s in workers.states if s.report is not None and name in s.report.pools
    ]
    return {
        "name": name,
        "tenants": 0,
        "servers": min((f.servers for f in seen), default=None),
        "usable": min((f.usable for f in seen), default=None),
        "in_hand": sum(f.in_flight for f in seen),
        "excess": sum(f.excess for f in seen),
        "window": round(sum(f.window for f in seen), 1),
        "latency_ms": max((f.latency_ms for f in seen), default=0.0),
        "base_ms": max((f.base_ms for f in seen), default=0.0),
        "requests": 0,
        "served": 0,
        "in_aim": 0,
        "failed": 0,
        "refused": 0,
    }
