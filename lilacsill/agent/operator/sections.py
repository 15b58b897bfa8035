"""The sections of the operator file, with the types and bounds of their keys.

A section is a msgspec Struct whose fields are the keys. If the subsystem also runs without an operator file, the
section has a method `settings` that returns plain values, so that an agent without this file imports neither msgspec
nor a TOML parser. To add a section, define its Struct here, add it to `OperatorFile`, and list in `RELOADABLE_KEYS` the
keys that SIGHUP applies.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from lilacsill.address import parse_address

from ..admission.settings import AdmissionSettings, parse_network

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=30 * 86_400)]


class AdmissionSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The admission of client connections (docs/admission.md)."""

    per_address: Count = 0
    known: list[str] = []
    reserve: Count = 0
    learn_known_s: Seconds = 0.0
    learn_after_s: Seconds = 5.0
    new_per_s: Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 0.0
    new_burst: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 20
    keep_alive: Count = 0
    busy_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.0
    addresses: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] = 4096
    retry_after_s: tuple[Seconds, Seconds] = (0.25, 1.0)

    def __post_init__(self) -> None:
        for text in self.known:
            parse_network(text)
        if self.retry_after_s[0] > self.retry_after_s[1]:
            raise ValueError("retry_after_s: the first must not be above the second")
        if self.reserve and not self.known and not self.learn_known_s:
            raise ValueError("reserve: no client can be known without `known` or `learn_known_s`")

    def settings(self) -> AdmissionSettings:
        """Return the section as the settings of the admission controller."""
        return AdmissionSettings(
            per_address=self.per_address,
            known=tuple(map(parse_network, self.known)),
            reserve=self.reserve,
            learn_known_s=self.learn_known_s,
            learn_after_s=self.learn_after_s,
            new_per_s=self.new_per_s,
            new_burst=self.new_burst,
            keep_alive=self.keep_alive,
            busy_ms=self.busy_ms,
            addresses=self.addresses,
            retry_after_s=self.retry_after_s,
        )


class RecorderSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The recording of the agent's events for replays (docs/recording.md)."""

    path: str = ""
    max_mb: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    beliefs_ms: Annotated[int, msgspec.Meta(ge=0, le=3_600_000)] = 0


class PeersSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The channel between agents, which the platform must also allow."""

    enabled: bool = False
    fleet: Annotated[str, msgspec.Meta(max_length=64)] = ""
    secrets_file: str = ""
    period_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 500
    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=600_000)] = 2000
    records: str = ""
    records_mb: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 16
    metrics: str = ""

    def __post_init__(self) -> None:
        if self.lease_ms < 2 * self.period_ms:
            raise ValueError(f"lease_ms: {self.lease_ms} must be at least twice period_ms, {self.period_ms}")


class RecoverySection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The state that is saved for a restart after a power loss (docs/recovery.md)."""

    folder: str = ""
    fleet: Annotated[str, msgspec.Meta(max_length=64)] = ""
    every_ms: Annotated[int, msgspec.Meta(ge=500, le=3_600_000)] = 5000
    generations: Annotated[int, msgspec.Meta(ge=2, le=16)] = 3


class HostedSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The multi-tenant service; only `python -m lilacsill hosted` reads this section."""

    listen: str = "127.0.0.1:8080"
    admin_listen: str = "127.0.0.1:8081"
    admin_tls_cert: str = ""
    admin_tls_key: str = ""
    store: str = "lilacsill.db"
    workers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    sockets: Annotated[int, msgspec.Meta(ge=64, le=1_000_000)] = 4096

    def __post_init__(self) -> None:
        parse_address(self.listen)
        host = parse_address(self.admin_listen).host
        if bool(self.admin_tls_cert) != bool(self.admin_tls_key):
            raise ValueError("admin_tls_cert and admin_tls_key must be set together")
        if host not in ("127.0.0.1", "::1", "localhost") and not self.admin_tls_cert:
            raise ValueError(
                f"admin_listen: {host} is not a loopback address, so admin_tls_cert and admin_tls_key are required"
            )


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The complete file; an omitted section has its defaults."""

    admission: AdmissionSection = msgspec.field(default_factory=AdmissionSection)
    recorder: RecorderSection = msgspec.field(default_factory=RecorderSection)
    peers: PeersSection = msgspec.field(default_factory=PeersSection)
    recovery: RecoverySection = msgspec.field(default_factory=RecoverySection)
    hosted: HostedSection = msgspec.field(default_factory=HostedSection)


# The keys that SIGHUP applies, by section; any other key needs a restart.
RELOADABLE_KEYS: dict[str, frozenset[str]] = {
    "admission": frozenset(AdmissionSection.__struct_fields__),
    "recorder": frozenset(),
    "peers": frozenset(),  # but each SIGHUP reloads the contents of the secrets file
    "recovery": frozenset(),
    "hosted": frozenset(),
}
