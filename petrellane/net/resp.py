"""RESP2 codec. Commands and replies are parsed in place, without copies.

A parser returns spans, (start, stop) offsets into the buffer it was given, and None while the
frame is incomplete; the caller keeps the buffer and calls again when more bytes have come. What is
not RESP2, or exceeds the limits, raises `Malformed`.
"""

from typing import Final, NamedTuple

from petrellane.net.limits import Limits

Buffer = bytes | bytearray
Span = tuple[int, int]  # start and stop of a value in its buffer

BODY: Final = (
    4  # index of the one part of a command that may be longer than `limits.max_value_size`
)
ARRAY: Final = ord("*")
BULK_STRING: Final = ord("$")
LINE_KINDS: Final = b"+-:"  # simple string, error, integer
CRLF: Final = b"\r\n"
NULL_LENGTH: Final = -1
MAX_DIGITS: Final = 12  # of a length or a count


class Malformed(Exception):  # noqa: N818 - the name that callers of all packages catch
    """Bytes that are not of the protocol, or more of them than the limits allow."""


class Command(NamedTuple):
    """A complete command: the spans of its parts, and the offset just behind it."""

    spans: list[Span]
    end: int


class Reply(NamedTuple):
    """A complete reply.

    `kind` is its type byte and `end` the offset just behind it. `content` is the span of a line or
    a bulk string, None for a null, and for an array a list with the span of each bulk string and
    None for any other item.
    """

    kind: int
    content: Span | list[Span | None] | None
    end: int


class LongReplyHead(NamedTuple):
    """The head of an array whose first item is long: its items, that item's length and start."""

    items: int
    length: int
    start: int


def _line_end(buffer: Buffer, start: int, limits: Limits) -> int:
    """Return where the line from `start` ends, without its CRLF; -1 while it is incomplete."""
    end = buffer.find(CRLF, start, start + limits.max_line_size)
    if end < 0 and len(buffer) - start >= limits.max_line_size:
        raise Malformed("line too long")
    return end


def _integer(buffer: Buffer, start: int, end: int) -> int:
    """Return the number between the type byte at `start` and the end of its line."""
    digits = bytes(buffer[start + 1 : end])
    if not digits.lstrip(b"-").isdigit() or len(digits) > MAX_DIGITS:
        raise Malformed("bad number")
    try:
        return int(digits)
    except ValueError:
        raise Malformed("bad number") from None


def _bulk_string(
    buffer: Buffer, start: int, limits: Limits, max_length: int
) -> tuple[Span | None, int] | None:
    """Parse a bulk string.

    Returns:
        Its span, which is None for a null, and the offset behind its CRLF; None while it is
        incomplete.
    """
    end = _line_end(buffer, start, limits)
    if end < 0:
        return None
    length = _integer(buffer, start, end)
    if length == NULL_LENGTH:
        return None, end + 2
    if not 0 <= length <= max_length:
        raise Malformed(f"bulk string of {length} bytes, expected at most {max_length}")
    first = end + 2
    stop = first + length
    if len(buffer) < stop + 2:
        return None
    if buffer[stop : stop + 2] != CRLF:
        raise Malformed("bulk string of another length")
    return (first, stop), stop + 2


def parse_command(buffer: Buffer, offset: int, limits: Limits) -> Command | None:
    """Parse the command that begins at an offset.

    Returns:
        The command, or None while it is incomplete.

    Raises:
        Malformed: It is no array of bulk strings, or exceeds the limits.
    """
    array_head = _command_head(buffer, offset, limits)
    if array_head is None:
        return None
    count, position = array_head
    spans: list[Span] = []
    max_size = limits.max_frame_size + limits.max_long_value_size
    for index in range(count):
        if len(buffer) <= position:
            return None
        if buffer[position] != BULK_STRING:
            raise Malformed("expected a bulk string")
        max_length = limits.max_long_value_size if index == BODY else limits.max_value_size
        part = _bulk_string(buffer, position, limits, max_length)
        if part is None:
            return None
        span, position = part
        if span is None:
            raise Malformed("null in a command")
        spans.append(span)
        if position - offset > max_size:
            raise Malformed(f"command of more than {max_size} bytes")
    return Command(spans, position)


def _command_head(buffer: Buffer, offset: int, limits: Limits) -> tuple[int, int] | None:
    """Return the number of a command's parts and where the first begins; None while incomplete."""
    if len(buffer) <= offset:
        return None
    if buffer[offset] != ARRAY:
        raise Malformed("expected an array")
    end = _line_end(buffer, offset, limits)
    if end < 0:
        return None
    count = _integer(buffer, offset, end)
    if not 1 <= count <= limits.max_parts:
        raise Malformed(f"array of {count} parts, expected 1 to {limits.max_parts}")
    return count, end + 2


def parse_reply(buffer: Buffer, offset: int, limits: Limits) -> Reply | None:
    """Parse the reply that begins at an offset.

    Returns:
        The reply, or None while it is incomplete.

    Raises:
        Malformed: It is no reply, has an array within an array, or exceeds the limits.
    """
    if len(buffer) <= offset:
        return None
    kind = buffer[offset]
    if kind == BULK_STRING:
        value = _bulk_string(buffer, offset, limits, limits.max_value_size)
        return None if value is None else Reply(kind, value[0], value[1])
    end = _line_end(buffer, offset, limits)
    if end < 0:
        return None
    if kind in LINE_KINDS:
        return Reply(kind, (offset + 1, end), end + 2)
    if kind != ARRAY:
        raise Malformed("bad type of answer")
    count = _integer(buffer, offset, end)
    if count == NULL_LENGTH:
        return Reply(kind, None, end + 2)
    if not 0 <= count <= limits.max_parts:
        raise Malformed(f"array of {count} parts, expected at most {limits.max_parts}")
    return _array_items(buffer, offset, end + 2, count, limits)


def _array_items(
    buffer: Buffer, begin: int, position: int, count: int, limits: Limits
) -> Reply | None:
    """Parse the items of an array reply that begins at `begin`, the first of them at `position`."""
    items: list[Span | None] = []
    for _ in range(count):
        item = parse_reply(buffer, position, limits)
        if item is None:
            return None
        if item.kind == ARRAY:
            raise Malformed("array in an array")
        is_bulk_string = item.kind == BULK_STRING
        items.append(item.content if is_bulk_string else None)  # type: ignore[arg-type]
        position = item.end
        if position - begin > limits.max_frame_size:
            raise Malformed(f"answer of more than {limits.max_frame_size} bytes")
    return Reply(ARRAY, items, position)


def parse_long_reply_head(buffer: Buffer, limits: Limits) -> LongReplyHead | None:
    """Parse the head of an array reply whose first item is longer than `limits.max_value_size`.

    Returns:
        The head; None for any other reply, and while the head is incomplete.

    Raises:
        Malformed: A line of the head is too long or holds no number.
    """
    if buffer[:1] != b"*":
        return None
    end = _line_end(buffer, 0, limits)
    if end < 0 or buffer[end + 2 : end + 3] != b"$":
        return None
    stop = _line_end(buffer, end + 2, limits)
    if stop < 0:
        return None
    count = _integer(buffer, 0, end)
    length = _integer(buffer, end + 2, stop)
    if (
        1 <= count <= limits.max_parts
        and limits.max_value_size < length <= limits.max_long_value_size
    ):
        return LongReplyHead(count, length, stop + 2)
    return None


def encode_command(*parts: bytes) -> bytes:
    """Encode a command of these parts."""
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%b\r\n" % (len(part), part) for part in parts
    )
