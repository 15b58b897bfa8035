"""The types of a scenario file: fleet, load and a script of faults, each value with its bounds.

The field names are the keys of the TOML file, except where a field gives its key as `name`. docs/emulator.md explains
them to operators.
"""

from __future__ import annotations

from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .groups import GroupError, members

Share = Annotated[float, Meta(ge=0, le=1)]
Part = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Millis = Annotated[float, Meta(gt=0, le=600_000)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Range = tuple[Annotated[float, Meta(ge=0)], Annotated[float, Meta(ge=0)]]

MAX_SERVER_PARTITIONS = 4
"""Partitions between agents and servers in one scenario; each of them may double the number of sides."""
MAX_SIDES = 2**MAX_SERVER_PARTITIONS
"""Groups of agents that reach servers at addresses of their own."""
AGENT_FAULTS = ("agent_kill", "agent_stall", "agent_restart", "power_loss")
"""The kinds of faults of an agent's process."""
LINK_FAULTS = ("partition", "lossy", "late")
"""The kinds of faults of links."""
SERVICES = ("servers", "discovery")
"""What a partition may separate agents from, beside other agents."""
SHARES_TOLERANCE = 0.01
"""The shares of all classes, or of all tenants, add up to 1 within this."""


class Section(msgspec.Struct, forbid_unknown_fields=True):
    """A table of the file, which allows no unknown keys."""


class Fleet(Section):
    """The job servers, and how discovery reports them."""

    servers: Annotated[int, Meta(ge=1, le=500)] = 8
    cores: Annotated[int, Meta(ge=1, le=64)] = 1
    slots: Annotated[int, Meta(ge=1, le=1000)] = 4
    queue: Annotated[int, Meta(ge=0, le=10_000)] = 16
    speed_spread: Annotated[float, Meta(ge=0, lt=1)] = 0.1
    crowded_loss: Annotated[float, Meta(ge=0, lt=1)] = 0.1
    cold_share: Part = 0.13
    warm_up_s: Seconds = 8.0
    warm_by_work: bool = False
    fall_multiple: Annotated[float, Meta(gt=0)] = 2.5
    fall_window_s: Annotated[float, Meta(gt=0)] = 3.0
    memory_s: Seconds = 15.0
    report_ms: Millis = 2.0
    first_request_ms: Annotated[float, Meta(ge=0)] = 0.3
    """The additional work of the first request on a connection, as for a handshake."""
    connections: Count = 400
    """At one server."""
    idle_s: Annotated[float, Meta(gt=0)] = 5.0
    """A server closes a connection that is idle for so long."""
    notice_s: Range = (0.5, 2.0)
    """Discovery learns of a change after a time in this range."""
    lines_per_s: Count = 1200
    """List entries that discovery can send in all."""


class Load(Section):
    """The clients. Their arrivals are an open loop: a slow answer does not delay the next request."""

    agents: Annotated[int, Meta(ge=1, le=1000)] = 2
    zones: Annotated[int, Meta(ge=1, le=100)] = 1
    """Failure domains of agents, neighbours in number; only scripted faults refer to them."""
    rate: Annotated[float, Meta(gt=0, le=20_000)] = 200.0
    """First tries per second of all clients."""
    shape: Literal["steady", "wave", "bursts"] = "steady"
    swing: Share = 0.3
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    backoff_ms: Range = (20.0, 100.0)
    honour: Share = 0.7
    """The share of clients that obey Retry-After."""
    retry_after_max_s: Seconds = 2.0
    marks_retry: bool = True
    """Clients mark their retries."""
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 384
    """The descriptors of an agent."""


class Peers(Section):
    """The agents' membership protocol; the emulated platform permits it where it is enabled."""

    enabled: bool = False
    period_ms: Annotated[int, Meta(ge=50, le=60_000)] = 500
    lease_ms: Annotated[int, Meta(ge=200, le=60_000)] = 2000


class Recovery(Section):
    """Whether agents save their state on a disk that outlives their processes."""

    enabled: bool = False
    every_ms: Annotated[int, Meta(ge=500, le=60_000)] = 1000


class Class(Section):
    """One class of requests."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
    share: Part
    work_ms: Range
    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Millis = 300.0
    deadline_ms: Millis = 750.0
    worth: Annotated[float, Meta(ge=0)] = 1.0


class Tenant(Section):
    """One tenant and its share of the requests."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
    share: Part


class ScriptedFault(Section):
    """A fault of the script, from `at_s` on for `len_s`.

    The meaning of the other keys depends on the kind; docs/emulator.md has the table.
    """

    kind: Literal[
        "death",
        "deploy",
        "pauses",
        "neighbour",
        "heavy_tail",
        "discovery_outage",
        "flood",
        "reconnect_storm",
        "vanish",
        "resets",
        "spoilt",
        "agent_pause",
        "agent_kill",
        "agent_stall",
        "agent_restart",
        "power_loss",
        "partition",
        "lossy",
        "late",
    ]
    at_s: Seconds
    len_s: Seconds = 5.0
    part: Part = 0.25
    """The share of the servers; of the answers (resets, spoilt), of one class (heavy_tail), of datagrams (lossy)."""
    size: Annotated[float, Meta(ge=0)] = 0.0
    """0 stands for the default of the kind."""
    every_s: Annotated[float, Meta(gt=0)] = 1.0
    target: str = ""
    """The tenant of a flood, the class of a heavy tail."""
    agents: str = "all"
    """A group of agents (`groups.members`), for the faults of agents and links."""
    to: str = "others"
    """The other end of a link: a group, `others`, `servers` or `discovery`."""
    way: Literal["both", "out", "in"] = "both"
    """The direction of a link fault, as seen from `agents`."""
    p99_ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0
    """The 99th percentile of the delay of a late link."""
    twice: Share = 0.0
    """The share of the datagrams that arrive twice."""


def _classes() -> list[Class]:
    return [
        Class(name="registro-servicio", share=0.74, work_ms=(8.0, 12.0), effect="keyed", worth=10.0),
        Class(name="vale-almacen", share=0.26, work_ms=(9.0, 13.0), effect="unsafe", worth=3.0),
    ]


def _tenants() -> list[Tenant]:
    return [Tenant(name="transportes-norvalle", share=0.68), Tenant(name="fletes-cardenas", share=0.32)]


class Scenario(Section):
    """A scenario file."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
    about: str = ""
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 15.0
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    load: Load = msgspec.field(default_factory=Load)
    peers: Peers = msgspec.field(default_factory=Peers)
    recovery: Recovery = msgspec.field(default_factory=Recovery)
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(name="class", default_factory=_classes)
    tenants: Annotated[list[Tenant], Meta(min_length=1)] = msgspec.field(name="tenant", default_factory=_tenants)
    faults: list[ScriptedFault] = msgspec.field(name="trouble", default_factory=list)

    def __post_init__(self) -> None:
        self._check_shares("class", [request_class.share for request_class in self.classes])
        self._check_shares("tenant", [tenant.share for tenant in self.tenants])
        for fault in self.faults:
            self._check_target(fault)
            self._check_groups(fault)
            if fault.kind == "late" and fault.p99_ms and fault.p99_ms < fault.size:
                raise ValueError(f"[[trouble]] late p99_ms: {fault.p99_ms:g} is below size, the median, {fault.size:g}")
            if fault.at_s > self.length_s:
                raise ValueError(
                    f"[[trouble]] {fault.kind} at_s: {fault.at_s} is after the end, length_s = {self.length_s}"
                )
        partitions = sum(fault.kind == "partition" and fault.to == "servers" for fault in self.faults)
        if partitions > MAX_SERVER_PARTITIONS:
            raise ValueError(
                f"[[trouble]] partition to: more than {MAX_SERVER_PARTITIONS} that cut agents off from servers make "
                f"more than {MAX_SIDES} sides"
            )

    def _check_shares(self, name: str, shares: list[float]) -> None:
        if abs(sum(shares) - 1.0) > SHARES_TOLERANCE:
            raise ValueError(f"the shares of all [[{name}]] must add up to 1, not {sum(shares):.3f}")

    def _check_target(self, fault: ScriptedFault) -> None:
        if fault.kind == "flood":
            targets = [tenant.name for tenant in self.tenants]
        elif fault.kind == "heavy_tail":
            targets = [request_class.name for request_class in self.classes]
        else:
            return
        if fault.target not in targets:
            raise ValueError(f"[[trouble]] {fault.kind} target: {fault.target!r} is none of {', '.join(targets)}")

    def _check_groups(self, fault: ScriptedFault) -> None:
        """Reject a group that names no agents, before a run draws from it."""
        load = self.load
        try:
            agents = members(fault.agents, load.agents, load.zones, Random(0))
        except GroupError as error:
            raise ValueError(f"[[trouble]] {fault.kind} agents: {error}") from None
        if fault.kind not in LINK_FAULTS:
            return
        try:
            self._check_destination(fault, len(agents))
        except GroupError as error:
            raise ValueError(f"[[trouble]] {fault.kind} to: {error}") from None

    def _check_destination(self, fault: ScriptedFault, agents: int) -> None:
        load = self.load
        if fault.to in SERVICES:
            if fault.kind != "partition":
                raise GroupError(f"{fault.to!r}: only a partition may name it; `{fault.kind}` is between agents")
        elif fault.to != "others":
            members(fault.to, load.agents, load.zones, Random(0))
        elif agents == load.agents and fault.kind == "partition":
            raise GroupError("`agents` are all, and nobody is left on the other side")
