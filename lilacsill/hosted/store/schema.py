"""The schema of the SQLite store, as migrations from one version to the next.

A migration that was released is never edited.
"""

from __future__ import annotations

MIGRATIONS: tuple[str, ...] = (
    """
    CREATE TABLE resources (
        kind TEXT NOT NULL, name TEXT NOT NULL, uid INTEGER NOT NULL UNIQUE, revision INTEGER NOT NULL,
        spec BLOB NOT NULL, PRIMARY KEY (kind, name)) WITHOUT ROWID;
    CREATE TABLE changes (
        revision INTEGER PRIMARY KEY, at_ms INTEGER NOT NULL, actor TEXT NOT NULL, request_id TEXT NOT NULL,
        verb TEXT NOT NULL, kind TEXT NOT NULL, name TEXT NOT NULL, uid INTEGER NOT NULL,
        before BLOB, after BLOB, previous TEXT NOT NULL, hash TEXT NOT NULL);
    CREATE TRIGGER changes_stay_as_they_are BEFORE UPDATE ON changes
        BEGIN SELECT RAISE(ABORT, 'the log is append-only'); END;
    CREATE TRIGGER changes_stay BEFORE DELETE ON changes
        BEGIN SELECT RAISE(ABORT, 'the log is append-only'); END;
    """,
    """
    CREATE TABLE remembered (
        key TEXT PRIMARY KEY, at_ms INTEGER NOT NULL, fingerprint TEXT NOT NULL, status INTEGER NOT NULL,
        body BLOB NOT NULL) WITHOUT ROWID;
    CREATE INDEX remembered_by_age ON remembered (at_ms);
    """,
)
VERSION = len(MIGRATIONS)
"""The version of the schema (SQLite, PRAGMA user_version)."""
APPLICATION_ID = 0x6C736C6C
"""The text "lsll" in the header of the file (SQLite, PRAGMA application_id)."""
