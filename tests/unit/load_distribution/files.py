"""Helpers that write the record files and logs that the readers of load distribution read."""

import json
import pathlib
from typing import Any

Row = dict[str, Any]

HEADER: Row = {"records": 1}  # the first line of a record file; 1 is the version of the format


def attempt_row(at: float, host: str = "h0") -> Row:
    """Return the record of an attempt that gateway g0 sent."""
    return {"at": at, "by": "g0", "sent": host}


def write_lines(path: pathlib.Path, *lines: str | Row) -> pathlib.Path:
    """Write each row as a line of JSON and each string unchanged; return the path."""
    texts = [line if isinstance(line, str) else json.dumps(line) + "\n" for line in lines]
    path.write_text("".join(texts))
    return path
