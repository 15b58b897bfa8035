"""Planted defects of point 2: each takes one mechanism away. Patches of tests; they stand nowhere in the product."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.environment import Environment, OnReply
from lilacsill.mesh.runtime.messages import CallerCheck, CallerCheckReply, CallOrigin, Item, Message, Replicate
from lilacsill.mesh.simulation import network
from lilacsill.mesh.store import accepted_changes, draft, frontend, route_index, validation
from lilacsill.mesh.store.accepted_changes import ChangeKind, VersionHistory, without_history
from lilacsill.mesh.store.caller_check import TIMEOUT_US
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.predecessor import PredecessorLink
from lilacsill.mesh.store.recent_refusals import RecentRefusals

Patch = pytest.MonkeyPatch


def a_version_that_is_not_higher_is_always_confirmed(patch: Patch) -> None:
    def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
        return ChangeKind.NEWER if current is None or version > current.version else ChangeKind.ACCEPTED

    patch.setattr(validation, "classify_change", classify_change)


def only_the_number_is_compared_below_the_newest(patch: Patch) -> None:
    def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
        older = current is not None and version < current.version
        return ChangeKind.ACCEPTED if older else real(current, version, content)

    real = accepted_changes.classify_change
    patch.setattr(validation, "classify_change", classify_change)


def a_newer_version_clears_the_record(patch: Patch) -> None:
    def with_new_version(
        current: Item | None, kind: str, name: str, version: int, seq: int, body: bytes | None
    ) -> Item:
        return Item(kind, name, version, seq, body)

    patch.setattr(validation, "with_new_version", with_new_version)


def overtaken_changes_are_not_noted(patch: Patch) -> None:
    patch.setattr(
        validation,
        "with_recorded_version",
        lambda current, version, content, seq: msgspec.structs.replace(current, seq=seq),
    )


def accepted_changes_are_checked_against_todays_state(patch: Patch) -> None:
    def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
        verdict = real(current, version, content)
        return ChangeKind.NEWER if verdict is ChangeKind.ACCEPTED else verdict

    real = accepted_changes.classify_change
    patch.setattr(validation, "classify_change", classify_change)


def records_stay_at_the_head(patch: Patch) -> None:
    def handle_replicate(self: PredecessorLink, message: Replicate, reply: Callable[[Message], None]) -> None:
        real(self, msgspec.structs.replace(message, items=without_history(message.items)), reply)

    real = PredecessorLink.handle_replicate
    patch.setattr(PredecessorLink, "handle_replicate", handle_replicate)


def records_are_not_on_disk(patch: Patch) -> None:
    def write(self: network.Disk, save: Save) -> None:
        real(self, Save(without_history(list(save.items)), save.ranges, save.facts))

    real = network.Disk._write
    patch.setattr(network.Disk, "_write", write)


def a_removal_is_no_content(patch: Patch) -> None:
    def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
        verdict = real(current, version, content)
        removal = content is None or (current is not None and current.body is None)
        return ChangeKind.ACCEPTED if removal and verdict is ChangeKind.CONFLICT else verdict

    real = accepted_changes.classify_change
    patch.setattr(validation, "classify_change", classify_change)


def a_refusal_waits_for_nobody(patch: Patch) -> None:
    def judged(self: frontend.Frontend, draft: Any, waiting: Any) -> Any:
        answer = real(self, draft, waiting)
        if 400 <= answer.status < 500:
            waiting.reply(answer)
        return answer

    real = frontend.Frontend._validate
    patch.setattr(frontend.Frontend, "_validate", judged)


def refused_calls_are_not_remembered(patch: Patch) -> None:
    patch.setattr(RecentRefusals, "includes", lambda self, call, now: False)


def callers_are_not_checked(patch: Patch) -> None:
    patch.setattr(frontend, "check_caller", lambda environment, origin, done: done(True))


def a_registry_that_is_gone_counts_as_a_caller_that_waits(patch: Patch) -> None:
    def check_caller(environment: Environment, origin: CallOrigin | None, done: Callable[[bool], None]) -> None:
        if origin is None:
            return done(True)
        on_reply: OnReply = lambda reply: done(not isinstance(reply, CallerCheckReply) or reply.is_waiting)  # noqa: E731
        return environment.ask(origin.registry, CallerCheck(origin.number), TIMEOUT_US, on_reply)

    patch.setattr(frontend, "check_caller", check_caller)


def forgotten_versions_are_confirmed(patch: Patch) -> None:
    def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
        verdict = real(current, version, content)
        return ChangeKind.SUPERSEDED if verdict is ChangeKind.FORGOTTEN else verdict

    real = accepted_changes.classify_change
    patch.setattr(validation, "classify_change", classify_change)


def the_record_keeps_too_few_versions(patch: Patch) -> None:
    patch.setattr(accepted_changes, "MAX_VERSIONS", 1)


def a_place_is_never_free_again(patch: Patch) -> None:
    patch.setattr(route_index.RouteIndex, "_remove", lambda self, current: None)
    patch.setattr(draft.Draft, "_remove_references", lambda self, name, references: None)


def what_uses_a_service_is_not_counted(patch: Patch) -> None:
    patch.setattr(draft.Draft, "reference_count", lambda self, service: 0)


def records_grow_for_ever(patch: Patch) -> None:
    def add(self: VersionHistory, version: int, digest: int) -> None:
        self.digests[version] = digest

    patch.setattr(VersionHistory, "add", add)


DEFECTS = [
    a_version_that_is_not_higher_is_always_confirmed,
    only_the_number_is_compared_below_the_newest,
    a_newer_version_clears_the_record,
    overtaken_changes_are_not_noted,
    accepted_changes_are_checked_against_todays_state,
    records_stay_at_the_head,
    records_are_not_on_disk,
    a_removal_is_no_content,
    a_refusal_waits_for_nobody,
    refused_calls_are_not_remembered,
    callers_are_not_checked,
    a_registry_that_is_gone_counts_as_a_caller_that_waits,
    forgotten_versions_are_confirmed,
    the_record_keeps_too_few_versions,
    a_place_is_never_free_again,
    what_uses_a_service_is_not_counted,
    records_grow_for_ever,
]
