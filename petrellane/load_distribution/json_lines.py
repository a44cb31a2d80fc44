"""Files with one JSON object a line, as far as they can be read.

A line that holds no object is left out and counted; the first few are reported with file and
line. Text before the first brace is passed over, as log collectors put some there.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from petrellane.load_distribution.trace import LoadTrace

MAXIMUM_NOTED_LINES = 5  # lines left out that are reported one by one; the rest is counted
MAXIMUM_QUOTED = 40  # characters of a line that a note quotes


class LoadSourceError(Exception):
    """Nothing can be computed from this path; the text is one line."""


@dataclass
class Reading:
    """A trace, how many lines were read and left out, and notes for the user, a line each.

    Owned by the reader until it returns it.
    """

    trace: LoadTrace
    lines: int = 0
    left_out: int = 0
    notes: list[str] = field(default_factory=list)

    def leave_out(self, place: str, text: str) -> None:
        """Count a line that is left out, and note the first few."""
        self.left_out += 1
        if self.left_out <= MAXIMUM_NOTED_LINES:
            self.notes.append(f"{place}: {text}")


def read_objects(reading: Reading, path: Path) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield the number of each line with a JSON object, from 1, and the object."""
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
    """Return the begin of an object's JSON text, for a note."""
    return _abbreviate(orjson.dumps(row).decode())


def _abbreviate(text: str) -> str:
    return text[:MAXIMUM_QUOTED] + ("..." if len(text) > MAXIMUM_QUOTED else "")


def get_number(row: Mapping[str, Any], key: str) -> float | None:
    """Return the number at a key; None where there is none, or a negative one."""
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return float(value) if value >= 0.0 else None
