"""Reads the input of the figures: a record file, or a folder of gateway logs.

Each reader returns a `LoadTrace` with notes for the user. It skips unreadable lines and reports
them with file and line; a source without attempts or records raises `LoadSourceError`.

- `record_files` defines, reads and writes the format of record files; `trace_from_records` builds
  a trace from records in memory.
- `gateway_logs` reads logs.
"""

import pathlib

from petrellane.load_distribution.gateway_logs import read_logs
from petrellane.load_distribution.json_lines import LoadSourceError, Reading
from petrellane.load_distribution.record_files import read_records, trace_from_records, write

__all__ = ["LoadSourceError", "Reading", "read", "trace_from_records", "write"]


def read(path: str, since: float = 0.0, until: float | None = None) -> Reading:
    """Read a record file or a folder of gateway logs.

    Args:
        path: The path of the file or folder.
        since: The start of the trace, in seconds from the start of the run.
        until: The end of the trace, in seconds from the start of the run; None or 0 for the end
            of the run.

    Raises:
        LoadSourceError: The path cannot be read or yields no trace; the message is a single line.
    """
    place = pathlib.Path(path)
    try:
        if place.is_dir():
            return read_logs(place, since, until)
        return read_records(place, since, until)
    except OSError as error:
        raise LoadSourceError(
            f"{path}: expected a file of records or a folder of logs: {error.strerror}"
        ) from None
