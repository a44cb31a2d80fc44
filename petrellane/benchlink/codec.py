"""Codec of the simulator's wire: lines of text to batches of events, and replies to text.

A line is a verb and space-separated `name=value` fields; a text field runs to the end of its line.
Values stay text here: what they mean is the instance's business.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

Fields = dict[str, str]

BATCH: Final = "BATCH"
END_OF_BATCH: Final = "EOF_BATCH"
ROW: Final = "ENTRY"
END_OF_REPLY: Final = "EOR\n"
TEXT_FIELDS: Final = (" settings=", " reasonText=")  # each runs to the end of its line
MICROSECONDS: Final = 1e6  # in a second
QUOTED: Final = 80  # characters of a bad line that an error shows


class Malformed(Exception):  # noqa: N818 - its name is on the wire, in the reason of a GIVE_IN
    """A line that is not of the wire."""


class WireEvent(NamedTuple):
    """One event of a batch; `rows` are the fields of the ENTRY lines behind it."""

    verb: str
    fields: Fields
    rows: list[Fields]


class Batch(NamedTuple):
    """The events of one clock time, in seconds."""

    now: float
    events: list[WireEvent]


def parse_line(line: str) -> tuple[str, Fields]:
    """Return the verb of a line and its fields.

    Raises:
        Malformed: A field has no value.
    """
    text: Fields = {}
    for mark in TEXT_FIELDS:
        before, found, value = line.partition(mark)
        if found:
            line = before
            text = {mark[1:-1]: value}
            break
    verb, *pairs = line.split(" ")
    try:
        fields = dict(pair.split("=", 1) for pair in pairs)
    except ValueError as error:
        raise Malformed(f"malformed line: {line[:QUOTED]!r}") from error
    fields.update(text)
    return verb, fields


def read_batches(lines: Iterable[str]) -> Iterator[Batch]:
    """Read batches until the input ends; one that is cut short there is dropped.

    Raises:
        Malformed: A line is not of the wire, or not where it belongs.
    """
    stripped = (line.rstrip("\n") for line in lines)
    for line in stripped:
        if not line:
            continue
        verb, fields = parse_line(line)
        if verb != BATCH:
            raise Malformed(f"expected BATCH, read {line[:QUOTED]!r}")
        events = _read_events(stripped)
        if events is None:
            return
        yield Batch(int(fields["t"]) / MICROSECONDS, events)


def _read_events(lines: Iterator[str]) -> list[WireEvent] | None:
    """Read the events of a batch up to its end; None where the input ends before."""
    events: list[WireEvent] = []
    for line in lines:
        if line == END_OF_BATCH:
            return events
        if not line:
            continue
        verb, fields = parse_line(line)
        if verb != ROW:
            events.append(WireEvent(verb, fields, []))
        elif events:
            events[-1].rows.append(fields)
        else:
            raise Malformed("ENTRY outside a list")
    return None


def encode_reply(actions: list[str]) -> str:
    """Return the text of a reply with these lines."""
    return "\n".join([*actions, END_OF_REPLY])


def seconds(text: str | None) -> float:
    """Return a time of the wire, microseconds as text, in seconds; 0 for a missing one."""
    return int(text or 0) / MICROSECONDS


def microseconds(value: float) -> int:
    """Return seconds as whole microseconds of the wire."""
    return round(value * MICROSECONDS)
