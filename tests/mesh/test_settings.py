"""The settings file, and commands: what is wrong is told by file, key and bound."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from lilacsill.mesh.runtime.settings import SettingsError, load_settings, parse_timing_values

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


def test_what_is_used_of_a_file_and_what_is_not_known_is_ignored(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(GOOD)
    settings = load_settings(str(path))
    assert settings.max_lost_machines == 2 and settings.internal_ports == (7660, 7675)
    assert settings.timing.drain_us == 2_500_000 and settings.timing.retry_window_us == 12_000_000
    assert settings.timing.grace_period_us == 6_000_000  # not in the file
    assert parse_timing_values("", ["closed=false", "DrainWithinMs=7", "x=maybe"]) == {
        "closed": 0.0,
        "DrainWithinMs": 7.0,
    }


@pytest.mark.parametrize(
    ("line", "wrong", "told"),
    [
        ('NodeName = "sidecar-1"', "NodeName = 7", "NodeName: must be a str, is 7"),
        ("InternalPorts = [7660,7675]", "InternalPorts = [7675,7660]", "InternalPorts: must be two ports in order"),
        ('SeedNodes = ["10.1.0.40:8146"]', 'SeedNodes = ["nowhere"]', "SeedNodes: no address: 'nowhere'"),
        ('AppAddress = "10.1.0.35:8147"', "AppAddress = 3", "AppAddress: no address: 3"),
        ('ZoneName = "z"', "", "ZoneName: must be a str, is None"),
        ('ZoneName = "z"', "ZoneName =", "Invalid value"),
    ],
)
def test_what_is_wrong_is_named(tmp_path: Path, line: str, wrong: str, told: str) -> None:
    path = tmp_path / "node.toml"
    path.write_text(GOOD.replace(line, wrong))
    with pytest.raises(SettingsError) as e:
        load_settings(str(path))
    assert str(path) in str(e.value) and told in str(e.value)


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
