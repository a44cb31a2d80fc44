"""Decodes and encodes endpoint lists as JSON, a chunk of rows per turn.

Discovery's responses and the lines of an endpoint list log have the same form. A line has more
keys: the writer, the version that changes continue from, and start times on the monotonic clock,
which all processes of a machine share.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from petrellane.config import (
    EndpointListUpdate,
    Section,
    StartTime,
    encode_endpoint_entry,
    iter_endpoint_entries,
    parse_index,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from petrellane.config import EndpointEntry


class ChunkedTurns(NamedTuple):
    """How a long list is shared out to turns.

    Attributes:
        rows_per_turn: The number of rows that are handled in one turn.
        yield_turn: Lets other work run.
    """

    rows_per_turn: int
    yield_turn: Callable[[], object]

    def after_row(self, count: int) -> None:
        """Yield the turn if the rows of a chunk are done, given their number so far."""
        if not count % self.rows_per_turn:
            self.yield_turn()


class LogLine(NamedTuple):
    """A decoded line of an endpoint list log, with the name of the process that wrote it."""

    writer: str
    update: EndpointListUpdate


def decode_endpoint_list(body: bytes, turns: ChunkedTurns) -> EndpointListUpdate:
    """Parse the body of a response of discovery.

    Raises:
        ConfigError: A row is malformed.
        ValueError: The body is not JSON.
    """
    return _decode_section(Section(orjson.loads(body), "list"), turns)


def _decode_section(section: Section, turns: ChunkedTurns) -> EndpointListUpdate:
    update = EndpointListUpdate(parse_index(section), section.flag("snapshot"), [])
    for entry in iter_endpoint_entries(section):
        update.entries.append(entry)
        turns.after_row(len(update.entries))
    return update


def decode_line(line: bytes, now_monotonic: float, now: float, turns: ChunkedTurns) -> LogLine:
    """Parse a line of an endpoint list log.

    Args:
        line: The line.
        now_monotonic: The monotonic time, in seconds.
        now: The current time on the gateway's clock, in Unix seconds.
        turns: How the rows are shared out.

    Raises:
        ConfigError: The line lacks a value, or one is invalid.
        ValueError: The line is not JSON, as one whose writer was killed.
    """
    section = Section(orjson.loads(line), "line")
    update = _decode_section(section, turns)
    if "from" in section.value:
        update.since = section.integer("from")
    starts = section.section("starts", {})
    start_times: dict[str, StartTime] = {}
    for name in starts.value:
        start = starts.section(name)
        started_at = start.number("monotonic", minimum=-math.inf)
        if started_at <= now_monotonic:  # a later time is one of another boot of the machine
            start_times[name] = StartTime(start.number("listed"), now - now_monotonic + started_at)
    update.start_times = start_times
    update.entries = [_with_exact_start(entry, start_times) for entry in update.entries]
    return LogLine(section.text("writer"), update)


def _with_exact_start(entry: EndpointEntry, starts: Mapping[str, StartTime]) -> EndpointEntry:
    """Return an entry with its start time as it was listed, which milliseconds may round."""
    start = starts.get(entry.name)
    return entry._replace(started_at=start.listed) if start else entry


def encode_line(
    writer: str, update: EndpointListUpdate, clock_offset: float, turns: ChunkedTurns
) -> bytes:
    """Return a line of an endpoint list log, without line breaks.

    Args:
        writer: The name of the process.
        update: The list.
        clock_offset: The gateway's clock minus the monotonic clock, in seconds.
        turns: How the rows are shared out.

    Raises:
        TypeError: A number of the list has more than 64 bits.
    """
    starts = {
        name: {"listed": start.listed, "monotonic": start.local - clock_offset}
        for name, start in update.start_times.items()
    }
    head: dict[str, Any] = {
        "writer": writer,
        "index": update.index,
        "snapshot": update.full,
        "starts": starts,
    }
    if update.since is not None:
        head["from"] = update.since
    rows = b",".join(_encode_rows(update, turns))
    return orjson.dumps(head)[:-1] + b',"endpoints":[' + rows + b"]}"


def _encode_rows(update: EndpointListUpdate, turns: ChunkedTurns) -> Iterator[bytes]:
    for count, entry in enumerate(update.entries, 1):
        yield orjson.dumps(encode_endpoint_entry(entry))
        turns.after_row(count)
