"""The TOML settings file that the platform writes for each process; keys that the mesh does not use are ignored."""

from __future__ import annotations

import os
import tomllib
from math import isfinite
from typing import Any

import msgspec

from lilacsill.address import Address, parse_address

ENVIRONMENT_VARIABLE = "LILACSILL_SETTINGS"
MAX_PORT = 65535
MAX_NUMBER = 10**9  # of a quantity in the unit of its key
STORE_PORT_INDEX = 1  # offset of the store's port in the internal ports; proxies and registries use the first one
US_PER_MS, US_PER_S = 1_000, 1_000_000


class SettingsError(Exception):
    """The settings file is missing or invalid.

    Attributes:
        path: Path of the file; empty if no file was given.
        key: Key of the invalid setting; empty if the file as a whole cannot be used.
        problem: What is wrong, and which values are allowed.
    """

    def __init__(self, path: str, key: str, problem: str) -> None:
        super().__init__(": ".join(part for part in (path, key, problem) if part))
        self.path = path
        self.key = key
        self.problem = problem


class TimingBounds(msgspec.Struct, frozen=True):
    """The values of the key TimingBounds that the mesh uses, with their defaults."""

    drain_us: int = 2_000_000  # DrainWithinMs: time within which a draining backend terminates
    grace_period_us: int = 6_000_000  # GracePeriodS: from SIGTERM until the platform kills a process
    retry_window_us: int = 10_000_000  # RetryWindowS: window over which retries are compared with requests
    retry_ratio: float = 0.2  # RetryRatio: allowed retries per request
    retry_slack: float = 0.0  # RetrySlack: additional retries allowed in a window
    key_window_us: int = 60_000_000  # KeyWindowS: time for which an operation is remembered after it was sent
    quota_window_us: int = 5_000_000  # QuotaWindowS: window over which the requests of a tenant are counted
    quota_over: float = 0.1  # QuotaOver: share by which a tenant may exceed its quota
    quota_slack: float = 20.0  # QuotaSlack: additional requests that a tenant may be granted in a window


class Settings(msgspec.Struct, frozen=True):
    """The settings of one process."""

    path: str  # path of the settings file
    node_name: str
    zone: str
    ip: str
    internal_ports: tuple[int, int]  # first and last port for traffic between processes of the mesh
    seeds: tuple[Address, ...]  # control addresses of the initial core machines
    fresh_start: bool  # all machines of the site start for the first time
    loss_counts: bool
    max_lost_machines: int  # machines that may fail at the same time
    max_lost_zones: int  # zones or regions that may fail at the same time
    data_dir: str  # directory on disk; empty: none
    heartbeat_interval_us: int
    timing: TimingBounds
    listen: dict[str, Address]  # by purpose: ControlPort, Outgoing, ReadyCheck
    backend_address: Address | None  # of the proxy's backend
    service: str  # of that backend; empty: the backend announces its service
    max_memory_mb: int
    max_open_files: int
    link_mbps: float
    disk_mb: int  # size of the disk; 0: unlimited

    @property
    def store_port(self) -> int:
        """The port of the store, which is the same on all core machines."""
        return self.internal_ports[0] + STORE_PORT_INDEX


def load_settings(path: str | None = None) -> Settings:
    """Read the settings file at `path`, or at the path in the environment variable `LILACSILL_SETTINGS`.

    Raises:
        SettingsError: The file cannot be read, is not valid TOML, or contains an invalid value.
    """
    path = path or os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not path:
        raise SettingsError("", "", f"no settings file given: {ENVIRONMENT_VARIABLE} is not set or is empty")
    try:
        with open(path, "rb") as file:
            return parse_settings(path, tomllib.load(file))
    except OSError as error:
        raise SettingsError(path, "", str(error.strerror)) from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, "", str(error)) from None


def parse_settings(path: str, raw: dict[str, Any]) -> Settings:
    """Validate the values of a settings file. Unknown keys are ignored.

    Args:
        path: Path of the file, for error messages.
        raw: The values of the file by key.

    Raises:
        SettingsError: A required value is missing, or a value is invalid.
    """
    fields = _Fields(path, raw)
    limits, survive, listen = fields.table("Limits"), fields.table("Survive"), fields.table("ListenOn")
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
        max_lost_machines=survive.integer("LostMachines", default=1, lowest=0),
        max_lost_zones=max(
            survive.integer("Zones", default=0, lowest=0), survive.integer("LostRegions", default=0, lowest=0)
        ),
        data_dir=str(raw.get("DataFolder", "")),
        heartbeat_interval_us=fields.integer("BeatEveryMs", default=1500, lowest=1) * US_PER_MS,
        timing=parse_timing_bounds(path, raw.get("TimingBounds", [])),
        listen=listen.addresses(),
        backend_address=None if app_address is None else fields.address("AppAddress", app_address),
        service=str(raw.get("TargetService", "")),
        max_memory_mb=limits.integer("MemoryMb", default=300, lowest=1),
        max_open_files=limits.integer("FileHandles", default=4096, lowest=1),
        link_mbps=float(limits.number("LinkMbps", default=1000.0, lowest=0)),
        disk_mb=limits.integer("DiskMb", default=0, lowest=0),
    )


class _Fields:
    """The values of a settings file or of one of its tables, with checks of type and range."""

    def __init__(self, path: str, raw: dict[str, Any], prefix: str = "") -> None:
        self._path = path
        self._raw = raw
        self._prefix = prefix

    def required(self, key: str, kind: type) -> Any:
        value = self._raw.get(key)
        if not isinstance(value, kind):
            raise self._error(key, f"must be a {kind.__name__}, is {value!r}")
        return value

    def table(self, key: str) -> _Fields:
        """Return the fields of a table; a missing one is empty."""
        value = self._raw.get(key, {})
        if not isinstance(value, dict):
            raise self._error(key, f"must be a table, is {value!r}")
        return _Fields(self._path, value, f"{self._prefix}{key}.")

    def number(self, key: str, default: float, lowest: float) -> float:
        """Return a number in the allowed range, which excludes NaN and infinity, or the default for a missing key."""
        value = self._raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not lowest <= value <= MAX_NUMBER:
            raise self._error(key, f"must be a number from {lowest} to {MAX_NUMBER}, is {_shown(value)}")
        return value

    def integer(self, key: str, default: int, lowest: int) -> int:
        """Return a number like `number`, without its fraction."""
        return int(self.number(key, default, lowest))

    def address(self, key: str, text: Any) -> Address:
        try:
            return parse_address(text)
        except (ValueError, AttributeError):
            raise self._error(key, f"must be an address HOST:PORT, is {text!r}") from None

    def addresses(self) -> dict[str, Address]:
        """Return all values of a table of addresses."""
        return {key: self.address(key, text) for key, text in self._raw.items()}

    def port_range(self, key: str) -> tuple[int, int]:
        ports = self.required(key, list)
        valid = len(ports) == 2 and all(isinstance(port, int) and 0 < port <= MAX_PORT for port in ports)
        if not valid or ports[0] > ports[1]:
            raise self._error(key, f"must be two ports in ascending order, is {ports!r}")
        return ports[0], ports[1]

    def _error(self, key: str, problem: str) -> SettingsError:
        return SettingsError(self._path, self._prefix + key, problem)


def _shown(value: Any) -> str:
    """Return a value as an error message shows it; an integer may have more digits than Python prints."""
    if isinstance(value, int) and abs(value) > MAX_NUMBER:
        return "larger" if value > 0 else "negative"
    return repr(value)


def parse_timing_bounds(path: str, texts: Any) -> TimingBounds:
    """Parse the value of the key TimingBounds: `name=value` strings, in a list or separated by commas.

    Raises:
        SettingsError: The value is neither a list nor a string, or a number is outside its range.
    """
    values = parse_timing_values(path, texts)
    fields = _Fields(path, values, "TimingBounds.")
    defaults = TimingBounds()
    return TimingBounds(
        drain_us=_duration_us(fields, "DrainWithinMs", defaults.drain_us),
        grace_period_us=_duration_us(fields, "GracePeriodS", defaults.grace_period_us),
        retry_window_us=_duration_us(fields, "RetryWindowS", defaults.retry_window_us),
        retry_ratio=fields.number("RetryRatio", defaults.retry_ratio, lowest=0),
        retry_slack=fields.number("RetrySlack", defaults.retry_slack, lowest=0),
        key_window_us=_duration_us(fields, "KeyWindowS", defaults.key_window_us),
        quota_window_us=_duration_us(fields, "QuotaWindowS", defaults.quota_window_us),
        quota_over=fields.number("QuotaOver", defaults.quota_over, lowest=0),
        quota_slack=fields.number("QuotaSlack", defaults.quota_slack, lowest=0),
    )


def parse_timing_values(path: str, texts: Any) -> dict[str, float]:
    """Return the values of the key TimingBounds by name.

    The values `true` and `false` become 1 and 0; other values that are not finite numbers are ignored.

    Raises:
        SettingsError: The value is neither a list nor a string.
    """
    if isinstance(texts, str):
        texts = texts.split(",")
    if not isinstance(texts, list):
        raise SettingsError(path, "TimingBounds", f"must be a list of name=value strings, is {texts!r}")
    values: dict[str, float] = {}
    for text in texts:
        name, _, value = str(text).partition("=")
        value = {"true": "1", "false": "0"}.get(value.strip(), value.strip())
        try:
            number = float(value)
        except ValueError:
            continue
        if isfinite(number):
            values[name.strip()] = number
    return values


def _duration_us(fields: _Fields, name: str, default_us: int) -> int:
    """Return a duration; its unit follows from the suffix of the name: S for seconds, Ms for milliseconds."""
    unit_us = US_PER_S if name.endswith("S") else US_PER_MS
    return int(fields.number(name, default_us / unit_us, lowest=0) * unit_us)
