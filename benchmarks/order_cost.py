"""What judging an operator's call costs the head, by the size of the state. No disk, no network: processor time alone.

    python -m benchmarks.order_cost

A call sets one route; `again` is one that was accepted before; `read` is the whole configuration laid out.
"""

from __future__ import annotations

import json
from itertools import count
from time import process_time_ns
from typing import Any

import msgspec

from lilacsill.mesh.simulation.store_fleet import put, route
from lilacsill.mesh.store import calls, validation
from lilacsill.mesh.store.accepted_changes import MAX_VERSIONS
from lilacsill.mesh.store.draft import Draft
from lilacsill.mesh.store.state import ConfigState

from .store_size import processor_us

ROUTES = (8, 500, 2_000)
CALLS = 60  # of each kind


def take(state: ConfigState, body: dict[str, Any]) -> None:
    """Judge a call and apply it, as the head does."""
    call = calls.parse_call(msgspec.json.encode(body)).unwrap()
    draft = Draft(state)
    draft.merge(validation.apply_call(draft, call).unwrap())
    state.apply(draft.items.values(), draft.seq)


def measured(routes: int) -> dict[str, float]:
    """Return all figures for a state of so many routes."""
    state = ConfigState()
    began = process_time_ns()
    take(state, put([route(f"r{i}", 1, f"/{i}/") for i in range(routes)], first=True))
    first = process_time_ns() - began
    before = state.size
    state.reference_count("s")
    versions = count(2)
    change = processor_us(lambda: take(state, put([route("r3", next(versions), "/3/")])), CALLS)
    repeat = processor_us(lambda: take(state, put([route("r5", 1, "/5/")])), CALLS)
    for version in range(CALLS + 2, 2 * MAX_VERSIONS):
        take(state, put([route("r3", version << 20, "/3/")]))
    return {
        "first_ms": round(first / 1e6, 1),
        "change_us": change,
        "again_us": repeat,
        "read_us": processor_us(state.to_json, CALLS),
        "full_record_bytes": state.size - before,
    }


def main() -> None:
    """Print a table and a JSON line."""
    found = {}
    print("routes  first call, ms  a change, us  again, us  read, us  full record, bytes")
    for routes in ROUTES:
        one = found[routes] = measured(routes)
        print("{:6} {:15} {:13} {:10} {:9} {:19}".format(routes, *one.values()))
    print(json.dumps(found))


if __name__ == "__main__":
    main()
