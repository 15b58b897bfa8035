"""Days of troubles drawn by seed: the next trouble begins within 6 s of the end of the one before, at times sooner."""

from __future__ import annotations

from random import Random

from .fault import SAME, Fault
from .fault_day import Plan
from .orders import Request

GAP_MS = 6_000
OVERLAP = 0.35
FAULTS_A_DAY_RANGE = (3, 7)
LONG_PARTITION_MS = 20_000
REQUEST_EVERY_MS, STORM_EVERY_MS = 800, 100
CORES = (  # cores, machines lost, zones lost; larger fleets cost more, and are drawn less often
    *[(3, 1, 0)] * 60,
    *[(5, 2, 0)] * 16,
    *[(5, 1, 0)] * 6,
    *[(3, 0, 1)] * 5,
    *[(5, 0, 1)] * 4,
    *[(1, 0, 0)] * 3,
    *[(7, 2, 0)] * 3,
    (7, 1, 0),
    (7, 0, 1),
    (11, 2, 0),
)
KINDS = (
    *["cut"] * 5,
    *["wipe"] * 2,
    *["replace"] * 2,
    *["replace_planned"] * 2,
    *["roll_term"] * 2,
    *["after_ack_wipe"] * 2,
    "kill",
    "power",
    "freeze",
    "stall",
    "slow_disk",
    "slow",
    "after_ack_kill",
    "after_ack_power",
    "herd",
    "ack_lost",
    "race",
    "halves",
    "power_beyond",
    "wipe_beyond",
    "behind",
)
ZONE_KINDS = (
    "halves",
    "power_beyond",
    "cut",
    "wipe",
    "kill",
    "power",
    "freeze",
    "herd",
    "ack_lost",
    "race",
    "slow",
    "stall",
)
PLACES = ("any", "any", "head", "head", "tail", "tail", "middle", "seed", "spare", SAME, SAME, SAME)
WAYS = ("", "refused", "reset", "one_way in", "one_way out", "turns", "one_way in refused", "reset refused turns")
HERDS = ("", "power", "power wiped", "power wiped oldest")
CLOSINGS = (
    "",
    "killed",
    "power",
    "wiped",
    "wiped oldest",
    "killed timed",
    "power timed",
    "wiped timed",
    "wiped oldest timed",
)
OVERLAP_CORES = ((3, 1, 0), (3, 1, 0), (5, 2, 0))
OVERLAP_KINDS = (*["power_beyond"] * 3, *["roll_term_beyond"] * 2, "cut_beyond")
OVERLAP_FAULTS_RANGE = (2, 4)  # besides the lost disks
OVERLAP_GAP_MS, OVERLAP_REQUEST_EVERY_MS = 2_500, 200
MEETINGS = ("", "", " meet", " race", " meet race")
REQUESTS = (
    *["shared"] * 8,
    *["lane"] * 7,
    *["again"] * 3,
    *["rival"] * 2,
    "late_rival",
    "stale",
    "invalid",
)


def plan_of(seed: int) -> Plan:
    """The day of that seed."""
    rng = Random(seed)
    cores, lost, zones = rng.choice(CORES)
    faults = _faults(rng, zones)
    end_ms = max(t.at_ms + t.for_ms for t in faults) + 2000
    storm = rng.random() < 0.05  # hundreds of changes
    requests = _requests(rng, end_ms, STORM_EVERY_MS if storm else REQUEST_EVERY_MS)
    closing = rng.choice(CLOSINGS)
    return Plan(seed, cores, lost, zones, rng.choice((4, 4, 6)), closing, faults, requests)


def overlap_plan_of(seed: int) -> Plan:
    """The day of that seed on which losses of power, restarts in order and cuts overlap beyond what may be lost.

    As many disks are lost among them as may be, one at least.
    """
    rng = Random(seed)
    cores, lost, zones = rng.choice(OVERLAP_CORES)
    kinds = [rng.choice(OVERLAP_KINDS) for _ in range(rng.randint(*OVERLAP_FAULTS_RANGE))]
    for _ in range(rng.randint(1, lost)):
        kinds.insert(rng.randrange(1, len(kinds) + 1), "wipe_beyond")
    faults: list[Fault] = []
    at_ms = 0
    for kind in kinds:
        faults.append(Fault(kind, at_ms, _length_ms(rng, kind), rng.randrange(1 << 30), rng.choice(PLACES)))
        at_ms += rng.randrange(OVERLAP_GAP_MS)
    end_ms = max(fault.at_ms + fault.for_ms for fault in faults)
    requests = tuple(
        Request(rng.choice(("lane", "shared")), at_ms, rng.randrange(1 << 30))
        for at_ms in range(0, end_ms, OVERLAP_REQUEST_EVERY_MS)
    )
    return Plan(seed, cores, lost, zones, faults=tuple(faults), requests=requests)


def _faults(rng: Random, zones: int) -> tuple[Fault, ...]:
    made: list[Fault] = []
    at_ms = rng.randrange(2000)
    for _ in range(rng.randint(*FAULTS_A_DAY_RANGE)):
        kind = rng.choice(ZONE_KINDS if zones else KINDS)
        fault = Fault(kind, at_ms, _length_ms(rng, kind), rng.randrange(1 << 30), *_where(rng, kind, zones))
        made.append(fault)
        # The second may come before the first is over: on the same machine, or where two may be lost.
        overlaps = rng.random() < OVERLAP
        at_ms += (rng.randrange(fault.for_ms) if overlaps else fault.for_ms) + rng.randrange(GAP_MS)
    return tuple(made)


def _length_ms(rng: Random, kind: str) -> int:
    if kind == "cut" and rng.random() < 0.15:
        return LONG_PARTITION_MS
    return rng.randrange(500, 5000)


def _where(rng: Random, kind: str, zones: int) -> tuple[str, str]:
    position = "zone" if zones else rng.choice(PLACES)
    how = ""
    if kind == "cut":
        how = rng.choice(WAYS) + rng.choice(MEETINGS)
    elif kind == "herd":
        how = rng.choice(HERDS)
    elif kind in ("kill", "power", "wipe", "freeze"):
        how = rng.choice(("", "meet"))
    elif kind.startswith("after_ack"):
        how = rng.choice(("", "", "dark"))
    return position, how.strip()


def _requests(rng: Random, end_ms: int, every_ms: int) -> tuple[Request, ...]:
    count = end_ms // every_ms
    drawn = [Request(rng.choice(REQUESTS), rng.randrange(end_ms), rng.randrange(1 << 30)) for _ in range(count)]
    return tuple(sorted(drawn, key=lambda r: r.at_ms))
