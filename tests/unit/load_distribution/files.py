"""Files of records and logs, as the readers of load distribution find them."""

import json
import pathlib
from typing import Any

Row = dict[str, Any]

HEADER: Row = {"records": 1}  # the first line of a file of records; 1 is the format's version


def attempt_row(at: float, host: str = "h0") -> Row:
    """Return the record of an attempt that gateway g0 sent."""
    return {"at": at, "by": "g0", "sent": host}


def write_lines(path: pathlib.Path, *lines: str | Row) -> pathlib.Path:
    """Write a line for each row, and texts as they are; return the path."""
    texts = [line if isinstance(line, str) else json.dumps(line) + "\n" for line in lines]
    path.write_text("".join(texts))
    return path
