"""Which method and path are which call, and which no is owed to all others."""

from __future__ import annotations

import pytest

from lilacsill.agent.admin.calls import Call, CallRejected, Verb, parse_call


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        ("GET", "/-/ready", Call(Verb.READY)),
        ("POST", "/-/drain", Call(Verb.DRAIN)),
        ("POST", "/-/resume?by=shift-2", Call(Verb.RESUME)),
        ("POST", "/-/backends/s1/disable", Call(Verb.DISABLE, "s1")),
        ("POST", "/-/backends/a%2Fb%20%C3%A9%25/enable", Call(Verb.ENABLE, "a/b é%")),
        ("POST", "/-/backends/disable/disable", Call(Verb.DISABLE, "disable")),
    ],
)
def test_calls(method: str, target: str, call: Call) -> None:
    assert parse_call(method, target) == call


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/", 404),
        ("GET", "/-/", 404),
        ("GET", "/-/nothing", 404),
        ("POST", "/-/drain/", 404),
        ("GET", "/_health", 404),
        ("GET", "/-/drain", 405),
        ("POST", "/-/ready", 405),
        ("PUT", "/-/resume", 405),
        ("GET", "/-/backends/s1/disable", 405),
        ("POST", "/-/backends/s1", 404),
        ("POST", "/-/backends//enable", 404),
        ("POST", "/-/backends/a/b/enable", 404),
        ("POST", "/-/backends/%2/enable", 400),
        ("POST", "/-/backends/%zz/enable", 400),
        ("POST", "/-/backends/%ff/enable", 400),
    ],
)
def test_targets_that_are_no_call(method: str, target: str, status: int) -> None:
    with pytest.raises(CallRejected) as e:
        parse_call(method, target)
    assert e.value.status == status
    assert bool(e.value.allow) == (status == 405)
