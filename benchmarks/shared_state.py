"""Shared state in virtual time: how exact quotas are, and what operations that run once cost.

    python -m benchmarks.shared_state [--quick]

Quotas: a hot tenant sends ten times its rate through all proxies, another one 0.7 times its rate. `given` is the
largest part of what the rule allows that the hot one got in one window (more than 1 breaks the rule), `short` the part
of its rate that it did not get, `refused` the share of the quiet tenant's requests that were refused. Bytes are those
of the questions on quotas and their answers, for one proxy a second, without headers of TCP.
Operations: the time from a keyed write to the grant of its claim, which a plain write does not wait for, in syncs.

A table for each, a plot in text, one JSON line last.
"""

from __future__ import annotations

import argparse
import json
from bisect import bisect_left
from collections.abc import Callable
from random import Random
from statistics import median
from typing import Any

import msgspec

from lilacsill.mesh.operations.claim_client import ClaimClient, ClaimOutcome, Decision
from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.quota.quota_decision import QuotaDecision, QuotaVerdict
from lilacsill.mesh.quota.quota_limits import QuotaLimits, TenantLimit
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import Item, Message, TokenRequest, encode
from lilacsill.mesh.runtime.records import OperationOwner
from lilacsill.mesh.runtime.settings import TimingBounds
from lilacsill.mesh.simulation.network import MS, SECOND, Machine
from lilacsill.mesh.simulation.store_fleet import Fleet
from lilacsill.mesh.store.quotas import TENANT

CORES, LOST = 5, 2
SYNC_US = 5 * MS  # a sync takes 5 to 10 ms
FORMED_US = 5 * SECOND
PATIENCE_US = 150 * MS
NODES, QUICK_NODES = (8, 32, 128, 512), (8, 128, 512)
LOSSES, QUICK_LOSSES = (0.0, 0.01, 0.05, 0.2), (0.0, 0.05)
SECONDS, QUICK_SECONDS = 15, 8
CLAIMS, QUICK_CLAIMS = 400, 100
HOT, QUIET = "hot", "quiet"
LIMITS = {HOT: TenantLimit(40, 40), QUIET: TenantLimit(100, 100)}
SENT_PER_S = {HOT: 400.0, QUIET: 70.0}
PLOT_WIDTH = 40


class LossyProxy(Machine):
    """A proxy of which a share of all questions, or their answers, is lost. Counts the bytes of both."""

    loss = 0.0
    bytes_moved = 0

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """Ask as a machine does, but for what is lost."""
        self.bytes_moved += len(encode(message)) if isinstance(message, TokenRequest) else 0
        if self.net.rng.random() < self.loss:
            self.after(timeout_us, answered, None)
            return

        def on_answer(answer: Message | None) -> None:
            self.bytes_moved += len(encode(answer)) if answer is not None else 0
            answered(answer)

        super().ask(address, message, timeout_us, on_answer)


def formed_fleet(seed: int) -> Fleet:
    """Return core machines whose chain is complete and knows both tenants."""
    fleet = Fleet(seed, CORES, LOST, SYNC_US)
    fleet.net.time.run(FORMED_US)
    head = next(store for store in fleet.stores.values() if store.chain.may_append)
    for tenant, limit in LIMITS.items():
        seq = head.replica.state.seq + 1
        body = msgspec.json.encode({"Name": tenant, "RatePerS": limit.rate, "BurstSize": limit.burst})
        head.chain.replicate([Item(TENANT, tenant, 1, seq, body)], seq, lambda is_committed: None)
        fleet.net.time.run(fleet.net.time.now + SECOND)
    return fleet


class QuotaLoad:
    """Two tenants that send through some proxies."""

    def __init__(self, seed: int, nodes: int, loss: float) -> None:
        self.fleet = formed_fleet(seed)
        self.time, self.rng = self.fleet.net.time, Random(seed)
        self.proxies = [LossyProxy(self.fleet.net, f"proxy-{number}", 1) for number in range(nodes)]
        self.clients: list[QuotaClient] = []
        for proxy in self.proxies:
            proxy.loss = loss
            self.fleet.net.machines[proxy.address] = proxy
            proxy.begin()
            self.clients.append(QuotaClient(proxy, CoreMembers(lambda: list(self.fleet.stores))))
        self.granted: dict[str, list[int]] = {HOT: [], QUIET: []}  # when the requests were sent
        self.refused = {HOT: 0, QUIET: 0}

    def play(self, seconds: int) -> dict[str, float]:
        """Return the row of the table."""
        begin = self.time.now
        for tenant in LIMITS:
            self._send(tenant, begin + seconds * SECOND)
        self.time.run(begin + (seconds + 1) * SECOND)
        hot = self.granted[HOT]
        owed = LIMITS[HOT].rate * seconds
        quiet = len(self.granted[QUIET]) + self.refused[QUIET]
        return {
            "nodes": len(self.proxies),
            "loss": self.proxies[0].loss,
            "given": round(worst_window(sorted(hot), LIMITS[HOT]), 3),
            "short": round(max(0.0, 1 - len(hot) / owed), 3),
            "refused": round(self.refused[QUIET] / quiet, 4),
            "bytes_per_s": round(sum(proxy.bytes_moved for proxy in self.proxies) / len(self.proxies) / seconds, 1),
        }

    def _send(self, tenant: str, until: int) -> None:
        if self.time.now >= until:
            return
        self.rng.choice(self.clients).request(tenant, PATIENCE_US, self._on_decision(tenant, self.time.now))
        self.time.after(int(self.rng.expovariate(SENT_PER_S[tenant]) * SECOND), self._send, tenant, until)

    def _on_decision(self, tenant: str, sent_at: int) -> Callable[[QuotaDecision], None]:
        def on_decision(decision: QuotaDecision) -> None:
            if decision.verdict is QuotaVerdict.GRANTED:
                self.granted[tenant].append(sent_at)
            else:
                self.refused[tenant] += 1

        return on_decision


def worst_window(sent: list[int], limit: TenantLimit) -> float:
    """Return the largest part of what the rule allows that was sent and granted in one window."""
    limits = QuotaLimits(TimingBounds())
    counts = [bisect_left(sent, begin + limits.window_us) - first for first, begin in enumerate(sent)]
    return max(counts, default=0) / limits.max_requests(limit)


def claim_times(seed: int, claims: int) -> list[float]:
    """Return the milliseconds from each claim to its grant, at random moments on a healthy chain."""
    fleet = formed_fleet(seed)
    time, rng = fleet.net.time, Random(seed)
    proxy = fleet.net.machines["proxy"] = Machine(fleet.net, "proxy", 1)
    proxy.begin()
    client = ClaimClient(proxy, CoreMembers(lambda: list(fleet.stores)), lambda operation, owner: None)
    took: list[float] = []

    def claim(number: int) -> None:
        began_at = time.now

        def on_decision(decision: Decision) -> None:
            if decision is ClaimOutcome.GRANTED:
                took.append((time.now - began_at) / MS)

        client.claim(f"{number:032x}", OperationOwner("proxy", 1, number), None, SECOND, on_decision)

    for number in range(claims):
        time.after(int(number * 20 * MS + rng.randrange(20 * MS)), claim, number)
    time.run(time.now + claims * 20 * MS + 2 * SECOND)
    return took


def plot(rows: list[dict[str, float]]) -> str:
    """Return bars of what the hot tenant was given, of what the rule allows."""
    bars = (f"{row['nodes']:4.0f} {row['loss']:5.0%} {'#' * round(PLOT_WIDTH * row['given'])}" for row in rows)
    return "\n".join(["given of what the rule allows, up to the line's end at 1", *bars, " " * 10 + "-" * PLOT_WIDTH])


def main() -> None:
    """Print the tables, the plot and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="fewer proxies, losses and claims")
    quick = parser.parse_args().quick
    seconds = QUICK_SECONDS if quick else SECONDS
    pairs = [(nodes, loss) for nodes in (QUICK_NODES if quick else NODES) for loss in (0.0,)]
    pairs += [(128, loss) for loss in (QUICK_LOSSES if quick else LOSSES) if loss]
    rows = [QuotaLoad(1, nodes, loss).play(seconds) for nodes, loss in pairs]
    print(f"{'proxies':>7} {'loss':>5} {'given':>6} {'short':>6} {'refused':>8} {'bytes/s a proxy':>16}")
    for row in rows:
        print(
            f"{row['nodes']:7.0f} {row['loss']:5.0%} {row['given']:6.2f} {row['short']:6.3f} "
            f"{row['refused']:8.4f} {row['bytes_per_s']:16.1f}"
        )
    print(plot(rows))
    claims = QUICK_CLAIMS if quick else CLAIMS
    took = sorted(claim_times(2, claims))
    sync_ms = 1.5 * SYNC_US / MS
    report: dict[str, Any] = {
        "claims": claims,
        "granted": len(took),
        "median_ms": round(median(took), 1),
        "p99_ms": round(took[int(0.99 * (len(took) - 1))], 1),
        "median_syncs": round(median(took) / sync_ms, 2),
    }
    print(
        f"{report['granted']} of {claims} claims granted: {report['median_ms']} ms in the median, "
        f"{report['p99_ms']} ms for 99 in 100; a sync takes {sync_ms} ms, so {report['median_syncs']} syncs"
    )
    print(json.dumps({"quotas": rows, "claims": report}))


if __name__ == "__main__":
    main()
