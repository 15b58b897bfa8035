"""The disk of one replica: sqlite3 in its own thread; all saves that are pending at a commit share the next one.

Pragmas: WAL (one sync per commit), synchronous FULL (a commit is on disk before it is reported), locking EXCLUSIVE (no
shared-memory file). Each row has a checksum, so that corrupt rows are found at the next start. A file that cannot be
read or has a corrupt row is renamed, and the replica starts with an empty disk, as a new machine does. If the disk
fails at the start for another reason, for example because it is full, opening is retried, and the file stays in place.

The safety of the chain depends on this guarantee: saves are committed in the order of the calls, and after a power loss
a prefix of them is on disk, each save complete or absent.

Bounds: the write-ahead log is truncated to `MAX_LOG_BYTES` after each checkpoint. The file reuses the pages of deleted
items, so it is as large as the largest state so far. Only the last of the renamed files is kept.
"""

from __future__ import annotations

import os
import sqlite3
import time
from contextlib import suppress
from queue import SimpleQueue
from threading import Thread

import msgspec

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.reactor import Reactor

from .digests import checksum_of, range_of
from .environment import Done, Save
from .operation_records import OPERATION, highest_floor

FILE_NAME = "store.db"
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 0.8  # after a failed commit; the delay doubles each time
START_TIMEOUT_S = 8.0  # a disk that fails at the start is retried for this long
MAX_LOG_BYTES = 4 << 20
FILE_FORMAT = 2  # stored as the user_version of the file
SCHEMA = f"""
pragma user_version={FILE_FORMAT};
create table if not exists item (kind text, name text, version integer, seq integer, body blob, accepted blob,
                                 sum integer, primary key (kind, name)) without rowid;
create table if not exists fact (name text primary key, value blob) without rowid;
"""
INSERT = "insert or replace into item (kind, name, version, seq, body, accepted, sum) values (?, ?, ?, ?, ?, ?, ?)"


class DiskError(OSError):
    """The file cannot be used and must stay in place. The text names the file and the reason."""


class PendingSave(msgspec.Struct, frozen=True):
    """A save that is not on disk yet."""

    save: Save
    done: Done


class Disk:
    """The database file of one replica, and the thread that writes it.

    Attributes:
        items: The items that were on disk at the start. The caller may clear the list to free memory.
        facts: The facts that were on disk at the start.
    """

    def __init__(self, reactor: Reactor, folder: str) -> None:
        """Open or create the file.

        Raises:
            DiskError: The disk still fails after `START_TIMEOUT_S`, or the file has a newer format.
        """
        self._reactor, self._path = reactor, os.path.join(folder, FILE_NAME)
        self._queue: SimpleQueue[PendingSave | None] = SimpleQueue()  # None ends the thread
        # Microseconds: when the oldest pending save was requested or, if later, when the last commit was reported.
        self._pending_since: int | None = None
        self._pending_count = 0
        self.items: list[Item] = []
        self.facts: dict[str, bytes] = {}
        os.makedirs(folder, exist_ok=True)
        self._db = self._open_with_retries()
        self._thread = Thread(target=self._commit_saves, daemon=True)
        self._thread.start()

    # Start

    def _open_with_retries(self) -> sqlite3.Connection:
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return self._open()
            except sqlite3.OperationalError as error:  # disk full, or I/O error
                if time.monotonic() >= deadline:
                    raise DiskError(f"{self._path}: cannot be opened within {START_TIMEOUT_S} s: {error}") from error
                log.warning("%s: cannot be opened; trying again in %s s: %s", self._path, MAX_RETRY_DELAY_S, error)
                time.sleep(MAX_RETRY_DELAY_S)
            except sqlite3.DatabaseError as error:
                log.warning("%s cannot be read; renaming it to *.bad and starting empty: %s", self._path, error)
                self._move_away()

    def _open(self) -> sqlite3.Connection:
        """Raise sqlite3.DatabaseError if the file is corrupt, its subclass OperationalError if the disk fails."""
        db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        try:
            self._configure(db)
            self._prepare_schema(db)
            self._load(db)
            self._sync_folder()
        except BaseException:
            db.close()
            raise
        return db

    @staticmethod
    def _configure(db: sqlite3.Connection) -> None:
        db.execute("pragma locking_mode=exclusive")
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute(f"pragma journal_size_limit={MAX_LOG_BYTES}")
        db.execute("pragma cache_size=-256")
        # A statement that changes many rows keeps an undo journal. A temporary file for it could not be opened when
        # the process has run out of file descriptors.
        db.execute("pragma temp_store=memory")
        db.create_function("range_of", 2, range_of, deterministic=True)

    def _prepare_schema(self, db: sqlite3.Connection) -> None:
        file_format = db.execute("pragma user_version").fetchone()[0]
        if file_format > FILE_FORMAT:
            raise DiskError(
                f"{self._path}: file format {file_format} is newer than {FILE_FORMAT}, the latest supported one"
            )
        if file_format < FILE_FORMAT and db.execute("select 1 from sqlite_master where name = 'item'").fetchone():
            self._upgrade(db, file_format)
        db.executescript(SCHEMA)

    @staticmethod
    def _upgrade(db: sqlite3.Connection, file_format: int) -> None:
        """Upgrade a file in one transaction. Format 0 had no checksums, format 1 no version histories."""
        db.create_function("checksum_of", 5, lambda *row: checksum_of(Item(*row)), deterministic=True)
        db.execute("begin immediate")
        if file_format == 0:
            db.execute("alter table item add column sum integer")
            db.execute("update item set sum = checksum_of(kind, name, version, seq, body)")
        db.execute("alter table item add column accepted blob")
        db.execute(f"pragma user_version={FILE_FORMAT}")
        db.execute("commit")

    def _load(self, db: sqlite3.Connection) -> None:
        if db.execute("pragma quick_check").fetchone()[0] != "ok":
            raise sqlite3.DatabaseError("pragma quick_check found corruption")
        self.items = []
        for *row, checksum in db.execute("select kind, name, version, seq, body, accepted, sum from item"):
            item = Item(*row)
            if checksum_of(item) != checksum:
                raise sqlite3.DatabaseError(f"checksum mismatch in item {item.kind} {item.name}")
            self.items.append(item)
        self.facts = dict(db.execute("select name, value from fact"))

    def _move_away(self) -> None:
        """Rename the file, and then its log, shared-memory file and journal.

        The rename of the file comes first and is synced: without its log, the file would be a readable older state,
        whereas sqlite deletes a log that has no file.
        """
        for ending in ("", "-wal", "-shm", "-journal"):
            if os.path.exists(self._path + ending):
                os.replace(self._path + ending, f"{self._path}{ending}.bad")
                self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(os.path.dirname(self._path), os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # Called in the thread of the event loop

    def save(self, save: Save, done: Done) -> None:
        """Queue a save and return at once; `done` is called in the event loop once all of it is on disk."""
        if self._pending_since is None:
            self._pending_since = self._reactor.now()
        self._pending_count += 1
        self._queue.put(PendingSave(save, done))

    def oldest_save_age_us(self) -> int:
        """Return for how many microseconds the oldest save has been pending; 0 if there is none."""
        return 0 if self._pending_since is None else self._reactor.now() - self._pending_since

    def close(self) -> None:
        """Complete the pending saves, end the thread and close the file."""
        self._queue.put(None)
        self._thread.join()
        self._db.close()

    def _on_committed(self, callbacks: list[Done]) -> None:
        self._pending_count -= len(callbacks)
        self._pending_since = self._reactor.now() if self._pending_count else None
        for callback in callbacks:
            callback()

    # Run in the thread of the disk

    def _commit_saves(self) -> None:
        while (first := self._queue.get()) is not None:
            batch = [first]
            while not self._queue.empty():
                pending = self._queue.get()
                if pending is None:
                    self._queue.put(None)
                    break
                batch.append(pending)
            delay_s = RETRY_DELAY_S
            while not self._commit(batch):  # callbacks are called only after the commit
                time.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            self._reactor.call_from_thread(self._on_committed, [pending.done for pending in batch])

    def _commit(self, batch: list[PendingSave]) -> bool:
        """Write all saves in one transaction. Return whether the commit succeeded."""
        db = self._db
        try:
            db.execute("begin immediate")
            for pending in batch:
                self._write(db, pending.save)
            db.execute("commit")
            return True
        except sqlite3.Error as error:
            log.warning("%s: commit of %d saves failed and will be retried: %s", self._path, len(batch), error)
            self._roll_back(db)
            return False

    @staticmethod
    def _write(db: sqlite3.Connection, save: Save) -> None:
        if save.ranges:
            numbers = ", ".join(str(int(number)) for number in save.ranges)
            db.execute(f"delete from item where range_of(kind, name) in ({numbers})")
        if save.tombstone_floor:
            db.execute("delete from item where body is null and seq <= ?", (save.tombstone_floor,))
        db.executemany(INSERT, [(*msgspec.structs.astuple(item), checksum_of(item)) for item in save.items])
        operation_floor = highest_floor(save.items)
        if operation_floor:
            db.execute("delete from item where kind = ? and seq <= ?", (OPERATION, operation_floor))
        db.executemany("insert or replace into fact values (?, ?)", list(save.facts.items()))

    @staticmethod
    def _roll_back(db: sqlite3.Connection) -> None:
        if db.in_transaction:
            with suppress(sqlite3.Error):  # the disk still fails: the next attempt reports it
                db.execute("rollback")
