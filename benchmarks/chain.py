"""The chain in virtual time: the cost of an acknowledgement, of a loss, and of the size of the configuration.

It prints what calls that go together gain, how long a loss is felt, and how long it takes to full strength.

    python -m benchmarks.chain [--quick]

Control: one call at a time, each waiting for the one before, as a store without group commit would have it.
"""

from __future__ import annotations

import argparse
import json
from statistics import median

from benchmarks import store_size
from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import Fleet, Operator, begun, put, route

SYNC_US, HOP_US = 5 * MS, 750  # a sync takes 5 to 10 ms, a hop 0.5 to 1 ms
ACK_WITHIN_MS = 4000
LOSSES = ("head", "middle", "tail", "cut", "one_way", "stall", "freeze")
PARTITION_US = 20 * SECOND


def fleet_of(seed: int) -> tuple[Fleet, Operator]:
    """Return core machines with a configuration, and an operator."""
    return begun(seed, sync_us=SYNC_US)


def latency(seed: int, calls: int) -> float:
    """Median milliseconds of a call on a healthy chain, asked at any machine."""
    fleet, operator = fleet_of(seed)
    time, took = fleet.net.time, list[int]()
    for version in range(2, calls + 2):
        began, done = time.now, list[int]()
        operator.call(put([route("r", version, "/r/")]), done.append)
        while not done:
            time.run(time.now + MS // 4)
        took.append(time.now - began)
    return median(took) / MS


def rate(seed: int, at_once: int, seconds: int) -> float:
    """Calls a second, with so many operators that each send the next call when the last is acknowledged."""
    fleet, _ = fleet_of(seed)
    time = fleet.net.time
    acked = 0
    until = time.now + seconds * SECOND

    def still_up(operator: Operator, name: str, version: int) -> None:
        if time.now < until:
            operator.call(put([route(name, version, f"/{name}/")]), lambda status: taken(operator, name, version))

    def taken(operator: Operator, name: str, version: int) -> None:
        nonlocal acked
        acked += 1
        still_up(operator, name, version + 1)

    for i in range(at_once):
        still_up(Operator(fleet, f"o{i}"), f"route{i}", 2)
    time.run(until + SECOND)
    return acked / seconds


def felt(seed: int, loss: str) -> float:
    """Return milliseconds from a loss to the acknowledgement of a call that is sent right after it.

    Partitions, stalls and freezes last 20 s.
    """
    fleet, operator = fleet_of(seed)
    time, net = fleet.net.time, fleet.net
    members = [m.address for m in next(iter(fleet.stores.values())).replica.view.members]
    position = {"head": 0, "middle": 1, "tail": 2}.get(loss, seed % 3)
    machine = net.machines[members[position]]
    if loss in ("cut", "one_way"):
        partition = net.partition({members[position]}, set(members) - {members[position]}, one_way=loss == "one_way")
        time.after(PARTITION_US, net.heal, partition)
    elif loss == "stall":
        machine.disk.stall(PARTITION_US)
    elif loss == "freeze":
        machine.frozen_until = time.now + PARTITION_US
    else:
        machine.end(power=True)
    began, done = time.now, list[int]()
    operator.call(put([route("r", 2, "/r/")]), lambda status: done.append(time.now))
    time.run(time.now + PARTITION_US + 5 * SECOND)
    return (done[0] - began) / MS if done else float("inf")


def refill(seed: int, routes: int) -> tuple[float, int]:
    """Fill a member that is back with an empty disk, beside a state of so many routes.

    Returns:
        The longest milliseconds of a call meanwhile, and the ranges that were repaired.
    """
    fleet, operator = fleet_of(seed)
    time, net = fleet.net.time, fleet.net
    done: list[int] = []
    operator.call(put([route(f"r{i}", 2, f"/{i}/") for i in range(routes)]), done.append)
    time.run(time.now + 2 * SECOND)
    members = [m.address for m in next(iter(fleet.stores.values())).replica.view.members]
    lost = members[seed % 3]
    net.machines[lost].end(power=True)
    net.machines[lost].disk.wiped()
    time.run(time.now + 3 * SECOND)
    fleet.start(lost)
    took = []
    for version in range(3, 33):
        began, done = time.now, []
        operator.call(put([route("r", version, "/r/")]), done.append)
        while not done:
            time.run(time.now + MS)
        took.append(time.now - began)
        time.run(time.now + 50 * MS)
    assert fleet.stores[lost].replica.complete
    repairs = [r for s in fleet.stores.values() for r in s.chain.repairs if r.startswith(lost)]
    return max(took) / MS, int(repairs[-1].split(": ")[1].split()[0])


def main() -> None:
    """Print the tables and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="fewer seeds; under a minute")
    seeds = 8 if parser.parse_args().quick else 60
    calm = median(latency(seed, 20) for seed in range(seeds // 4))
    sync_ms, hop_ms = 1.5 * SYNC_US / MS, HOP_US / MS
    print(f"an acknowledgement: {calm:.1f} ms; three syncs and six hops are {3 * sync_ms + 6 * hop_ms:.1f} ms")
    one, many = rate(1, 1, 4), rate(1, 40, 4)
    print(f"calls a second: {one:.0f} one by one, {many:.0f} of 40 operators, {many / one:.1f} times the control")
    print(f"{'lost':10} {'median ms':>10} {'longest ms':>11} {'of AckWithinMs':>15}")
    lost = {}
    for loss in LOSSES:
        times = [felt(seed, loss) for seed in range(seeds)]
        lost[loss] = {"median_ms": round(median(times)), "longest_ms": round(max(times))}
        print(f"{loss:10} {median(times):10.0f} {max(times):11.0f} {median(times) / ACK_WITHIN_MS:15.2f}")
    filled = [refill(seed, 400) for seed in range(min(seeds, 12))]
    longest = [f[0] for f in filled]
    print(
        f"a member filled anew with 400 routes ({filled[0][1]} ranges of 64): the longest call meanwhile takes "
        f"{median(longest):.0f} ms in the median, {max(longest):.0f} at most"
    )
    sizes = store_size.table()
    print(
        json.dumps(
            {
                "ack_ms": round(calm, 1),
                "rate_control": one,
                "rate": many,
                "ratio": round(many / one, 2),
                "lost": lost,
                "refill_ms": [round(f[0]) for f in filled],
                "full_strength_ms": {routes: row["fill_ms"] for routes, row in sizes.items()},
                "sizes": sizes,
                "seeds": seeds,
            }
        )
    )


if __name__ == "__main__":
    main()
