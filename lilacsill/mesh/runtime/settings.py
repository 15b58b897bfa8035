"""The settings file that the platform writes for each process (TOML), as far as the mesh reads it."""

from __future__ import annotations

import os
import tomllib
from math import isfinite
from typing import Any

import msgspec

from lilacsill.address import Address, parse_address

ENVIRONMENT_VARIABLE = "LILACSILL_SETTINGS"
MAX_PORT = 65535
STORE_PORT_INDEX = 1  # of the ports between processes of the mesh; proxies and registries have the first one
US_PER_MS, US_PER_S = 1_000, 1_000_000


class SettingsError(Exception):
    """The settings file cannot be used.

    Attributes:
        path: Of the file; empty if none is named.
        key: Of the setting; empty if the file as a whole cannot be used.
        problem: What is wrong with it, and which values are allowed.
    """

    def __init__(self, path: str, key: str, problem: str) -> None:
        super().__init__(": ".join(part for part in (path, key, problem) if part))
        self.path = path
        self.key = key
        self.problem = problem


class TimingBounds(msgspec.Struct, frozen=True):
    """The values of the key TimingBounds that the mesh uses, with the defaults for those that are not given."""

    drain_us: int = 2_000_000  # DrainWithinMs: a backend that drains ends within this time
    grace_period_us: int = 6_000_000  # GracePeriodS: from SIGTERM until the platform kills a process
    retry_window_us: int = 10_000_000  # RetryWindowS: over which retries and requests are compared
    retry_ratio: float = 0.2  # RetryRatio: retries that are allowed for each request
    retry_slack: float = 0.0  # RetrySlack: retries that are allowed beyond that in a window
    key_window_us: int = 60_000_000  # KeyWindowS: for which an operation is remembered after it was sent
    quota_window_us: int = 5_000_000  # QuotaWindowS: over which the requests of a tenant are counted
    quota_over: float = 0.1  # QuotaOver: share of its quota that a tenant may be given beyond it
    quota_slack: float = 20.0  # QuotaSlack: requests that a tenant may be given beyond that in a window


class Settings(msgspec.Struct, frozen=True):
    """The settings of one process."""

    path: str  # of the settings file
    node_name: str
    zone: str
    ip: str
    internal_ports: tuple[int, int]  # first and last of those between processes of the mesh
    seeds: tuple[Address, ...]  # control addresses of core machines that are there at the start
    fresh_start: bool  # all machines of the site start for the first time
    loss_counts: bool
    max_lost_machines: int  # that may fail at once
    max_lost_zones: int  # zones or regions that may fail at once
    data_dir: str  # folder on disk; empty: none
    heartbeat_interval_us: int
    timing: TimingBounds
    listen: dict[str, Address]  # by purpose: ControlPort, Outgoing, ReadyCheck
    backend_address: Address | None  # of the backend beside a proxy
    service: str  # of that backend; empty: it names its service itself
    max_memory_mb: int
    max_open_files: int
    link_mbps: float
    disk_mb: int  # size of the disk; 0: not limited

    @property
    def store_port(self) -> int:
        """The port at which members of the store answer; it is the same on all core machines."""
        return self.internal_ports[0] + STORE_PORT_INDEX


def load_settings(path: str | None = None) -> Settings:
    """Read the file that `path` or else the environment names.

    Raises:
        SettingsError: The file is missing, is no TOML, or holds a value that cannot be used.
    """
    path = path or os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not path:
        raise SettingsError("", "", f"{ENVIRONMENT_VARIABLE} names no settings file")
    try:
        with open(path, "rb") as file:
            return parse_settings(path, tomllib.load(file))
    except OSError as error:
        raise SettingsError(path, "", str(error.strerror)) from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, "", str(error)) from None


def parse_settings(path: str, raw: dict[str, Any]) -> Settings:
    """Check the values of a settings file. Keys that are not known are ignored.

    Args:
        path: Of the file, for errors.
        raw: The file's values by key.

    Raises:
        SettingsError: A required value is missing, or a value cannot be used.
    """
    fields = _Fields(path, raw)
    limits, survive = raw.get("Limits", {}), raw.get("Survive", {})
    app_address = raw.get("AppAddress")
    return Settings(
        path=path,
        internal_ports=fields.port_range("InternalPorts"),
        node_name=fields.required("NodeName", str),
        zone=fields.required("ZoneName", str),
        ip=fields.required("IpAddress", str),
        seeds=tuple(fields.address("SeedNodes", seed) for seed in fields.required("SeedNodes", list)),
        fresh_start=bool(raw.get("FreshStart", False)),
        loss_counts=bool(raw.get("LossCounts", False)),
        max_lost_machines=int(survive.get("LostMachines", 1)),
        max_lost_zones=max(int(survive.get("Zones", 0)), int(survive.get("LostRegions", 0))),
        data_dir=str(raw.get("DataFolder", "")),
        heartbeat_interval_us=int(raw.get("BeatEveryMs", 1500)) * US_PER_MS,
        timing=parse_timing_bounds(path, raw.get("TimingBounds", [])),
        listen={name: fields.address(f"ListenOn.{name}", text) for name, text in raw.get("ListenOn", {}).items()},
        backend_address=None if app_address is None else fields.address("AppAddress", app_address),
        service=str(raw.get("TargetService", "")),
        max_memory_mb=int(limits.get("MemoryMb", 300)),
        max_open_files=int(limits.get("FileHandles", 4096)),
        link_mbps=float(limits.get("LinkMbps", 1000.0)),
        disk_mb=int(limits.get("DiskMb", 0)),
    )


class _Fields:
    """The values of a settings file, read with their types checked."""

    def __init__(self, path: str, raw: dict[str, Any]) -> None:
        self._path = path
        self._raw = raw

    def required(self, key: str, kind: type) -> Any:
        value = self._raw.get(key)
        if not isinstance(value, kind):
            raise SettingsError(self._path, key, f"must be a {kind.__name__}, is {value!r}")
        return value

    def address(self, key: str, text: Any) -> Address:
        try:
            return parse_address(text)
        except (ValueError, AttributeError):
            raise SettingsError(self._path, key, f"no address: {text!r}") from None

    def port_range(self, key: str) -> tuple[int, int]:
        ports = self.required(key, list)
        valid = len(ports) == 2 and all(isinstance(port, int) and 0 < port <= MAX_PORT for port in ports)
        if not valid or ports[0] > ports[1]:
            raise SettingsError(self._path, key, f"must be two ports in order, is {ports!r}")
        return ports[0], ports[1]


def parse_timing_bounds(path: str, texts: Any) -> TimingBounds:
    """Read the value of the key TimingBounds: `name=value` texts, in a list or separated by commas.

    Raises:
        SettingsError: The value is neither a list nor a text.
    """
    values = parse_timing_values(path, texts)
    defaults = TimingBounds()
    return TimingBounds(
        drain_us=_duration_us(values, "DrainWithinMs", defaults.drain_us),
        grace_period_us=_duration_us(values, "GracePeriodS", defaults.grace_period_us),
        retry_window_us=_duration_us(values, "RetryWindowS", defaults.retry_window_us),
        retry_ratio=values.get("RetryRatio", defaults.retry_ratio),
        retry_slack=values.get("RetrySlack", defaults.retry_slack),
        key_window_us=_duration_us(values, "KeyWindowS", defaults.key_window_us),
        quota_window_us=_duration_us(values, "QuotaWindowS", defaults.quota_window_us),
        quota_over=values.get("QuotaOver", defaults.quota_over),
        quota_slack=values.get("QuotaSlack", defaults.quota_slack),
    )


def parse_timing_values(path: str, texts: Any) -> dict[str, float]:
    """Return the values of the key TimingBounds by name; true and false are 1 and 0, other texts are left out.

    Raises:
        SettingsError: The value is neither a list nor a text.
    """
    if isinstance(texts, str):
        texts = texts.split(",")
    if not isinstance(texts, list):
        raise SettingsError(path, "TimingBounds", "must be a list of name=value")
    values: dict[str, float] = {}
    for text in texts:
        name, _, value = str(text).partition("=")
        value = {"true": "1", "false": "0"}.get(value.strip(), value.strip())
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return values


def _duration_us(values: dict[str, float], name: str, default_us: int) -> int:
    """Return a duration; the end of its name says whether the value is in seconds (S) or milliseconds (Ms)."""
    value = values.get(name)
    if value is None or not isfinite(value):
        return default_us
    return int(value * (US_PER_S if name.endswith("S") else US_PER_MS))
