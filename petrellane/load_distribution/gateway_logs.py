"""Reads the logs of a fleet: a folder with one file (*.log) per gateway.

With `"figures": {"hosts": true}` in a gateway's settings file, its `figures` events have the field
`to`: the attempts by host since the previous event. A log names a host only if the gateway sent
attempts to it, so a host counts as ready from the fleet's first attempt to it until the last.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from petrellane.load_distribution.json_lines import (
    LoadSourceError,
    Reading,
    get_number,
    quote,
    read_objects,
)
from petrellane.load_distribution.trace import LoadTrace, ReadyPeriod, SentAttempts

CLOCK_STEP_S = 0.5  # the reader reports larger backward steps of a clock
HALF_REPORT_S = 0.5  # half of the second that a `figures` event covers


class LogEvent(NamedTuple):
    """One event of a gateway's log; `at` is in seconds of the gateway's clock."""

    at: float
    gateway: str
    event: str


@dataclass
class ClockRange:
    """The first and last time in a gateway's log, in seconds of the gateway's clock."""

    first: float
    last: float


def read_logs(folder: Path, since: float, until: float | None) -> Reading:
    """Read the logs of a fleet; times count from the earliest event of the fleet.

    Raises:
        LoadSourceError: The logs hold no events, or none with attempts by host.
        OSError: A file cannot be read.
    """
    reading = Reading(LoadTrace(since, since))
    sent: list[SentAttempts] = []
    clocks: dict[str, ClockRange] = {}
    for path in sorted(folder.glob("*.log")):
        sent += _read_log(reading, path, clocks)
    if not clocks:
        raise LoadSourceError(f"{folder}: expected logs (*.log) with events, found none")
    if not sent:
        raise LoadSourceError(
            f'{folder}: expected `figures` events with `to` ("figures": {{"hosts": true}} in the '
            "gateways' files), found none"
        )
    begin = min(clock.first for clock in clocks.values())
    last = max(clock.last for clock in clocks.values()) - begin
    _note_partial_logs(reading, clocks, begin, last)
    _fill_trace(reading.trace, sent, begin, until or last)
    return reading


def _read_log(reading: Reading, path: Path, clocks: dict[str, ClockRange]) -> list[SentAttempts]:
    """Return the attempts of one file, in times of its gateway's clock, and update `clocks`."""
    sent: list[SentAttempts] = []
    latest = None
    for number, row in read_objects(reading, path):
        reading.lines += 1
        event = _decode(row)
        if event is None:
            reading.leave_out(
                f"{path}:{number}",
                f"expected an event with at, gateway and event, found {quote(row)}",
            )
            continue
        if latest is not None and event.at < latest - CLOCK_STEP_S:
            reading.notes.append(
                f"{path}:{number}: the clock of {event.gateway} went back by "
                f"{latest - event.at:.1f} s"
            )
        latest = event.at
        clocks.setdefault(event.gateway, ClockRange(event.at, event.at)).last = event.at
        attempts_by_host = row.get("to")
        if event.event == "figures" and isinstance(attempts_by_host, dict):
            sent += [
                SentAttempts(event.at, event.gateway, host, count)
                for host, count in attempts_by_host.items()
                if isinstance(count, int)
            ]
    return sent


def _decode(row: Mapping[str, Any]) -> LogEvent | None:
    """Return the event of a line; None if the line holds no event."""
    at = get_number(row, "at")
    gateway = row.get("gateway")
    event = row.get("event")
    if at is None or not isinstance(gateway, str) or not isinstance(event, str):
        return None
    return LogEvent(at, gateway, event)


def _note_partial_logs(
    reading: Reading, clocks: Mapping[str, ClockRange], begin: float, last: float
) -> None:
    """Add a note for each log that lacks more than half of the run at its start or its end."""
    for name, clock in clocks.items():
        if clock.first - begin > last / 2 or begin + last - clock.last > last / 2:
            reading.notes.append(
                f"{name}: its log is of {clock.first - begin:.1f} to {clock.last - begin:.1f} s of "
                f"{last:.1f}: it ran for less, or its clock differs"
            )


def _fill_trace(trace: LoadTrace, sent: list[SentAttempts], begin: float, end: float) -> None:
    """Add the attempts from `trace.since` to `end`, and the ready period of each host in `sent`."""
    for at, gateway, host, count in sorted(sent):
        middle = at - begin - HALF_REPORT_S  # the middle of the second that the event covers
        first = trace.ready[host][0].since if host in trace.ready else middle
        trace.ready[host] = [ReadyPeriod(min(first, middle), middle, 1.0)]
        if trace.since <= middle < end:
            trace.sent.append(SentAttempts(middle, gateway, host, count))
    trace.until = end
    for host, [(first, last, capacity)] in trace.ready.items():
        trace.ready[host] = [ReadyPeriod(first - HALF_REPORT_S, last + HALF_REPORT_S, capacity)]
