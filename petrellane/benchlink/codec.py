"""The codec of the simulator's protocol: decodes lines to batches of events, and encodes replies.

A line consists of a verb and space-separated `name=value` fields. A text field extends to the end
of its line. The codec keeps values as text; `instance` interprets them.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

Fields = dict[str, str]

BATCH: Final = "BATCH"
END_OF_BATCH: Final = "EOF_BATCH"
LIST_ENTRY: Final = "ENTRY"
END_OF_REPLY: Final = "EOR\n"
TEXT_FIELDS: Final = (" settings=", " reasonText=")  # each extends to the end of its line
MICROSECONDS_PER_SECOND: Final = 1e6
MAX_QUOTED_LENGTH: Final = 80  # characters of a malformed line that an error text repeats


class Malformed(Exception):  # noqa: N818 - a GIVE_IN line sends this name to the simulator
    """A line violates the protocol."""


class WireEvent(NamedTuple):
    """One event of a batch; `rows` contains the fields of the ENTRY lines that follow it."""

    verb: str
    fields: Fields
    rows: list[Fields]


class Batch(NamedTuple):
    """The events of one simulated time `now`, in seconds."""

    now: float
    events: list[WireEvent]


def parse_line(line: str) -> tuple[str, Fields]:
    """Return the verb of a line and its fields.

    Raises:
        Malformed: A field has no value.
    """
    text: Fields = {}
    for marker in TEXT_FIELDS:
        before, found, value = line.partition(marker)
        if found:
            line = before
            text = {marker[1:-1]: value}
            break
    verb, *pairs = line.split(" ")
    try:
        fields = dict(pair.split("=", 1) for pair in pairs)
    except ValueError as error:
        raise Malformed(f"malformed line: {line[:MAX_QUOTED_LENGTH]!r}") from error
    fields.update(text)
    return verb, fields


def read_batches(lines: Iterable[str]) -> Iterator[Batch]:
    """Read batches until the input ends; discard a batch that is incomplete at that point.

    Raises:
        Malformed: A line is malformed, or out of place.
    """
    stripped_lines = (line.rstrip("\n") for line in lines)
    for line in stripped_lines:
        if not line:
            continue
        verb, fields = parse_line(line)
        if verb != BATCH:
            raise Malformed(f"expected BATCH, read {line[:MAX_QUOTED_LENGTH]!r}")
        events = _read_events(stripped_lines)
        if events is None:
            return
        yield Batch(int(fields["t"]) / MICROSECONDS_PER_SECOND, events)


def _read_events(lines: Iterator[str]) -> list[WireEvent] | None:
    """Read the events of a batch; return None if the input ends before the batch does."""
    events: list[WireEvent] = []
    for line in lines:
        if line == END_OF_BATCH:
            return events
        if not line:
            continue
        verb, fields = parse_line(line)
        if verb != LIST_ENTRY:
            events.append(WireEvent(verb, fields, []))
        elif events:
            events[-1].rows.append(fields)
        else:
            raise Malformed("ENTRY outside a list")
    return None


def encode_reply(actions: list[str]) -> str:
    """Return the text of a reply that consists of these lines."""
    return "\n".join([*actions, END_OF_REPLY])


def seconds(text: str | None) -> float:
    """Convert microseconds, as text, to seconds; a missing value is 0."""
    return int(text or 0) / MICROSECONDS_PER_SECOND


def microseconds(value: float) -> int:
    """Convert seconds to microseconds, rounded to an integer."""
    return round(value * MICROSECONDS_PER_SECOND)
