"""Reads files with one JSON object per line, and tolerates malformed lines.

The reader skips and counts lines without an object, and reports the first few with file and line.
It ignores text before the first brace, because some log collectors prepend text.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from petrellane.load_distribution.trace import LoadTrace

MAXIMUM_NOTED_LINES = 5  # skipped lines that are reported individually; all are counted
MAXIMUM_QUOTED = 40  # characters of a line in a note


class LoadSourceError(Exception):
    """The path yields no trace or its plot cannot be written; the message is a single line."""


@dataclass
class Reading:
    """A trace, the numbers of lines read and skipped, and one-line notes for the user.

    The reader that creates the object owns it until it returns the object.
    """

    trace: LoadTrace
    lines: int = 0
    left_out: int = 0
    notes: list[str] = field(default_factory=list)

    def leave_out(self, place: str, text: str) -> None:
        """Count a skipped line, and add a note if it is one of the first few."""
        self.left_out += 1
        if self.left_out <= MAXIMUM_NOTED_LINES:
            self.notes.append(f"{place}: {text}")


def read_objects(reading: Reading, path: Path) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield the line number, from 1, and the object of each line with a JSON object."""
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                row = orjson.loads(line[max(0, line.find(b"{")) :])
            except ValueError:
                row = None
            if isinstance(row, dict):
                yield number, row
                continue
            short = "" if line.endswith(b"\n") else ", the file is cut short there"
            text = line.decode("utf-8", "replace").strip()
            reading.leave_out(
                f"{path}:{number}", f"expected a JSON object, found {_abbreviate(text)}{short}"
            )


def quote(row: Mapping[str, Any]) -> str:
    """Return the start of an object's JSON text, for a note."""
    return _abbreviate(orjson.dumps(row).decode())


def _abbreviate(text: str) -> str:
    return text[:MAXIMUM_QUOTED] + ("..." if len(text) > MAXIMUM_QUOTED else "")


def get_number(row: Mapping[str, Any], key: str) -> float | None:
    """Return the number at a key; None if it is missing, negative or not a number."""
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return float(value) if value >= 0.0 else None
