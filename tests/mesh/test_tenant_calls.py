"""Operators' calls with tenants: what is taken, what is refused, and what a read returns."""

from __future__ import annotations

from typing import Any

from lilacsill.mesh.simulation.network import SECOND
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator


def first_call() -> dict[str, Any]:
    """The first call of a deployment with tenants, in the form of the operators' examples."""
    tenant = {"Name": "huka270", "ApiKeys": ["ta828m82thhkmgjqnirt", "h5mgjy5rcpihhacrudde"], "Rank": 1}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderWaitMs": 3000, "IdleTimeoutMs": 15000}
    split = [{"TargetService": "huvo11a", "Share": 90}, {"TargetService": "wuno96b", "Share": 10}]
    read = {"Name": "r-dwqtb4e", "RouteKind": "read_only", "TargetMs": 629, "Rank": 2, "Public": False}
    write = {"Name": "r-9bsvy28", "RouteKind": "keyed_write", "TargetMs": 834, "Rank": 1, "Public": False}
    read |= {"When": {"PathPrefix": "/lohu930/"}, "Then": {"TrafficSplit": split, "TimeoutMs": 2624, "MaxTries": 2}}
    write |= {"When": {"PathPrefix": "/pufi791/"}}
    write |= {"Then": {"TargetService": "huvo11a", "TimeoutMs": 3128, "MaxTries": 2}}
    service = {"HealthPath": "/health", "MaxConnections": 540, "Protocol": "h1", "UseTls": False}
    service |= {"DedupesItself": False, "ConfigVersion": "r7"}
    return {
        "ReplaceItems": {
            "Customers": [tenant | {"RatePerS": 146, "BurstSize": 146, "ConfigVersion": "r7"}],
            "Limits": limits | {"ConfigVersion": "r7"},
            "Listeners": [
                {"Host": "ficu95.example", "Policy": [read | {"ConfigVersion": "r7"}, write | {"ConfigVersion": "r7"}]}
            ],
            "Groups": [{"Name": name} | service for name in ("huvo11a", "wuno96b")],
        },
        "RemoveItems": {"Routing": []},
    }


def test_the_first_call_of_a_deployment_with_tenants_is_acknowledged() -> None:
    fleet = Fleet(1)
    operator, statuses = Operator(fleet, "a"), list[int]()
    operator.call(first_call(), statuses.append)
    fleet.net.time.run(4 * SECOND)
    reasons = [reason for store in fleet.stores.values() for reason in store.frontend.rejections]
    assert (statuses, reasons) == ([200], [])
