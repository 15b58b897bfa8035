"""A scenario from its start to its result: fleet, agents and clients as processes, ended whatever happens."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import msgspec

from . import agents as agents_
from . import herd as herds
from .models.faults import partitions_from
from .models.judge import PollRecord, AttemptRecord, Absence, RunRecords, Limits, NotificationRecord, judge
from .models.plan import Plan, make_plan
from .models.scenario import Scenario
from .parts import Crowd, Fleet, RunError, server_parts, start_crowd, start_fleet
from .plan_file import BOOK
from .processes.pipe import PipeError
from .result import Result, summarize

LEAD_US = 300_000  # from all ready to the first arrival
LEAD_AGENT_US = 2_000  # and so much longer for each agent
SETTLE_S = 0.5  # after the last answer, for what the servers still hold
LATE_US = 20_000  # an emulator that is behind by so much at its 99th percentile has not played the scenario


async def play(
    path: str, plan: Plan, progress: Callable[[str], None] = lambda text: None, record: Path | None = None
) -> Result:
    """One run of the plan that `path` and its seed stand for. `record` is a folder for the agents' recordings. Raises
    RunError and AgentError; no process is left, also on cancellation."""
    scenario = plan.scenario
    progress(
        f"{scenario.name}: {len(plan.incarnations)} servers over time, {len(plan.arrivals)} requests, "
        f"{scenario.load.agents} agents"
    )
    try:
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="emulator-"))
            fleet = await start_fleet(path, plan, server_parts(plan))
            stack.push_async_callback(fleet.end)
            herd = await herds.start(plan, fleet, Path(folder), record, stack)
            crowd = await start_crowd(path, plan)
            stack.push_async_callback(crowd.end)
            result = await _drive(plan, fleet, herd, crowd, progress, record)
            await herd.stop()
            return result
    except PipeError as e:
        raise RunError(str(e)) from None


async def serve(path: str, scenario: Scenario, say: Callable[[str], None]) -> None:
    """Keep the fleet and its first agent up until the standard input ends or the task is cancelled. Lines of the
    standard input go to the fleet. Raises RunError and AgentError."""
    loop = asyncio.get_running_loop()
    fleet: Fleet | None = None
    agent: agents_.Agent | None = None
    with tempfile.TemporaryDirectory(prefix="emulator-") as folder:
        try:
            fleet = await start_fleet(path, make_plan(scenario))
            agent = await agents_.start(scenario, 0, fleet.discovery[0], fleet.known(0), Path(folder))
            fleet.begin(int(loop.time() * 1e6))
            cls, tenant = scenario.classes[0], scenario.tenants[0]
            key = " -H 'Idempotency-Key: '$n" if cls.effect == "keyed" else ""
            say(
                f"An agent listens on 127.0.0.1:{agent.port}, in front of {scenario.fleet.servers} servers. Ask it:\n\n"
                f"  n=$RANDOM; curl -i -X POST -H \"Request-Id: 0.$n.0\" -H 'Request-Class: {cls.name}' "
                f"-H 'Tenant: {tenant.name}' -H 'Request-Timeout-Ms: {cls.deadline_ms:.0f}'{key} -d '' "
                f"http://127.0.0.1:{agent.port}/api\n\nkill N, start N: end or start the server of machine N. "
                "Ctrl-C or Ctrl-D ends it all."
            )
            reader = asyncio.StreamReader()
            await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
            said = 0
            while line := await reader.readline():
                fleet.order(line)
                await asyncio.sleep(0.2)
                for text in agent.log[said:]:
                    say(text)
                said = len(agent.log)
        finally:
            if agent is not None:
                await agent.stop()
            if fleet is not None:
                await fleet.end()


async def _drive(
    plan: Plan,
    fleet: Fleet,
    herd: herds.Line | herds.Many,
    crowd: Crowd,
    progress: Callable[[str], None],
    record: Path | None,
) -> Result:
    loop = asyncio.get_running_loop()
    t0 = int(loop.time() * 1e6) + LEAD_US + LEAD_AGENT_US * plan.scenario.load.agents

    def now() -> int:
        return int(loop.time() * 1e6) - t0

    fleet.begin(t0)
    crowd.begin(herd.addresses(), t0)
    if isinstance(herd, herds.Many):
        await herd.rig.rules(herds.relay_rules(plan.link_faults, now()))
    away: list[Absence] = []

    def tell(sent: int, served: int) -> None:
        progress(f"{now() / 1e6:5.1f} of {plan.scenario.length_s:.0f} s: {sent} sent, {served} served in time")

    faults = asyncio.create_task(herds.afflict(herd, plan.agent_faults, now, plan.length_us, away))
    try:
        await crowd.run(tell)
        await faults
    finally:
        faults.cancel()
    await asyncio.sleep(SETTLE_S)
    figures, ended = herd.figures(), herd.ended()
    raw = await fleet.books()
    if record is not None:
        # The servers' own book beside the agents' recordings, on the wall clock.
        (record / BOOK).write_text(
            json.dumps({"t0_unix_us": time.time_ns() // 1000 - now(), "attempts": raw["attempts"]})
        )
    books = RunRecords(
        msgspec.convert(raw["attempts"], list[AttemptRecord]),
        crowd.books,
        msgspec.convert(raw["notifications"], list[NotificationRecord]),
        msgspec.convert(raw["polls"], list[PollRecord]),
        plan.leaving(),
        [(at, who) for at, who in raw["fallen"]],
        away,
        herds.unseen(plan.link_faults),
    )
    # Polls from behind a partition cannot be seen.
    for fault in partitions_from("discovery", plan.link_faults):
        books.polls += [PollRecord(agent, fault.start, fault.end) for agent in fault.agents]
    breaches = judge(books, Limits(memory_us=plan.spec.memory_us))
    void = _void(raw, crowd.late_us, ended)
    return summarize(
        plan,
        crowd.outcomes,
        books,
        breaches,
        {
            "agents": figures,
            "fleet_cpu_s": round(raw["cpu_s"], 2),
            "clients_cpu_s": round(crowd.cpu_s, 2),
            "delay_p99_us": _at(raw["delays_us"], 0.99),
            "late_p99_us": _at(sorted(crowd.late_us), 0.99),
            "lag_p99_us": _at(raw["lags_us"], 0.99),
            "connections": crowd.opened,
            "agent_log": herd.log()[:200],
        },
        void,
    )


def _void(raw: dict[str, Any], late_us: list[int], ended: list[int | None]) -> list[str]:
    """Why the run says nothing of the agents."""
    found = [f"the fleet failed: {f}" for f in raw["faults"]]
    for name, at in (("clients are", _at(sorted(late_us), 0.99)), ("servers are", _at(raw["lags_us"], 0.99))):
        if at > LATE_US:
            found.append(f"the emulator is too slow: its {name} {at / 1000:.0f} ms behind at the 99th percentile")
    found += [f"agent n{i} ended with status {status}" for i, status in enumerate(ended) if status is not None]
    return found


def _at(ordered: list[int], share: float) -> int:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0
