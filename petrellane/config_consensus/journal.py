"""The control process's journal: SQLite, one transaction a record, flushed to the disk before it counts.

Records are never changed. One control process at a time has the file; a second one is turned away at its start.
"""

import sqlite3

import orjson

VERSION = 1


class JournalError(Exception):
    """A journal that can't be used; the text is one line that says what to do."""


class Journal:
    """The records of one file, made where there is none. Raises JournalError."""

    def __init__(self, path):
        self.path = path
        try:
            self.base = sqlite3.connect(path, timeout=0.5, isolation_level=None)
            self.base.execute("PRAGMA locking_mode=EXCLUSIVE")
            self.base.execute("PRAGMA synchronous=FULL")
            self.base.execute("BEGIN EXCLUSIVE")
            if (found := self.base.execute("PRAGMA integrity_check").fetchone()[0]) != "ok":
                raise sqlite3.DatabaseError(found)
            version = self.base.execute("PRAGMA user_version").fetchone()[0]
            tables = self.base.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
            if version != VERSION and (version or tables):
                raise JournalError(
                    f"{path}: expected a journal of version {VERSION}, found {version}: start the build that "
                    "wrote it, or move the file away and start with an empty one"
                )
            if not tables:
                self.base.execute(
                    "CREATE TABLE records (number INTEGER PRIMARY KEY, at REAL NOT NULL, told BLOB NOT NULL)"
                )
                self.base.execute(f"PRAGMA user_version = {VERSION}")
            self.base.execute("COMMIT")
        except sqlite3.OperationalError as error:
            busy = "another control process has it" if "locked" in str(error) else str(error)
            raise JournalError(f"{path}: expected a file that can be written: {busy}") from None
        except sqlite3.DatabaseError as error:
            raise JournalError(
                f"{path}: expected a whole journal, found {error}: move it away and start with an empty one; "
                "the gateways remember what is in force"
            ) from None

    def records(self):
        """All records, the oldest first. Raises JournalError."""
        try:
            return [
                orjson.loads(row[0]) | {"at": row[1]}
                for row in self.base.execute("SELECT told, at FROM records ORDER BY number")
            ]
        except (sqlite3.DatabaseError, ValueError) as error:
            raise JournalError(f"{self.path}: expected records in JSON, found {error}") from None

    def append(self, record, at):
        """Add a record; it is on the disk when this returns. Raises OSError, and nothing was added."""
        try:
            self.base.execute(
                "INSERT INTO records (at, told) VALUES (?, ?)", (at, orjson.dumps(record))
            )
        except sqlite3.Error as error:
            raise OSError(f"{self.path}: {error}") from None

    def close(self):
        self.base.close()
