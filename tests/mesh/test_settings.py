"""The settings file, and a command: errors name the file, the key and the allowed values."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from lilacsill.mesh.runtime.settings import (
    SettingsError,
    TimingBounds,
    load_settings,
    parse_settings,
    parse_timing_bounds,
    parse_timing_values,
)

GOOD = """NodeName = "sidecar-1"
IpAddress = "10.1.0.35"
ZoneName = "z"
InternalPorts = [7660,7675]
SeedNodes = ["10.1.0.40:8146"]
TimingBounds = ["DrainWithinMs=2500","RetryWindowS=12","SomethingNew=maybe","closed=false"]
AppAddress = "10.1.0.35:8147"
FieldOfTomorrow = { a = 1 }
[Survive]
LostMachines = 2
"""


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    path = tmp_path / "node.toml"
    path.write_text(GOOD)
    return path


def test_keys_that_are_not_known_are_ignored(settings_file: Path) -> None:
    settings = load_settings(str(settings_file))
    assert settings.max_lost_machines == 2
    assert settings.internal_ports == (7660, 7675)


def test_time_bounds_are_read_in_the_unit_that_their_names_end_with(settings_file: Path) -> None:
    timing = load_settings(str(settings_file)).timing
    assert timing.drain_us == 2_500_000
    assert timing.retry_window_us == 12_000_000


def test_time_bounds_that_are_not_given_have_their_defaults(settings_file: Path) -> None:
    timing = load_settings(str(settings_file)).timing
    assert timing.grace_period_us == 6_000_000
    assert (timing.retry_ratio, timing.retry_slack) == (0.2, 0.0)


@pytest.mark.parametrize(
    ("texts", "values"),
    [
        (["closed=false", "open=true"], {"closed": 0.0, "open": 1.0}),
        (["DrainWithinMs=7", "x=maybe"], {"DrainWithinMs": 7.0}),
        ("RetryRatio=0.1, GracePeriodS = 9", {"RetryRatio": 0.1, "GracePeriodS": 9.0}),
    ],
)
def test_values_of_time_bounds_are_numbers_and_others_are_left_out(texts: object, values: dict[str, float]) -> None:
    assert parse_timing_values("", texts) == values


@pytest.mark.parametrize(
    ("line", "wrong", "problem"),
    [
        ('NodeName = "sidecar-1"', "NodeName = 7", "NodeName: must be a str, is 7"),
        (
            "InternalPorts = [7660,7675]",
            "InternalPorts = [7675,7660]",
            "InternalPorts: must be two ports in ascending order",
        ),
        (
            'SeedNodes = ["10.1.0.40:8146"]',
            'SeedNodes = ["nowhere"]',
            "SeedNodes: must be an address HOST:PORT, is 'nowhere'",
        ),
        ('AppAddress = "10.1.0.35:8147"', "AppAddress = 3", "AppAddress: must be an address HOST:PORT, is 3"),
        ('ZoneName = "z"', "", "ZoneName: must be a str, is None"),
        ('ZoneName = "z"', "ZoneName =", "Invalid value"),
    ],
)
def test_an_error_names_file_key_and_problem(settings_file: Path, line: str, wrong: str, problem: str) -> None:
    settings_file.write_text(GOOD.replace(line, wrong))
    with pytest.raises(SettingsError) as raised:
        load_settings(str(settings_file))
    assert raised.value.path == str(settings_file)
    assert str(raised.value).startswith(f"{settings_file}: ")
    assert problem in str(raised.value)


LONG_NUMBER = "9" * 5000  # more digits than Python prints
NUMBERS = (
    "BeatEveryMs",
    "Limits.MemoryMb",
    "Limits.FileHandles",
    "Limits.LinkMbps",
    "Limits.DiskMb",
    "Survive.LostMachines",
    "Survive.Zones",
    "Survive.LostRegions",
)
TIMES = ("DrainWithinMs", "GracePeriodS", "RetryWindowS", "KeyWindowS", "QuotaWindowS")
BOUNDS = (*TIMES, "RetryRatio", "RetrySlack", "QuotaOver", "QuotaSlack")


def raw_settings(key: str, value: object) -> dict[str, Any]:
    """Valid settings with this value; a dot separates the name of a table from that of its key."""
    raw: dict[str, Any] = tomllib.loads(GOOD)
    table, _, name = key.rpartition(".")
    (raw.setdefault(table, {}) if table else raw)[name] = value
    return raw


@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize(
    "value",
    [
        -1,
        10**9 + 1,
        2**64,
        float("nan"),
        float("inf"),
        float("-inf"),
        True,
        "many",
        [],
        {},
        pytest.param(10**8000, id="8000 digits"),
    ],
    ids=str,
)
def test_a_number_that_cannot_be_meant_is_an_error_with_its_key(key: str, value: object) -> None:
    # The program ended with a traceback, or took the number (a negative one, NaN) for a limit.
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", raw_settings(key, value))
    assert raised.value.key == key
    assert raised.value.problem.startswith("must be a number from ")


@pytest.mark.parametrize("key", ["BeatEveryMs", "Limits.MemoryMb", "Limits.FileHandles"])
def test_a_number_that_may_not_be_zero(key: str) -> None:
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", raw_settings(key, 0))
    assert (raised.value.key, raised.value.problem) == (key, "must be a number from 1 to 1000000000, is 0")


@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize("value", [1, 2.5, 10**9])
def test_a_number_at_its_limit_is_taken(key: str, value: float) -> None:
    parse_settings("file", raw_settings(key, value))


@pytest.mark.parametrize("key", ["Limits", "Survive", "ListenOn"])
def test_a_value_in_place_of_a_table_is_an_error(key: str) -> None:
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", raw_settings(key, 7))
    assert (raised.value.key, raised.value.problem) == (key, "must be a table, is 7")


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("text", ["-1", "1000000001", "1e300", "9" * 300])
def test_a_time_bound_that_cannot_be_meant_is_an_error_with_its_name(name: str, text: str) -> None:
    with pytest.raises(SettingsError) as raised:
        parse_timing_bounds("file", [f"{name}={text}"])
    assert raised.value.key == f"TimingBounds.{name}"


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("text", ["nan", "inf", "-inf", LONG_NUMBER], ids=["nan", "inf", "-inf", "5000 digits"])
def test_a_time_bound_that_is_no_finite_number_has_its_default(name: str, text: str) -> None:
    assert parse_timing_bounds("file", [f"{name}={text}"]) == TimingBounds()


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("text", ["0", "0.25", "1000000000"])
def test_a_time_bound_at_its_limit_is_taken(name: str, text: str) -> None:
    parse_timing_bounds("file", [f"{name}={text}"])


@pytest.mark.parametrize("port", ["65536", "-1", LONG_NUMBER], ids=["65536", "-1", "5000 digits"])
def test_a_port_that_is_none_is_an_error(port: str) -> None:
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", raw_settings("ListenOn.ControlPort", f"10.1.0.35:{port}"))
    assert raised.value.key == "ListenOn.ControlPort"


def test_an_error_carries_the_key_and_the_problem_as_facts(settings_file: Path) -> None:
    settings_file.write_text(GOOD.replace('NodeName = "sidecar-1"', "NodeName = 7"))
    with pytest.raises(SettingsError) as raised:
        load_settings(str(settings_file))
    assert (raised.value.key, raised.value.problem) == ("NodeName", "must be a str, is 7")


def test_a_call_is_checked_on_the_command_line(tmp_path: Path) -> None:
    path = tmp_path / "change.json"
    rule = {
        "Name": "a",
        "ConfigVersion": "r1",
        "RouteKind": "writes",
        "When": {"PathPrefix": "/a/"},
        "Then": {"TargetService": "s", "TimeoutMs": 5},
    }
    call = {"ReplaceItems": {"Listeners": [{"Host": "h", "Policy": [rule]}]}}

    def check() -> tuple[int, str, str]:
        path.write_text(json.dumps(call))
        ended = subprocess.run(
            [sys.executable, "-m", "lilacsill.mesh.store", "check", str(path)], capture_output=True, text=True
        )
        return ended.returncode, ended.stdout, ended.stderr

    assert check() == (1, "", f"store: {path}: route a: service s is not known\n")
    call["ReplaceItems"]["Groups"] = [{"Name": "s", "ConfigVersion": "r1"}]
    assert check() == (0, "sets route a r1\nsets service s r1\n", "")
    rule["Then"]["TimeoutMs"] = 0  # type: ignore[index]
    assert check()[2] == (f"store: {path}: ReplaceItems.Listeners.0.Policy.0.Then.TimeoutMs: min value is 1\n")
