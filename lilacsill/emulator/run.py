"""Play a scenario from its start to its result: servers, agents and clients are processes, which always end."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import msgspec

from . import agent_group
from . import agents as run_line
from .agent_group import AgentGroup
from .models.faults import partitions_from
from .models.judge import Absence, AttemptRecord, Limits, NotificationRecord, PollRecord, RunRecords, judge
from .models.plan import Plan, make_plan
from .models.scenario import Scenario
from .own_processes import (
    ClientProcesses,
    RunError,
    ServerProcesses,
    server_process_count,
    start_clients,
    start_servers,
)
from .plan_file import SERVER_RECORDS
from .processes.pipe import PipeError
from .result import Result, summarize

LEAD_US = 300_000
"""From the moment that all processes are ready to the begin of the run."""
LEAD_PER_AGENT_US = 2_000
"""The lead is so much longer for each agent."""
DRAIN_S = 0.5
"""After the last answer, servers finish what they have in flight."""
MAX_DELAY_US = 20_000
"""With a larger delay at the 99th percentile, the emulator has not played the scenario."""
MAX_LOG_LINES = 200
ORDER_WAIT_S = 0.2
"""How long `serve` waits after an order for what the agent logs."""


async def play(
    path: str, plan: Plan, progress: Callable[[str], None] = lambda text: None, record: Path | None = None
) -> Result:
    """Play a plan; no process remains afterwards, also on cancellation.

    Args:
        path: The scenario or plan that the emulator's processes read.
        plan: The same, as it was read here.
        progress: Gets a line of text now and then.
        record: A folder for the agents' recordings; None: they do not record.

    Raises:
        RunError: The run could not be played.
        AgentError: An agent did not start.
    """
    scenario = plan.scenario
    progress(
        f"{scenario.name}: {len(plan.incarnations)} servers over time, {len(plan.arrivals)} requests, "
        f"{scenario.load.agents} agents"
    )
    try:
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="emulator-"))
            servers = await start_servers(path, plan, server_process_count(plan))
            stack.push_async_callback(servers.end)
            agents = await agent_group.start(plan, servers, Path(folder), record, stack)
            clients = await start_clients(path, plan)
            stack.push_async_callback(clients.end)
            result = await _Run(plan, servers, agents, clients).play(progress, record)
            await agents.stop()
            return result
    except PipeError as error:
        raise RunError(str(error)) from None


class _Run:
    """One run, once all its processes are ready."""

    def __init__(self, plan: Plan, servers: ServerProcesses, agents: AgentGroup, clients: ClientProcesses) -> None:
        self._plan, self._servers, self._agents, self._clients = plan, servers, agents, clients
        self._loop = asyncio.get_running_loop()
        self._began_us = 0

    def _now(self) -> int:
        return int(self._loop.time() * 1e6) - self._began_us

    async def play(self, progress: Callable[[str], None], record: Path | None) -> Result:
        plan, agents, clients = self._plan, self._agents, self._clients
        lead_us = LEAD_US + LEAD_PER_AGENT_US * plan.scenario.load.agents
        self._began_us = int(self._loop.time() * 1e6) + lead_us
        self._servers.begin(self._began_us)
        clients.begin(agents.addresses(), self._began_us)
        await agents.set_rules(agent_group.relay_rules(plan.link_faults, self._now()))
        absences: list[Absence] = []

        def report(sent: int, served: int) -> None:
            now_s = self._now() / 1e6
            progress(f"{now_s:5.1f} of {plan.scenario.length_s:.0f} s: {sent} sent, {served} served in time")

        faults = asyncio.create_task(
            agent_group.play_faults(agents, plan.agent_faults, self._now, plan.length_us, absences)
        )
        try:
            await clients.run(report)
            await faults
        finally:
            faults.cancel()
        await asyncio.sleep(DRAIN_S)
        figures, ended = agents.figures(), agents.ended()
        raw = await self._servers.records()
        if record is not None:
            self._write_server_records(record, raw)
        records = self._records(raw, absences)
        return summarize(
            plan,
            clients.outcomes,
            records,
            judge(records, Limits(memory_us=plan.spec.memory_us)),
            self._machine(raw, figures),
            reasons_for_void(raw, clients.late_us, ended),
        )

    def _write_server_records(self, folder: Path, raw: dict[str, Any]) -> None:
        """Write the servers' own records beside the agents' recordings, with the begin of the run on the wall clock."""
        began_unix_us = time.time_ns() // 1000 - self._now()
        (folder / SERVER_RECORDS).write_text(json.dumps({"t0_unix_us": began_unix_us, "attempts": raw["attempts"]}))

    def _records(self, raw: dict[str, Any], absences: list[Absence]) -> RunRecords:
        plan = self._plan
        records = RunRecords(
            attempts=msgspec.convert(raw["attempts"], list[AttemptRecord]),
            requests=self._clients.records,
            notifications=msgspec.convert(raw["notifications"], list[NotificationRecord]),
            polls=msgspec.convert(raw["polls"], list[PollRecord]),
            leaving=plan.leaving(),
            fallen=[(at, server) for at, server in raw["fallen"]],
            absences=absences,
            unreachable=agent_group.unreachable_times(plan.link_faults),
        )
        # Polls from behind a partition cannot be seen.
        for fault in partitions_from("discovery", plan.link_faults):
            records.polls += [PollRecord(agent, fault.start, fault.end) for agent in fault.agents]
        return records

    def _machine(self, raw: dict[str, Any], figures: list[dict[str, float]]) -> dict[str, Any]:
        clients = self._clients
        return {
            "agents": figures,
            "fleet_cpu_s": round(raw["cpu_s"], 2),
            "clients_cpu_s": round(clients.cpu_s, 2),
            "delay_p99_us": _p99(raw["delays_us"]),
            "late_p99_us": _p99(sorted(clients.late_us)),
            "lag_p99_us": _p99(raw["lags_us"]),
            "connections": clients.opened,
            "agent_log": self._agents.log()[:MAX_LOG_LINES],
        }


def reasons_for_void(raw: dict[str, Any], late_us: Sequence[int], ended: Sequence[int | None]) -> list[str]:
    """Return why a run says nothing of the agents; empty where it does.

    Args:
        raw: The records of the processes with servers.
        late_us: How far the clients were behind their schedule.
        ended: The exit status of each agent; None: it runs.
    """
    found = [f"the fleet failed: {fault}" for fault in raw["faults"]]
    for name, delay_us in (("clients are", _p99(sorted(late_us))), ("servers are", _p99(raw["lags_us"]))):
        if delay_us > MAX_DELAY_US:
            found.append(f"the emulator is too slow: its {name} {delay_us / 1000:.0f} ms behind at the 99th percentile")
    found += [
        f"agent n{number} ended with status {status}" for number, status in enumerate(ended) if status is not None
    ]
    return found


def _p99(ordered: Sequence[int]) -> int:
    return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))] if ordered else 0


async def serve(path: str, scenario: Scenario, write: Callable[[str], None]) -> None:
    """Keep the servers and the first agent up until the standard input ends or the task is cancelled.

    Args:
        path: The scenario that the emulator's processes read.
        scenario: The same, as it was read here.
        write: Gets lines of text. Lines of the standard input are orders to the servers.

    Raises:
        RunError: The servers were not ready in time.
        AgentError: The agent did not start.
    """
    loop = asyncio.get_running_loop()
    servers: ServerProcesses | None = None
    agent: run_line.Agent | None = None
    with tempfile.TemporaryDirectory(prefix="emulator-") as folder:
        try:
            servers = await start_servers(path, make_plan(scenario))
            agent = await run_line.start(scenario, 0, servers.discovery[0], servers.known(0), Path(folder))
            servers.begin(int(loop.time() * 1e6))
            write(_invitation(scenario, agent.port))
            reader = asyncio.StreamReader()
            await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
            written = 0
            while line := await reader.readline():
                servers.order(line)
                await asyncio.sleep(ORDER_WAIT_S)
                for text in agent.log[written:]:
                    write(text)
                written = len(agent.log)
        finally:
            if agent is not None:
                await agent.stop()
            if servers is not None:
                await servers.end()


def _invitation(scenario: Scenario, port: int) -> str:
    request_class, tenant = scenario.classes[0], scenario.tenants[0]
    key = " -H 'Idempotency-Key: '$n" if request_class.effect == "keyed" else ""
    return (
        f"An agent listens on 127.0.0.1:{port}, in front of {scenario.fleet.servers} servers. Ask it:\n\n"
        f"  n=$RANDOM; curl -i -X POST -H \"Request-Id: 0.$n.0\" -H 'Request-Class: {request_class.name}' "
        f"-H 'Tenant: {tenant.name}' -H 'Request-Timeout-Ms: {request_class.deadline_ms:.0f}'{key} -d '' "
        f"http://127.0.0.1:{port}/api\n\nkill N, start N: end or start the server of machine N. "
        "Ctrl-C or Ctrl-D ends it all."
    )
