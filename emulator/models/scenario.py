"""What a scenario says: fleet, load and a script of troubles. Typed, with the bounds in one place."""
from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Part = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Millis = Annotated[float, Meta(gt=0, le=600_000)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Range = tuple[Annotated[float, Meta(ge=0)], Annotated[float, Meta(ge=0)]]

KINDS = ("death", "deploy", "pauses", "neighbour", "heavy_tail", "discovery_outage", "flood", "reconnect_storm",
         "vanish", "resets", "spoilt", "agent_pause")


class Section(msgspec.Struct, forbid_unknown_fields=True):
    """A table of the file; an unknown key is an error."""


class Fleet(Section):
    """The job servers, and how discovery tells of them."""

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
    first_request_ms: Annotated[float, Meta(ge=0)] = 0.3  # on a new connection, as a handshake costs
    connections: Count = 400  # at one server
    idle_s: Annotated[float, Meta(gt=0)] = 5.0  # then it closes a connection
    notice_s: Range = (0.5, 2.0)  # until discovery knows of a change
    lines_per_s: Count = 1200  # that discovery can send in all


class Load(Section):
    """The clients. The arrivals are an open loop: a late answer does not slow them."""

    agents: Annotated[int, Meta(ge=1, le=64)] = 2
    rate: Annotated[float, Meta(gt=0, le=20_000)] = 200.0  # first tries a second in all
    shape: Literal["steady", "wave", "bursts"] = "steady"
    swing: Share = 0.3
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    backoff_ms: Range = (20.0, 100.0)
    honour: Share = 0.7  # of clients wait as Retry-After says
    retry_after_max_s: Seconds = 2.0
    marks_retry: bool = True  # clients mark their retries
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 384  # descriptors of an agent


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
    name: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
    share: Part


class Trouble(Section):
    """Something that goes wrong, from `at_s` on for `len_s`. What the other keys mean depends on the kind; the
    operators' page has the table."""

    kind: Literal["death", "deploy", "pauses", "neighbour", "heavy_tail", "discovery_outage", "flood",
                  "reconnect_storm", "vanish", "resets", "spoilt", "agent_pause"]
    at_s: Seconds
    len_s: Seconds = 5.0
    part: Part = 0.25  # of the servers; of the answers for resets and spoilt; of one class for heavy_tail
    size: Annotated[float, Meta(ge=0)] = 0.0  # 0: the kind's own default
    every_s: Annotated[float, Meta(gt=0)] = 1.0
    target: str = ""  # the tenant of a flood, the class of a heavy tail


def _classes() -> list[Class]:
    return [Class(name="registro-servicio", share=0.74, work_ms=(8.0, 12.0), effect="keyed", worth=10.0),
            Class(name="vale-almacen", share=0.26, work_ms=(9.0, 13.0), effect="unsafe", worth=3.0)]


def _tenants() -> list[Tenant]:
    return [Tenant(name="transportes-norvalle", share=0.68), Tenant(name="fletes-cardenas", share=0.32)]


class Scenario(Section):
    """A whole file."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]
    about: str = ""
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 15.0
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    load: Load = msgspec.field(default_factory=Load)
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(name="class", default_factory=_classes)
    tenants: Annotated[list[Tenant], Meta(min_length=1)] = msgspec.field(name="tenant", default_factory=_tenants)
    troubles: list[Trouble] = msgspec.field(name="trouble", default_factory=list)

    def __post_init__(self) -> None:
        for name, shares in (("class", [c.share for c in self.classes]), ("tenant", [t.share for t in self.tenants])):
            if abs(sum(shares) - 1.0) > 0.01:
                raise ValueError(f"the shares of all [[{name}]] must add up to 1, not {sum(shares):.3f}")
        for trouble in self.troubles:
            names = {"flood": [t.name for t in self.tenants], "heavy_tail": [c.name for c in self.classes]}
            if trouble.kind in names and trouble.target not in names[trouble.kind]:
                raise ValueError(f"[[trouble]] {trouble.kind} target: {trouble.target!r} is none of "
                                 f"{', '.join(names[trouble.kind])}")
            if trouble.at_s > self.length_s:
                raise ValueError(f"[[trouble]] {trouble.kind} at_s: {trouble.at_s} is after the end, "
                                 f"length_s = {self.length_s}")
