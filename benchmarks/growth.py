"""What a node costs and sees as nodes double from 8 to 400, in virtual time: evenness, lateness, deaths, watchers.

    python -m benchmarks.growth [--quick]

Control: the smallest fleet. The tables, gates, neighbours and directories are the product's own
(lilacsill.mesh.simulation.load_reports, lilacsill.mesh.simulation.failure_detection). `uneven` is variance over mean
of what backends hold at a moment: 1 for chance alone.
"""

from __future__ import annotations

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, median
from time import process_time

from lilacsill.mesh.registry.config_cache import ConfigCache
from lilacsill.mesh.simulation.load_reports import Fair, Environment
from lilacsill.mesh.simulation.failure_detection import Street
from lilacsill.mesh.runtime.frames import encode_frame
from lilacsill.mesh.proxy.failure_detector import MONITORS
from lilacsill.mesh.proxy.watch_list import WatchList
from lilacsill.mesh.runtime.messages import Endpoint, Freshness, Item, Poll, PollReply, encode

SIZES = (8, 16, 32, 64, 128, 256, 400)
USE = 0.75
BORN = 1_764_640_000_000  # lives are times of a start in milliseconds
BAR = 1.1  # a doubling
FRESHNESS = Freshness(431, 700)  # as old, and held as long, as an answer with no news may be


def news_bytes(nodes: int, routes: int = 0) -> int:
    """Bytes a second between a quiet proxy and its two registries, with frames; with `routes`, all that it is sent
    when so many are added."""
    endpoint = Endpoint(
        "sidecar-leon-hall-1", BORN, 3, "10.1.0.35", 7660, "hall", "huvo11a", "i-7f3a91c2", "ready", 9, 0
    )
    registries = [f"10.1.0.{i}:7660" for i in range(5)]
    if not routes:
        ask = Poll(endpoint, BORN, nodes, 1, 1, 700, [])
        update = PollReply(BORN, nodes, [], [], 1, [], 1, FRESHNESS, registries)
        return round(2 * (len(encode_frame(1, encode(ask))) + len(encode_frame(1, encode(update)))) / 0.7)
    copy, sent, seq = ConfigCache(), 0, 1
    copy.apply([Item("route", f"r-x73d3z{i}", 7, i + 2, b"x" * 260) for i in range(routes)], routes + 1)
    while seq < copy.seq:
        items, seq = copy.next_batch(seq)
        sent += len(encode_frame(1, encode(PollReply(1, nodes, [], [], seq, items, copy.seq, FRESHNESS, registries))))
    return sent


def watched_of(me: str, nodes: list[str]) -> list[str]:
    """Whom that node watches."""
    watch_list = WatchList(me, MONITORS)
    watch_list.sync(nodes)
    return watch_list.monitored


def one(job: tuple[int, int]) -> dict[str, float]:
    """One size, one seed."""
    nodes, seed = job
    world = Environment(Fair(nodes=nodes, use=USE, length_s=12 if nodes < 200 else 8), seed)
    began = process_time()
    credit = world.play()
    cpu_us = 1e6 * (process_time() - began) / max(1, credit.asked)
    street = Street(nodes, seed)
    asked = sum(len(p.neighbours.monitored()) for p in street.proxies.values())
    sent = street.net.sent
    street.net.time.run(street.net.time.now + 4_000_000)
    pings = (street.net.sent - sent) / 4 / nodes
    known_ms = street.dies("n1") / 1000
    return {
        **credit.report(),
        "us_a_request": round(cpu_us, 1),
        "watched": asked / nodes,
        "pings_s": round(pings, 2),
        "death_ms": round(known_ms),
        "falsely": len(street.known) - 1,
        "news_bytes_s": news_bytes(nodes),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="to 64 nodes, three seeds; under a minute")
    quick = parser.parse_args().quick
    sizes, seeds = (SIZES[:4], 3) if quick else (SIZES, 5)
    jobs = [(nodes, seed) for nodes in reversed(sizes) for seed in range(seeds)]
    with ProcessPoolExecutor() as pool:
        found = dict(zip(jobs, pool.map(one, jobs), strict=True))
    names = list(found[jobs[0]])
    print(f"{'nodes':>6} " + " ".join(f"{n:>12}" for n in names))
    table = {}
    for nodes in sizes:
        row = {n: (median if n == "death_ms" else mean)(found[nodes, s][n] for s in range(seeds)) for n in names}
        table[nodes] = {n: round(v, 4) for n, v in row.items()}
        print(f"{nodes:>6} " + " ".join(f"{v:>12.4g}" for v in row.values()))
    watched = [len(watched_of(f"n{i}", [f"n{j}" for j in range(64)])) for i in range(64)]
    worst = {
        n: round(max(table[b][n] / table[a][n] for a, b in zip(sizes, sizes[1:], strict=False)), 2)
        for n in ("uneven", "pings_s", "death_ms", "news_bytes_s", "us_a_request")
    }
    print(f"largest growth a doubling (bar {BAR}): {worst}; of 64, one watches {min(watched)} to {max(watched)}")
    print(f"350 routes are {news_bytes(8, 350)} bytes to each proxy, once")
    print(
        json.dumps(
            {"sizes": table, "worst_doubling": worst, "bar": BAR, "routes_350": news_bytes(8, 350), "seeds": seeds}
        )
    )


if __name__ == "__main__":
    main()
