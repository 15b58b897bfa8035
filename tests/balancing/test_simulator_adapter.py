"""The wire: bad input is told plainly; the same events give the same bytes whatever the process."""

from __future__ import annotations

import json
import os
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]
FACTS: dict[str, Any] = {
    "allowed": {"cancel": True, "probes": False, "secondCopies": True, "maxAttempts": 4},
    "siblings": 2,
    "zone": 0,
    "profiles": [{"name": "a", "aimUs": 500000, "deadlineUs": 2000000, "repeat": "retryable"}],
    "unknown": 1,
    "registryMode": "push",
    "quantumUs": 5000,
    "report": {"columns": ["inflight"], "source": "inline"},
    "rules": {"startCapacity": 0.2, "warmUpUs": 10_000_000, "fallMultiple": 3.0, "tipAfterUs": 1_000_000},
}


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack(">QII", now, 16 + len(body), len(records)) + body


def spawn(instance: int, facts: bytes) -> bytes:
    return struct.pack(">BHQII", 10, instance, 7 + instance, 0, len(facts))


def backends(count: int) -> bytes:
    ids = [bytes([10, 0, 0, i, 1, 2]) for i in range(count)]
    return b"".join(struct.pack(">6sHBHBfQ", b, 0, 0, 0, 1, 1.0, 0) for b in ids)


def request(instance: int, number: int) -> bytes:
    return struct.pack(">BHQIIQHBI", 30, instance, number, 0, 900000, 0, 0, 0, 0)


def ended(instance: int, outcome: int) -> bytes:
    return struct.pack(">BHQBHI6sHB4f", 50, instance, 1, 0, 0, 5, b"abcdef", outcome, 0, 0, 0, 0, 0)


def script(instances: list[int]) -> bytes:
    facts, entries = json.dumps(FACTS).encode(), backends(6)
    out = b""
    for i in instances:
        listed = struct.pack(">BBII", 110, 0, len(facts), 6)
        seen = struct.pack(">BHQBB", 20, i, 1, 0, 0)
        out += frame(1000, [spawn(i, facts), listed, seen], facts + entries)
    for n in range(40):
        out += b"".join(frame(2000 + n * 5000, [request(i, 100 * i + n)]) for i in instances)
    return out


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)}
    return subprocess.run(
        [sys.executable, "-m", "lilacsill.balancing.simulator_adapter"], input=data, capture_output=True, env=env
    )


def replies(data: bytes) -> list[bytes]:
    out = []
    while data:
        (size,) = struct.unpack_from(">I", data)
        out.append(data[:size])
        data = data[size:]
    return out


def test_hash_seed_and_company_change_nothing() -> None:
    together = run(script([0, 1]))
    assert together.returncode == 0 and together.stderr == b""
    assert run(script([0, 1]), seed="12345").stdout == together.stdout
    both = replies(together.stdout)
    for i in (0, 1):
        alone = replies(run(script([i])).stdout)
        assert alone == [both[i], *both[2 + i :: 2]]
    assert any(reply[8:9] == b"\x0a" for reply in both)  # sends were made


FACTS_BYTES = json.dumps(FACTS).encode()
RULES = FACTS["rules"]
NAN = json.dumps({**FACTS, "rules": {**RULES, "fallMultiple": float("nan")}}).encode()
INF = json.dumps({**FACTS, "quantumUs": float("inf")}).encode()
RANGE = json.dumps({**FACTS, "rules": {**RULES, "startCapacity": 1.5}}).encode()
LACKING = json.dumps({k: v for k, v in FACTS.items() if k != "rules"}).encode()
BAD = {
    "truncated header": (b"\0" * 5, b"inside a frame header"),
    "truncated frame": (frame(1, [b"\x46"])[:-3], b"ends 3 bytes early"),
    "length too small": (struct.pack(">QII", 1, 4, 0), b"less than its header"),
    "records do not fit": (struct.pack(">QII", 1, 16, 2), b"do not fit"),
    "unknown code": (frame(1, [spawn(0, FACTS_BYTES), struct.pack(">BH", 99, 0)], FACTS_BYTES), b"code 99"),
    "unknown list": (
        frame(1, [spawn(0, FACTS_BYTES), struct.pack(">BHQBB", 20, 0, 1, 3, 2)], FACTS_BYTES),
        b"list 3",
    ),
    "not running": (frame(1, [request(5, 1)]), b"instance 5"),
    "beyond the tail": (frame(1, [spawn(0, FACTS_BYTES)]), b"beyond the tail"),
    "not JSON": (frame(1, [spawn(0, b"{")], b"{"), b"not JSON"),
    "not finite": (frame(1, [spawn(0, NAN)], NAN), b"overload_multiple"),
    "no whole number": (frame(1, [spawn(0, INF)], INF), b"settings"),
    "out of range": (frame(1, [spawn(0, RANGE)], RANGE), b"warm_up_start_fraction"),
    "unknown outcome": (frame(1, [spawn(0, FACTS_BYTES), ended(0, 77)], FACTS_BYTES), b"invalid value 77"),
    "note beyond the tail": (
        frame(1, [spawn(0, FACTS_BYTES), struct.pack(">BHHII", 90, 0, 1, 9999, 4)], FACTS_BYTES),
        b"beyond",
    ),
    "over-long frame": (struct.pack(">QII", 1, 1 << 31, 0) + b"x" * 50, b"ends"),
    "key lacks": (frame(1, [spawn(0, LACKING)], LACKING), b"rules"),
}


@pytest.mark.parametrize("name", list(BAD))
def test_bad_input_gives_one_plain_line(name: str) -> None:
    data, said = BAD[name]
    got = run(data)
    assert got.returncode == 2 and got.stdout == b""
    assert said in got.stderr and got.stderr.count(b"\n") == 1 and b"Traceback" not in got.stderr


def test_exception_in_the_module_is_given_in() -> None:
    bad = struct.pack(">BHQIIQHBI", 30, 0, 1, 0, 900000, 0, 9, 0, 0)  # class 9 does not exist
    got = run(frame(1, [spawn(0, FACTS_BYTES), bad], FACTS_BYTES))
    assert got.returncode == 0 and b"ValueError: request_class" in got.stdout and got.stdout[8] == 100


def test_end_of_input_is_a_clean_end() -> None:
    got = run(b"")
    assert got.returncode == 0 and got.stdout == b"" and got.stderr == b""


def test_peers_hear_each_other_over_the_wire() -> None:
    facts = {**FACTS, "allowed": {**FACTS["allowed"], "peers": True}}
    text = json.dumps(facts).encode()
    note = struct.pack(">BHHII", 90, 0, 1, len(text), 4)
    got = run(frame(1, [spawn(0, text), note], text + b"junk"))
    assert got.returncode == 0 and replies(got.stdout)[0][4:8] == bytes(4)  # taken in, nothing done


def test_the_oracle_digests_the_same_streams_whatever_the_order_of_sets() -> None:
    # What compares two builds of the decision module must not see differences that are its own.
    code = "import json; from tests.balancing.oracle import digests; print(json.dumps(digests(4)))"
    seen = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(seen) == 1 and len(set(json.loads(seen.pop()).values())) == 4
