"""The journal of a control process: an SQLite database with one transaction per record.

A record is on the disk when `append` returns, and never changes. The coordinator defines what
records mean.
"""

import sqlite3
from typing import Any, Final

import orjson

from petrellane.config_consensus.errors import ConsensusError

VERSION: Final = 1  # version of the schema, stored in PRAGMA user_version
LOCK_TIMEOUT_S: Final = 0.5  # allows a control process that is shutting down to release the file
INTEGRITY_OK: Final = "ok"  # result of PRAGMA integrity_check for an undamaged file
HEADING_PREFIX: Final = "***"  # starts the lines of the result that name the database

Record = dict[str, Any]  # a JSON object

CREATE_RECORDS: Final = (
    "CREATE TABLE records (number INTEGER PRIMARY KEY, at REAL NOT NULL, told BLOB NOT NULL)"
)
SELECT_RECORDS: Final = "SELECT told, at FROM records ORDER BY number"
INSERT_RECORD: Final = "INSERT INTO records (at, told) VALUES (?, ?)"


def first_problem(report: str) -> str:
    """Return the first problem in a report of SQLite, without the headings above it."""
    lines = report.splitlines()
    return next((line for line in lines if not line.startswith(HEADING_PREFIX)), report)


class JournalError(ConsensusError):
    """The journal cannot be opened or read; the text says in one line why, and what to do."""


class Journal:
    """A file of records, which a control process owns from its start to its end.

    Opening a journal creates the file if it does not exist, and locks it against other processes
    until `close`.
    """

    def __init__(self, path: str) -> None:
        """Open a journal.

        Args:
            path: The path of the file.

        Raises:
            JournalError: The file cannot be written, is damaged, has another version, or is locked
                by another process.
        """
        self.path = path
        try:
            self._connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
        except sqlite3.DatabaseError as error:
            raise self._open_error(error) from None
        try:
            self._lock()
            self._check_or_create_tables()
            self._connection.execute("COMMIT")
        except sqlite3.DatabaseError as error:
            self.close()
            raise self._open_error(error) from None
        except JournalError:
            self.close()
            raise

    def _open_error(self, error: sqlite3.DatabaseError) -> JournalError:
        """Return an error that says in one line why the journal cannot be opened."""
        reason = first_problem(str(error))
        if isinstance(error, sqlite3.OperationalError):
            if "locked" in reason:
                reason = "another control process has it"
            return JournalError(f"{self.path}: expected a file that can be written: {reason}")
        return JournalError(
            f"{self.path}: expected a whole journal, found {reason}: move it away and start with "
            "an empty one; the gateways remember what is in force"
        )

    def _lock(self) -> None:
        self._connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._connection.execute("PRAGMA synchronous=FULL")
        self._connection.execute("BEGIN EXCLUSIVE")

    def _check_or_create_tables(self) -> None:
        integrity = self._query_value("PRAGMA integrity_check")
        if integrity != INTEGRITY_OK:
            raise sqlite3.DatabaseError(integrity)
        version = self._query_value("PRAGMA user_version")
        table_count = self._query_value("SELECT count(*) FROM sqlite_master")
        is_new = not version and not table_count
        if version != VERSION and not is_new:
            raise JournalError(
                f"{self.path}: expected a journal of version {VERSION}, found {version}: start the "
                "build that wrote it, or move the file away and start with an empty one"
            )
        if not table_count:
            self._connection.execute(CREATE_RECORDS)
            self._connection.execute(f"PRAGMA user_version = {VERSION}")

    def _query_value(self, query: str) -> object:
        return self._connection.execute(query).fetchone()[0]

    def records(self) -> list[Record]:
        """Return all records, oldest first, each with the Unix time of its `append` as `at`.

        Raises:
            JournalError: The file cannot be read, or a record is not valid JSON.
        """
        try:
            return [
                orjson.loads(content) | {"at": at}
                for content, at in self._connection.execute(SELECT_RECORDS)
            ]
        except (sqlite3.DatabaseError, ValueError) as error:
            raise JournalError(f"{self.path}: expected records in JSON, found {error}") from None

    def append(self, record: Record, at: float) -> None:
        """Add a record, which is on the disk when this method returns.

        Args:
            record: The record, a JSON object.
            at: The time of the record, in Unix seconds.

        Raises:
            OSError: The record cannot be written; the journal is unchanged.
        """
        try:
            self._connection.execute(INSERT_RECORD, (at, orjson.dumps(record)))
        except sqlite3.Error as error:
            raise OSError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Close the file and release its lock."""
        self._connection.close()
