"""Reads what the figures are computed from: a file of records, or a folder of gateways' logs.

Each reader yields a `LoadTrace` with what has to be said of it. What can't be read is left out
and reported, with file and line; a source that holds nothing raises `LoadSourceError`.

- `record_files` has the format of records and writes it; `trace_from_records` reads records that
  are still in memory.
- `gateway_logs` reads logs.
"""

import pathlib

from petrellane.load_distribution.gateway_logs import read_logs
from petrellane.load_distribution.json_lines import LoadSourceError, Reading
from petrellane.load_distribution.record_files import read_records, trace_from_records, write

__all__ = ["LoadSourceError", "Reading", "read", "trace_from_records", "write"]


def read(path: str, since: float = 0.0, until: float | None = None) -> Reading:
    """Read a file of records or a folder of logs.

    Args:
        path: The file or folder.
        since: Seconds from the begin of the run that are left out.
        until: Seconds up to which to read; None or 0 for the end of the run.

    Raises:
        LoadSourceError: The path can't be read or holds nothing; the text is one line.
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
