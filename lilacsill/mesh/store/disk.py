"""The disk of one copy: sqlite3 in a thread of its own that syncs; what waits meanwhile goes into one commit.

Settings: WAL (one sync a commit), synchronous FULL (a commit is on disk before it is told), locking EXCLUSIVE (no file
of shared memory). Each row has a sum of its own, so that what a disk has spoilt is found at the next start. A file that
cannot be read, or has a row that is not what was written, is put away, and the copy is a stranger then. A disk that
refuses at the start is no such file: it is tried again, and the file stays.

What safety rests on: saves are committed in the order in which they were asked for, and after a loss of power a first
part of them is there, each whole or missing.

Bounds: the log is cut back to `LOG_BYTES` when it has gone into the file; the file keeps the pages of dropped items for
new ones, and so is as large as the largest state has been; of files put away the last one is kept.
"""

from __future__ import annotations

import os
import sqlite3
import time
from queue import SimpleQueue
from threading import Thread

import msgspec

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.reactor import Reactor

from .digests import checksum_of, range_of
from .environment import Done, Save

FILE = "store.db"
AGAIN_S, MOST_AGAIN_S = 0.05, 0.8  # a disk that refuses is asked again, less and less often
START_S = 8.0  # at the start it is asked for so long
LOG_BYTES = 4 << 20
FORMAT = 2  # of the file, as its user_version
SCHEMA = f"""
pragma user_version={FORMAT};
create table if not exists item (kind text, name text, version integer, seq integer, body blob, accepted blob,
                                 sum integer, primary key (kind, name)) without rowid;
create table if not exists fact (name text primary key, value blob) without rowid;
"""
INSERT = "insert or replace into item (kind, name, version, seq, body, accepted, sum) values (?, ?, ?, ?, ?, ?, ?)"


class DiskError(OSError):
    """The file cannot be used, and must not be put away. The text names it and says why."""


class Disk:
    """Owns the file. `save` returns at once; `done` is called in the loop when all of it is on disk."""

    def __init__(self, reactor: Reactor, folder: str) -> None:
        self._reactor, self._path = reactor, os.path.join(folder, FILE)
        self._queue: SimpleQueue[tuple[Save, Done] | None] = SimpleQueue()
        self._since = 0  # when the oldest save that is not done was asked for; 0: none is out
        self._out = 0
        self.items: list[Item] = []
        self.facts: dict[str, bytes] = {}
        os.makedirs(folder, exist_ok=True)
        self._db = self._begin()
        self._thread = Thread(target=self._work, daemon=True)
        self._thread.start()

    def _begin(self) -> sqlite3.Connection:
        """Raises DiskError."""
        until = time.monotonic() + START_S
        while True:
            try:
                return self._open()
            except sqlite3.OperationalError as e:  # full, or an input or output error: of the disk, not of the file
                if time.monotonic() >= until:
                    raise DiskError(f"{self._path}: {e}") from e
                log.warning("%s: %s", self._path, e)
                time.sleep(MOST_AGAIN_S)
            except sqlite3.DatabaseError as e:
                log.warning("%s cannot be read and is put away: %s", self._path, e)
                self._put_away()

    def _open(self) -> sqlite3.Connection:
        """Raises sqlite3.DatabaseError."""
        db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        try:
            self._read(db)
        except BaseException:
            db.close()
            raise
        return db

    def _read(self, db: sqlite3.Connection) -> None:
        db.execute("pragma locking_mode=exclusive")
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute(f"pragma journal_size_limit={LOG_BYTES}")
        db.execute("pragma cache_size=-256")
        # What a statement may have to undo grows with its rows; a temporary file for it could be opened nowhere.
        db.execute("pragma temp_store=memory")
        db.create_function("range_of", 2, range_of, deterministic=True)
        held = db.execute("pragma user_version").fetchone()[0]
        if held > FORMAT:
            raise DiskError(f"{self._path}: is of format {held}; this program reads up to {FORMAT}")
        if held < FORMAT and db.execute("select 1 from sqlite_master where name = 'item'").fetchone():
            self._upgrade(db, held)
        db.executescript(SCHEMA)
        if db.execute("pragma quick_check").fetchone()[0] != "ok":
            raise sqlite3.DatabaseError("quick_check failed")
        self.items = []
        for *row, total in db.execute("select kind, name, version, seq, body, accepted, sum from item"):
            self.items.append(Item(*row))
            if checksum_of(self.items[-1]) != total:
                raise sqlite3.DatabaseError(f"{row[0]} {row[1]} is not what was written")
        self.facts = dict(db.execute("select name, value from fact"))
        self._sync_folder()

    @staticmethod
    def _upgrade(db: sqlite3.Connection, held: int) -> None:
        """A file of an earlier format, in one transaction. Format 0 had no sums, format 1 no records."""
        db.create_function("checksum_of", 5, lambda *row: checksum_of(Item(*row)), deterministic=True)
        db.execute("begin immediate")
        if held == 0:
            db.execute("alter table item add column sum integer")
            db.execute("update item set sum = checksum_of(kind, name, version, seq, body)")
        db.execute("alter table item add column accepted blob")
        db.execute(f"pragma user_version={FORMAT}")
        db.execute("commit")

    def _put_away(self) -> None:
        """The file goes first, for good, and then its log: a file without its log would be an older state that can be
        read, while sqlite drops a log without its file."""
        for ending in ("", "-wal", "-shm", "-journal"):
            if os.path.exists(self._path + ending):
                os.replace(self._path + ending, f"{self._path}{ending}.bad")
                self._sync_folder()

    def _sync_folder(self) -> None:
        fd = os.open(os.path.dirname(self._path), os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def save(self, save: Save, done: Done) -> None:
        self._since = self._since or self._reactor.now()
        self._out += 1
        self._queue.put((save, done))

    def close(self) -> None:
        """After what was asked for is done; the thread ends, the file is closed."""
        self._queue.put(None)
        self._thread.join()
        self._db.close()

    def oldest_save_age_us(self) -> int:
        """For how long the oldest save has been out."""
        return self._reactor.now() - self._since if self._since else 0

    def _work(self) -> None:
        while (first := self._queue.get()) is not None:
            batch = [first]
            while not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._queue.put(None)
                    break
                batch.append(more)
            pause = AGAIN_S
            while not self._commit(batch):
                time.sleep(pause)  # a disk that refuses: nothing is told until it takes it
                pause = min(2 * pause, MOST_AGAIN_S)
            self._reactor.call_from_thread(self._done, [done for _, done in batch])

    def _commit(self, batch: list[tuple[Save, Done]]) -> bool:
        db = self._db
        try:
            db.execute("begin immediate")
            for save, _ in batch:
                if save.ranges:
                    marks = ", ".join(str(int(r)) for r in save.ranges)
                    db.execute(f"delete from item where range_of(kind, name) in ({marks})")
                if save.tombstone_floor:
                    db.execute("delete from item where body is null and seq <= ?", (save.tombstone_floor,))
                db.executemany(INSERT, [(*msgspec.structs.astuple(i), checksum_of(i)) for i in save.items])
                db.executemany("insert or replace into fact values (?, ?)", list(save.facts.items()))
            db.execute("commit")
            return True
        except sqlite3.Error as e:
            log.warning("the disk refuses: %s", e)
            try:
                if db.in_transaction:
                    db.execute("rollback")
            except sqlite3.Error:
                pass
            return False

    def _done(self, done: list[Done]) -> None:
        self._out -= len(done)
        self._since = self._reactor.now() if self._out else 0
        for call in done:
            call()
