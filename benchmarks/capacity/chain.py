"""How long a change takes to be acknowledged by a chain whose members are far from each other, in virtual time."""

from __future__ import annotations

from statistics import median

from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import begun, put, route

from .costs import Step

SYNC_US = 5 * MS  # a sync takes 5 to 10 ms
CALLS = 40
PATIENCE_US = 30 * SECOND
NEAR_MS, REGIONS_MS = 0, 55  # one way, in the mean, beyond the 0.75 ms of a near link


def acknowledged_ms(lost: int, delay_ms: int, calls: int = CALLS, seed: int = 1) -> list[float]:
    """Times of calls one after the other, by 2 * `lost` + 1 members. A message is late by any time up to twice the
    delay."""
    fleet, operator = begun(seed, cores=2 * lost + 1, lost=lost, sync_us=SYNC_US)
    net = fleet.net
    for address in fleet.stores:
        net.slow[address] = 2 * delay_ms * MS
    took: list[float] = []
    for version in range(2, calls + 2):
        began, done = net.time.now, list[int]()
        operator.call(put([route("r", version, "/r/")]), done.append)
        while not done and net.time.now < began + PATIENCE_US:
            net.time.run(net.time.now + MS)
        took.append((net.time.now - began) / MS)
    return sorted(took)


def measure() -> list[Step]:
    """By the delay between members, of three and of five."""
    steps: list[Step] = []
    for lost in (1, 2):
        for delay_ms in (NEAR_MS, REGIONS_MS):
            took = acknowledged_ms(lost, delay_ms)
            name = f"store: acknowledgement by {2 * lost + 1} members"
            steps.append(Step(f"{name}, median", delay_ms, median(took), "ms"))
            steps.append(Step(f"{name}, longest of {CALLS}", delay_ms, took[-1], "ms"))
    return steps
