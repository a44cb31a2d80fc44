"""Reads and writes record files of the testbed and the simulation, and builds traces from records.

A record file has one JSON object per line. The first line holds the version, and the last marks the
file as complete. Times are seconds from the start of the run, in any order:

    {"records": 1}
    {"host": "h0", "capacity": 2.0}                              # the default capacity is 1
    {"at": 0.1, "by": "g0", "sent": "h0"}
    {"at": 0.2, "by": "g0", "told": "h0", "state": "ready"}      # from the endpoint list
    {"at": 0.3, "killed": "g0"}
    {"end": 12.0}
"""

import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

import orjson

from petrellane import invariants
from petrellane.invariants.records import KILLED
from petrellane.load_distribution.json_lines import (
    LoadSourceError,
    Reading,
    get_number,
    quote,
    read_objects,
)
from petrellane.load_distribution.trace import Id, LoadTrace, ReadyPeriod, SentAttempts

VERSION = 1
STATES = frozenset({"ready", "draining", "gone"})

StoredRecord = invariants.AttemptSent | invariants.EndpointNotified | invariants.GatewayLifecycle


def write(
    path: str,
    records: Iterable[invariants.Record],
    end: float,
    capacities: Mapping[str, float] | None = None,
) -> None:
    """Write the records of a run, without the kinds that the figures do not use.

    Args:
        path: The path of the file, which is overwritten.
        records: The records, ordered by time.
        end: The end of the run, in seconds.
        capacities: The capacities of hosts for which it is not 1.

    Raises:
        OSError: The file cannot be written.
    """
    rows: list[dict[str, Any]] = [{"records": VERSION}]
    rows += [{"host": host, "capacity": capacity} for host, capacity in (capacities or {}).items()]
    rows += [row for record in records if (row := _encode(record)) is not None]
    rows.append({"end": end})
    pathlib.Path(path).write_bytes(b"\n".join(map(orjson.dumps, rows)) + b"\n")


def _encode(record: invariants.Record) -> dict[str, Any] | None:
    """Return the stored row of a record; None if records of its kind are not stored."""
    at = round(record.at, 6)
    if isinstance(record, invariants.AttemptSent):
        return {"at": at, "by": record.gateway, "sent": record.host}
    if isinstance(record, invariants.EndpointNotified):
        return {"at": at, "by": record.gateway, "told": record.host, "state": record.state}
    if isinstance(record, invariants.GatewayLifecycle) and record.event == KILLED:
        return {"at": at, "killed": record.gateway}
    return None


def _decode(row: Mapping[str, Any]) -> StoredRecord | None:
    """Return the record of a stored row; None if the row holds no record."""
    at = get_number(row, "at")
    if at is None:
        return None
    if isinstance(row.get("killed"), str):
        return invariants.GatewayLifecycle(at, row["killed"], KILLED)
    if not isinstance(row.get("by"), str):
        return None
    if isinstance(row.get("sent"), str):
        return invariants.AttemptSent(at, row["by"], None, 0, row["sent"])
    if isinstance(row.get("told"), str) and row.get("state") in STATES:
        return invariants.EndpointNotified(at, row["by"], row["told"], row["state"], 0.0)
    return None


def trace_from_records(
    records: Iterable[invariants.Record],
    since: float,
    until: float,
    capacities: Mapping[Id, float] | None = None,
) -> LoadTrace:
    """Return the trace of records that are ordered by time.

    A host is ready while all gateways that were notified of it regard it as ready.

    Args:
        records: The records, ordered by time; kinds that the figures do not use are ignored.
        since: The start of the trace, in seconds.
        until: The end of the trace, in seconds.
        capacities: The capacities of hosts for which it is not 1.
    """
    trace = LoadTrace(since, until)
    readiness = _Readiness(trace, capacities or {})
    for record in records:
        if isinstance(record, invariants.AttemptSent):
            if since <= record.at < until:
                trace.sent.append(SentAttempts(record.at, record.gateway, record.host, 1))
        elif isinstance(record, invariants.EndpointNotified):
            readiness.on_notification(record)
        elif isinstance(record, invariants.GatewayLifecycle) and record.event == KILLED:
            readiness.on_killed(record.gateway)
    readiness.close(until)
    return trace


class _Readiness:
    """Computes the periods in which each host was ready, and adds them to a trace.

    Owned by one call of `trace_from_records`.
    """

    def __init__(self, trace: LoadTrace, capacities: Mapping[Id, float]) -> None:
        self._trace = trace
        self._capacities = capacities
        self._views: dict[Id, dict[Id, bool]] = {}  # by host and gateway: whether the host is ready
        self._ready_since: dict[Id, float] = {}

    def on_notification(self, record: invariants.EndpointNotified) -> None:
        """Update the state of a host in the view of the notified gateway."""
        host = record.host
        view = self._views.setdefault(host, {})
        view[record.gateway] = record.state == invariants.READY
        if all(view.values()):
            self._ready_since.setdefault(host, record.at)
        elif host in self._ready_since:
            self._add(host, self._ready_since.pop(host), record.at)

    def on_killed(self, gateway: Id) -> None:
        """Drop the view of a gateway whose process was killed."""
        for view in self._views.values():
            view.pop(gateway, None)

    def close(self, until: float) -> None:
        """End the period of each host that is still ready."""
        for host, begin in self._ready_since.items():
            self._add(host, begin, until)

    def _add(self, host: Id, since: float, until: float) -> None:
        period = ReadyPeriod(since, until, self._capacities.get(host, 1.0))
        self._trace.ready.setdefault(host, []).append(period)


def read_records(path: pathlib.Path, since: float, until: float | None) -> Reading:
    """Read a record file.

    Raises:
        LoadSourceError: The file has another version or holds no records.
        OSError: The file cannot be read.
    """
    reading = Reading(LoadTrace(since, since))
    records: list[StoredRecord] = []
    capacities: dict[Id, float] = {}
    end = None
    for number, row in read_objects(reading, path):
        if number == 1 or (reading.lines == 0 and "records" in row):
            if row.get("records") != VERSION:
                raise LoadSourceError(
                    f'{path}:{number}: expected {{"records": {VERSION}}}, found {quote(row)}'
                )
            reading.lines += 1
            continue
        reading.lines += 1
        capacity = get_number(row, "capacity")
        stored_end = get_number(row, "end")
        if capacity is not None and isinstance(row.get("host"), str):
            capacities[row["host"]] = capacity
        elif stored_end is not None:
            end = stored_end
        elif (record := _decode(row)) is not None:
            records.append(record)
        else:
            reading.leave_out(f"{path}:{number}", f"expected a record, found {quote(row)}")
    if not records:
        raise LoadSourceError(f"{path}: expected records, found none")
    latest = max(record.at for record in records)
    _note_incomplete(reading, path, records, end, latest)
    records.sort(key=lambda record: record.at)
    reading.trace = trace_from_records(records, since, until or end or latest, capacities)
    return reading


def _note_incomplete(
    reading: Reading,
    path: pathlib.Path,
    records: Iterable[StoredRecord],
    end: float | None,
    latest: float,
) -> None:
    """Add notes for a missing end line and for records that are not ordered by time."""
    if end is None:
        reading.notes.append(
            f'{path}: expected {{"end": SECONDS}} last, found none: cut short, and known up to '
            f"{latest:g} s"
        )
    highest = 0.0
    total = 0
    out_of_order = 0
    for record in records:
        total += 1
        out_of_order += record.at < highest
        highest = max(highest, record.at)
    if out_of_order:
        reading.notes.append(
            f"{path}: {out_of_order} of {total} records come out of order; they are read in the "
            "order of time"
        )
