"""The operator file: checked whole, wrong in one line that names file, section, key and what is allowed."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.agent.admission.settings import AdmissionSettings
from lilacsill.agent.operator.file import OperatorError, load, needs_restart
from lilacsill.agent.operator.sections import LIVE, AdmissionSection, OperatorFile
from tests.agent.loopback import Peer, Running, config_doc

ROOT = Path(__file__).parents[2]
BAD = {
    "[admision]": "unknown section `admision`; allowed: admission, recorder",
    "admission = 7": "[admission] Expected `object`, got `int`",
    "[admission]\nper_adress = 3": "[admission] unknown key `per_adress`; allowed: per_address, known,",
    "[admission]\nper_address = 'x'": "[admission] per_address: Expected `int`, got `str`",
    "[admission]\nper_address = -1": "[admission] per_address: Expected `int` >= 0",
    "[admission]\nper_address = 1.5": "[admission] per_address: Expected `int`, got `float`",
    "[admission]\nlearn_known_s = nan": "[admission] learn_known_s: ",
    "[admission]\nnew_burst = 0": "[admission] new_burst: Expected `int` >= 1",
    "[admission]\nknown = ['10.4.0.1/16']": "[admission] '10.4.0.1/16' is no address or CIDR",
    "[admission]\nknown = ['2001:db8::1']": "name a /64",
    "[admission]\nreserve = 5": "[admission] reserve: nobody can be known without `known` or `learn_known_s`",
    "[admission]\nretry_after_s = [2, 1]": ("[admission] retry_after_s: the first must not be above the second"),
    "[admission]\nretry_after_s = [2]": "[admission] retry_after_s: Expected `array` of length 2",
    "[admission\n": "no TOML: ",
    "[admission]\nknown = []\nknown = []": "no TOML: ",
    "\0": "no TOML: ",
}


@pytest.mark.parametrize("text", BAD)
def test_what_is_wrong_is_named_in_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(OperatorError) as e:
        load(str(path))
    assert str(e.value).startswith(f"{path}: ") and BAD[text] in str(e.value) and "\n" not in str(e.value)


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    for path in (tmp_path, tmp_path / "none"):
        with pytest.raises(OperatorError, match=f"^{path}: "):
            load(str(path))
    (tmp_path / "latin").write_bytes(b"# \xe9")
    with pytest.raises(OperatorError, match="no TOML"):
        load(str(tmp_path / "latin"))


@given(st.binary(max_size=60))
def test_any_bytes_are_settings_or_an_error(data: bytes) -> None:
    path = Path(os.environ.get("TMPDIR", "/tmp")) / f"operator-{os.getpid()}.toml"
    path.write_bytes(b"[admission]\n" + data)
    try:
        load(str(path)).admission.settings()
    except OperatorError as e:
        assert "\n" not in str(e)
    finally:
        path.unlink()


def test_the_example_is_whole_and_states_the_defaults() -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    example = load(str(ROOT / "deploy" / "operator.toml"))
    assert example == OperatorFile() and example.admission.settings() == AdmissionSettings()
    for key in AdmissionSection.__struct_fields__:
        assert f"\n{key} = " in text, key


def test_every_key_may_be_set(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(
        "[admission]\nknown = ['10.4.0.0/16', '2001:db8:7::/64']\nreserve = 9\nper_address = 3\n"
        "learn_known_s = 60\nnew_per_s = 2\nretry_after_s = [0, 0.5]\n"
    )
    settings = load(str(path)).admission.settings()
    assert settings.is_listed("10.4.1.1") and settings.is_listed("2001:db8:7::") and not settings.is_listed("10.5.0.1")
    assert (settings.reserve, settings.per_address, settings.new_per_s) == (9, 3, 2.0)
    assert settings.retry_after_s == (0.0, 0.5) and settings.learn_known_s == 60.0


def test_what_needs_a_restart_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    old, new = OperatorFile(), OperatorFile(admission=AdmissionSection(per_address=4, new_burst=9))
    assert needs_restart(old, new) == []
    live = {**LIVE, "admission": frozenset({"per_address"})}
    monkeypatch.setattr("lilacsill.agent.operator.file.LIVE", live)
    assert needs_restart(old, new) == ["admission.new_burst"]


def command(*arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
    kept = {k: v for k, v in os.environ.items() if k not in ("RELAY_CONFIG", "LILACSILL_OPERATOR")}
    return subprocess.run(
        [sys.executable, "-m", "lilacsill", *arguments],
        cwd=ROOT,
        env=kept | env,
        text=True,
        capture_output=True,
        timeout=60,
    )


def test_check_config_tells_without_starting(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text("[admission]\nper_address = 4\n")
    bad.write_text("[admission]\nper_address = 'many'\n")
    assert command("check-config", "--operator", str(good)).stdout == f"{good}: ok\n"
    assert command("check-config", LILACSILL_OPERATOR=str(good)).returncode == 0
    wrong = command("check-config", "--operator", str(bad))
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1 and "per_address" in wrong.stderr
    nothing = command("check-config")
    assert nothing.returncode == 2 and "nothing to check" in nothing.stderr
    config = tmp_path / "config.json"
    config.write_text("{}")
    assert command("check-config", RELAY_CONFIG=str(config)).returncode == 2


def test_a_reserve_above_what_there_is_ends_the_start(tmp_path: Path) -> None:
    import json

    config, operator = tmp_path / "config.json", tmp_path / "operator.toml"
    config.write_text(json.dumps(config_doc(9, []) | {"limits": {"sockets": 128}}))
    operator.write_text("[admission]\nreserve = 60\nknown = ['10.0.0.0/8']\n")
    for arguments in (("check-config",), ("run",)):
        ended = command(*arguments, "--operator", str(operator), RELAY_CONFIG=str(config))
        assert ended.returncode == 2 and "[admission] reserve: 60 is above" in ended.stderr, ended.stderr
        assert ended.stderr.count("\n") == 1


def test_what_is_off_is_not_imported(tmp_path: Path) -> None:
    """An agent without an operator file: 32 MB on some days."""

    async def run() -> None:
        discovery = await Peer().start()
        agent = Running(tmp_path)
        await agent.start(config_doc(discovery.port, []))
        maps = Path(f"/proc/{agent.process.pid}/maps").read_text()
        assert "httptools" in maps and "msgspec" not in maps
        await agent.stop()
        await discovery.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
