"""The embedded store: SQLite in WAL mode, full sync, one writer.

A change and its line in the log are one transaction: a crash leaves both or neither. Triggers refuse to edit the log by
accident; the chain of hashes lets `verify` find a line that was edited or removed on purpose.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from contextlib import closing, suppress
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec

from ..resources import CredentialSpec, Kind, Resource, Spec, decode_spec
from .interface import Author, Change, Conflict, Drop, Put, RememberedAnswer, StoreError, Unavailable, Verb, Write
from .schema import APPLICATION_ID, MIGRATIONS, VERSION

GENESIS_HASH = "0" * 64
"""The hash that the first line of the log names as the one before."""
REMEMBERED_MS = 24 * 3600 * 1000
"""Answers to calls with an Idempotency-Key are kept for so many milliseconds: a day."""
_COLUMNS = "revision, at_ms, actor, request_id, verb, kind, name, uid, before, after, previous, hash"


class SqliteStore:
    """A store in one SQLite file, for one writing process.

    Args:
        path: The file; it is created where it does not exist.
        wall_ms: Reads the wall clock, in milliseconds of Unix time.
        step: Is called before each step of a commit, so that tests can crash there.

    Raises:
        StoreError: The file cannot be used: another program's, damaged, or of a newer version.
    """

    def __init__(self, path: str, wall_ms: Callable[[], int], step: Callable[[str], None] = lambda _: None) -> None:
        self.path = path
        self._wall_ms = wall_ms
        self._step = step
        try:
            self._db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
            self._open()
        except sqlite3.DatabaseError as error:
            raise StoreError(f"{path}: {error}") from None

    def _open(self) -> None:
        self._db.execute("PRAGMA busy_timeout = 2000")
        version = self._check_file()
        self._db.execute("PRAGMA journal_mode = WAL")
        self._db.execute("PRAGMA synchronous = FULL")
        for number in range(version, VERSION):
            # Each migration is one transaction: a crash leaves the version before it or the one after.
            self._db.executescript(
                f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA user_version = {number + 1}; "
                f"PRAGMA application_id = {APPLICATION_ID}; COMMIT;"
            )

    def _check_file(self) -> int:
        """Check that the file is a usable store. Returns the version of its schema."""
        (application,) = self._db.execute("PRAGMA application_id").fetchone()
        (version,) = self._db.execute("PRAGMA user_version").fetchone()
        (tables,) = self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if tables and application != APPLICATION_ID:
            raise StoreError(f"{self.path}: a database, but none of lilacsill's")
        if version > VERSION:
            raise StoreError(f"{self.path}: schema {version} is newer than this program's, {VERSION}; left as it is")
        (health,) = self._db.execute("PRAGMA quick_check(1)").fetchone()
        if health != "ok":
            raise StoreError(f"{self.path}: corrupt: {health}; restore a backup")
        return int(version)

    @property
    def revision(self) -> int:
        """The revision of the last change; 0 in an empty store."""
        return int(self._db.execute("SELECT coalesce(max(revision), 0) FROM changes").fetchone()[0])

    def commit(
        self, writes: Sequence[Write], author: Author, remember: tuple[str, RememberedAnswer] | None = None
    ) -> list[Change]:
        """Apply all writes in one transaction; see `Store.commit`."""
        try:
            self._step("begin")
            self._db.execute("BEGIN IMMEDIATE")
            try:
                changes = [self._apply(write, author) for write in writes]
                if remember is not None:
                    self._remember(*remember)
                self._step("commit")
                self._db.execute("COMMIT")
            except BaseException:
                with suppress(sqlite3.Error):
                    self._db.execute("ROLLBACK")
                raise
            self._step("committed")
        except sqlite3.Error as error:
            raise Unavailable(f"{self.path}: {error}; nothing was changed") from None
        return changes

    def _apply(self, write: Write, author: Author) -> Change:
        current = self.get(write.kind, write.name)
        _check_expected(write, current)
        revision = self.revision + 1
        uid = current.uid if current is not None else revision  # a revision is unique, and so is a uid made of it
        spec = write.spec if isinstance(write, Put) else None
        self._step("resource")
        self._write_resource(write.kind, write.name, uid, revision, spec)
        verb = Verb.REMOVED if spec is None else Verb.CREATED if current is None else Verb.CHANGED
        previous = self._db.execute("SELECT hash FROM changes ORDER BY revision DESC LIMIT 1").fetchone()
        change = seal(
            Change(
                revision,
                self._wall_ms(),
                author.actor,
                author.request_id,
                verb.value,
                write.kind,
                write.name,
                uid,
                public_spec(current.spec) if current is not None else None,
                public_spec(spec) if spec is not None else None,
                previous[0] if previous is not None else GENESIS_HASH,
                "",
            )
        )
        self._step("log")
        self._write_change(change)
        return change

    def _write_resource(self, kind: Kind, name: str, uid: int, revision: int, spec: Spec | None) -> None:
        if spec is None:
            self._db.execute("DELETE FROM resources WHERE kind = ? AND name = ?", (kind.value, name))
        else:
            self._db.execute(
                "INSERT OR REPLACE INTO resources VALUES (?, ?, ?, ?, ?)",
                (kind.value, name, uid, revision, msgspec.json.encode(spec)),
            )

    def _write_change(self, change: Change) -> None:
        self._db.execute(
            f"INSERT INTO changes ({_COLUMNS}) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                change.revision,
                change.at_ms,
                change.actor,
                change.request_id,
                change.verb,
                change.kind.value,
                change.name,
                change.uid,
                _blob(change.before),
                _blob(change.after),
                change.previous,
                change.hash,
            ),
        )

    def _remember(self, key: str, answer: RememberedAnswer) -> None:
        now = self._wall_ms()
        self._db.execute("DELETE FROM remembered WHERE at_ms < ?", (now - REMEMBERED_MS,))
        self._db.execute(
            "INSERT OR REPLACE INTO remembered VALUES (?, ?, ?, ?, ?)",
            (key, now, answer.fingerprint, answer.status, answer.body),
        )

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Read a resource."""
        row = self._db.execute(
            "SELECT kind, name, uid, revision, spec FROM resources WHERE kind = ? AND name = ?", (kind.value, name)
        ).fetchone()
        return _resource(row) if row is not None else None

    def page(self, kind: Kind, after: str = "", limit: int = 0) -> list[Resource]:
        """List resources by name, those after the name `after`; limit 0: all."""
        return [
            _resource(row)
            for row in self._db.execute(
                "SELECT kind, name, uid, revision, spec FROM resources WHERE kind = ? AND name > ?"
                " ORDER BY name LIMIT ?",
                (kind.value, after, limit or -1),
            )
        ]

    def changes(self, after: int, limit: int = 0) -> list[Change]:
        """List the log's lines after a revision; limit 0: all."""
        return [
            _change(row)
            for row in self._db.execute(
                f"SELECT {_COLUMNS} FROM changes WHERE revision > ? ORDER BY revision LIMIT ?", (after, limit or -1)
            )
        ]

    def remembered(self, key: str) -> RememberedAnswer | None:
        """Find the answer that was stored with an idempotency key, at most a day ago."""
        row = self._db.execute(
            "SELECT fingerprint, status, body FROM remembered WHERE key = ? AND at_ms >= ?",
            (key, self._wall_ms() - REMEMBERED_MS),
        ).fetchone()
        return RememberedAnswer(*row) if row is not None else None

    def verify(self) -> int:
        """Check the chain of hashes of the log; see `Store.verify`."""
        previous, count = GENESIS_HASH, 0
        for change in self.changes(0):
            if change.previous != previous or seal(change).hash != change.hash:
                raise StoreError(f"{self.path}: the log is broken at revision {change.revision}")
            previous, count = change.hash, count + 1
        return count

    def backup(self, path: str) -> None:
        """Write a consistent copy, which replaces the file at `path` when it is complete."""
        fresh = Path(path).with_name(Path(path).name + ".part")
        try:
            with closing(sqlite3.connect(fresh)) as copy:
                self._db.backup(copy)
            fresh.replace(path)
        except (sqlite3.Error, OSError) as error:
            with suppress(OSError):
                fresh.unlink()
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self._db.close()


def restore(backup: str, path: str, wall_ms: Callable[[], int]) -> int:
    """Replace a store that is not in use by a verified backup.

    The replaced file is kept beside it, with the suffix `.before-restore`.

    Returns:
        The revision of the backup.

    Raises:
        StoreError: The backup is damaged, or could not be copied; the store is as before.
    """
    checked = SqliteStore(backup, wall_ms)
    try:
        checked.verify()
        revision = checked.revision
        copy = Path(path).with_name(Path(path).name + ".restored")
        checked.backup(str(copy))
    finally:
        checked.close()
    target = Path(path)
    if target.exists():
        target.replace(target.with_name(target.name + ".before-restore"))
    for leftover in ("-wal", "-shm"):
        target.with_name(target.name + leftover).unlink(missing_ok=True)
    copy.replace(target)
    return revision


def public_spec(spec: Spec) -> dict[str, Any]:
    """Convert a spec for the log and the API: without the digest of a credential."""
    fields: dict[str, Any] = msgspec.to_builtins(spec)
    if isinstance(spec, CredentialSpec):
        fields.pop("digest")
    return fields


def seal(change: Change) -> Change:
    """Compute the hash of a log line. Returns the line with its hash."""
    text = msgspec.json.encode(msgspec.structs.replace(change, hash=""), order="deterministic")
    return msgspec.structs.replace(change, hash=sha256(text).hexdigest())


def _check_expected(write: Write, current: Resource | None) -> None:
    label = f"{write.kind.value} {write.name}"
    if write.expected == 0 and current is not None:
        raise Conflict(f"{label} is there already", exists=True)
    if current is None:
        if isinstance(write, Drop) or write.expected:
            raise Conflict(f"there is no {label}", exists=False)
    elif write.expected and current.revision != write.expected:
        raise Conflict(f"{label} is at revision {current.revision}, not {write.expected}", exists=True)


def _blob(fields: dict[str, Any] | None) -> bytes | None:
    return msgspec.json.encode(fields) if fields is not None else None


def _resource(row: tuple[Any, ...]) -> Resource:
    kind, name, uid, revision, spec = row
    return Resource(Kind(kind), name, uid, revision, decode_spec(Kind(kind), spec))


def _change(row: tuple[Any, ...]) -> Change:
    """Decode a row of `_COLUMNS`."""
    revision, at_ms, actor, request_id, verb, kind, name, uid, before, after, previous, line_hash = row
    return Change(
        revision,
        at_ms,
        actor,
        request_id,
        verb,
        Kind(kind),
        name,
        uid,
        msgspec.json.decode(before) if before is not None else None,
        msgspec.json.decode(after) if after is not None else None,
        previous,
        line_hash,
    )
