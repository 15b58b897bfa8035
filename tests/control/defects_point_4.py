"""Planted defects of point 4, long days: each takes one guard away. Patches of tests; not part of the product."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime.messages import Message, Replicate, Summary
from lilacsill.mesh.store import successor
from lilacsill.mesh.store.chain import Chain
from lilacsill.mesh.store.digests import RANGE_COUNT
from lilacsill.mesh.store.disk import Disk
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.replica import Replica
from lilacsill.mesh.store.successor import SuccessorLink

Patch = pytest.MonkeyPatch
HUGE = 1 << 40


def newer_changes_of_the_successor_are_overwritten(patch: Patch) -> None:
    def on_summary(self: SuccessorLink, epoch: int, summary: Message | None) -> None:
        if isinstance(summary, Summary) and summary.seq > self._replica.state.seq:
            summary = Summary(False, summary.seq, summary.digests)
        real(self, epoch, summary)

    real = SuccessorLink._on_summary
    patch.setattr(SuccessorLink, "_on_summary", on_summary)


def the_head_appends_unconfirmed(patch: Patch) -> None:
    patch.setattr(
        Chain,
        "may_append",
        property(lambda self: self._replica.is_head and self._replica.complete and not self.pending_saves),
    )


def repair_chunks_have_no_bound(patch: Patch) -> None:
    patch.setattr(successor, "REPAIR_CHUNK_BYTES", HUGE)


def batches_have_no_bound(patch: Patch) -> None:
    patch.setattr(successor, "MAX_BATCH_BYTES", HUGE)


def an_interrupted_repair_starts_over(patch: Patch) -> None:
    patch.setattr(successor, "differing_ranges", lambda mine, others: list(range(RANGE_COUNT)))


def any_chunk_completes_a_repair(patch: Patch) -> None:
    def save(self: Chain, save: Save, done: Callable[[], None]) -> None:
        if "whole" in save.facts:
            save.facts["whole"] = b"1"
        real(self, save, done)

    real = Chain._save
    patch.setattr(Chain, "_save", save)


def views_are_saved_without_completeness(patch: Patch) -> None:
    def view_facts(self: Replica) -> dict[str, bytes]:
        made = real(self)
        return {"view": made["view"]} if "whole" in self.environment.disk.facts else made  # type: ignore[attr-defined]

    real = Replica.view_facts
    patch.setattr(Replica, "view_facts", view_facts)


def the_sequence_number_is_saved_before_the_items(patch: Patch) -> None:
    def save(self: Chain, save: Save, done: Callable[[], None]) -> None:
        self._environment.save(Save(facts=save.facts), lambda: None)
        real(self, Save(save.items, save.ranges, {}, save.tombstone_floor), done)

    real = Chain._save
    patch.setattr(Chain, "_save", save)


def pending_saves_are_not_replicated_in_the_next_view(patch: Patch) -> None:
    def save(self: Chain, save: Save, done: Callable[[], None]) -> None:
        link = self.successor
        epoch = link._epoch

        def saved() -> None:
            link.__dict__["late"] = epoch != link._epoch
            done()
            link.__dict__["late"] = False

        keep(self, save, saved)

    def unless_late(self: SuccessorLink) -> None:
        if not self.__dict__.get("late"):
            real(self)

    real, keep = SuccessorLink.advance, Chain._save
    patch.setattr(SuccessorLink, "advance", unless_late)
    patch.setattr(Chain, "_save", save)


def the_tombstone_floor_is_not_replicated(patch: Patch) -> None:
    def send(self: SuccessorLink, message: Replicate, answered: Any) -> None:
        real(self, msgspec.structs.replace(message, tombstone_floor=0), answered)

    real = SuccessorLink._send
    patch.setattr(SuccessorLink, "_send", send)


def tombstones_stay_on_the_disk(patch: Patch) -> None:
    def save(self: Chain, save: Save, done: Callable[[], None]) -> None:
        real(self, Save(save.items, save.ranges, save.facts), done)

    real = Chain._save
    patch.setattr(Chain, "_save", save)


# Defects of the disk


def a_failing_disk_has_its_file_moved_away(patch: Patch) -> None:
    def begin(self: Disk) -> sqlite3.Connection:
        try:
            return self._open()
        except sqlite3.DatabaseError:
            self._move_away()
            return begin(self)

    patch.setattr(Disk, "_open_with_retries", begin)


def renames_are_not_synced_one_by_one(patch: Patch) -> None:
    def move_away(self: Disk) -> None:
        for ending in ("", "-wal", "-shm", "-journal"):
            if os.path.exists(self._path + ending):
                os.replace(self._path + ending, f"{self._path}{ending}.bad")

    patch.setattr(Disk, "_move_away", move_away)


def failed_commits_are_reported_as_saved(patch: Patch) -> None:
    def commit(self: Disk, batch: Any) -> bool:
        real(self, batch)
        return True

    real = Disk._commit
    patch.setattr(Disk, "_commit", commit)
