"""RESP2 codec that parses commands and replies in place, without copies.

A parser returns spans, which are (start, stop) offsets into its buffer, or None while the frame is
incomplete. The caller keeps the buffer and calls the parser again when more bytes have arrived.
Input that is not RESP2 or exceeds the limits raises `Malformed`.
"""

from typing import Final, NamedTuple

from petrellane.net.buffers import ReceiveBuffer
from petrellane.net.limits import Limits

Buffer = bytes | bytearray | ReceiveBuffer
Span = tuple[int, int]  # start and stop offsets of a value in its buffer

BODY_INDEX: Final = 4  # the only part of a command that may exceed `limits.max_value_size`
ARRAY: Final = ord("*")
BULK_STRING: Final = ord("$")
LINE_KINDS: Final = b"+-:"  # simple string, error, integer
CRLF: Final = b"\r\n"
NULL_LENGTH: Final = -1
MAX_DIGITS: Final = 12  # maximum characters of a length or a count


class Malformed(Exception):  # noqa: N818 - the name that callers of all packages catch
    """Input that violates the protocol or exceeds the limits."""


class Command(NamedTuple):
    """A complete command: the spans of its parts and the offset of the first byte after it."""

    spans: list[Span]
    end: int


class PartialCommand(NamedTuple):
    """The part of a command that has arrived.

    Attributes:
        spans: The spans of the complete parts.
        size: The size of the command, in bytes, up to the last part whose length has arrived.
    """

    spans: list[Span]
    size: int


class Reply(NamedTuple):
    """A complete reply.

    Attributes:
        kind: The type byte of the reply.
        content: The span of a line or a bulk string; None for a null. For an array, a list with
            the span of each bulk string and None for any other item.
        end: The offset of the first byte after the reply.
    """

    kind: int
    content: Span | list[Span | None] | None
    end: int


class LongReplyHead(NamedTuple):
    """The head of an array reply whose first item is a long bulk string.

    Attributes:
        items: The number of items in the array.
        length: The length of the first item, in bytes.
        start: The offset of the first item's content.
    """

    items: int
    length: int
    start: int


def _find_line_end(buffer: Buffer, start: int, limits: Limits) -> int:
    """Return the offset of the CRLF that ends the line at `start`; -1 while it is incomplete."""
    end = buffer.find(CRLF, start, start + limits.max_line_size)
    if end < 0 and len(buffer) - start >= limits.max_line_size:
        raise Malformed("line too long")
    return end


def _parse_integer(buffer: Buffer, start: int, end: int) -> int:
    """Return the number between the type byte at `start` and the end of its line."""
    digits = bytes(buffer[start + 1 : end])
    if not digits.lstrip(b"-").isdigit() or len(digits) > MAX_DIGITS:
        raise Malformed("bad number")
    try:
        return int(digits)
    except ValueError:
        raise Malformed("bad number") from None


def _parse_bulk_string(
    buffer: Buffer, start: int, limits: Limits, max_length: int
) -> tuple[Span | None, int] | None:
    """Parse a bulk string.

    Returns:
        The span of its content (None for a null) and the offset after its CRLF; None while the
        bulk string is incomplete.
    """
    end = _find_line_end(buffer, start, limits)
    if end < 0:
        return None
    length = _parse_integer(buffer, start, end)
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
    """Parse the command that starts at an offset.

    Returns:
        The command, or None while it is incomplete.

    Raises:
        Malformed: The input is not an array of bulk strings, or exceeds the limits.
    """
    array_head = _parse_command_head(buffer, offset, limits)
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
        max_length = limits.max_long_value_size if index == BODY_INDEX else limits.max_value_size
        part = _parse_bulk_string(buffer, position, limits, max_length)
        if part is None:
            return None
        span, position = part
        if span is None:
            raise Malformed("null in a command")
        spans.append(span)
        if position - offset > max_size:
            raise Malformed(f"command of more than {max_size} bytes")
    return Command(spans, position)


def parse_partial_command(buffer: Buffer, limits: Limits) -> PartialCommand:
    """Parse as much of the command at the start of the buffer as has arrived.

    Returns:
        The complete parts, and the size of the command as far as its heads have arrived.

    Raises:
        Malformed: The input is not an array of bulk strings, or exceeds the limits.
    """
    spans: list[Span] = []
    array_head = _parse_command_head(buffer, 0, limits)
    if array_head is None:
        return PartialCommand(spans, len(buffer))
    count, position = array_head
    while len(spans) < count and position < len(buffer):
        end = _find_line_end(buffer, position, limits)
        if end < 0:
            break
        first = end + len(CRLF)
        stop = first + max(0, _parse_integer(buffer, position, end))
        position = stop + len(CRLF)
        if position <= len(buffer):
            spans.append((first, stop))
    return PartialCommand(spans, max(position, len(buffer)))


def _parse_command_head(buffer: Buffer, offset: int, limits: Limits) -> tuple[int, int] | None:
    """Return the number of parts and the offset of the first one; None while incomplete."""
    if len(buffer) <= offset:
        return None
    if buffer[offset] != ARRAY:
        raise Malformed("expected an array")
    end = _find_line_end(buffer, offset, limits)
    if end < 0:
        return None
    count = _parse_integer(buffer, offset, end)
    if not 1 <= count <= limits.max_parts:
        raise Malformed(f"array of {count} parts, expected 1 to {limits.max_parts}")
    return count, end + 2


def parse_reply(buffer: Buffer, offset: int, limits: Limits) -> Reply | None:
    """Parse the reply that starts at an offset.

    Returns:
        The reply, or None while it is incomplete.

    Raises:
        Malformed: The input is not a reply, contains a nested array, or exceeds the limits.
    """
    if len(buffer) <= offset:
        return None
    kind = buffer[offset]
    if kind == BULK_STRING:
        value = _parse_bulk_string(buffer, offset, limits, limits.max_value_size)
        return None if value is None else Reply(kind, value[0], value[1])
    end = _find_line_end(buffer, offset, limits)
    if end < 0:
        return None
    if kind in LINE_KINDS:
        return Reply(kind, (offset + 1, end), end + 2)
    if kind != ARRAY:
        raise Malformed(f"expected a RESP2 reply, found the type byte {kind}")
    count = _parse_integer(buffer, offset, end)
    if count == NULL_LENGTH:
        return Reply(kind, None, end + 2)
    if not 0 <= count <= limits.max_parts:
        raise Malformed(f"array of {count} parts, expected at most {limits.max_parts}")
    return _parse_array_items(buffer, offset, end + 2, count, limits)


def _parse_array_items(
    buffer: Buffer, begin: int, position: int, count: int, limits: Limits
) -> Reply | None:
    """Parse the items of an array reply.

    Args:
        buffer: The buffer that contains the reply.
        begin: The offset of the reply.
        position: The offset of its first item.
        count: The number of items.
        limits: The limits of the reply.

    Returns:
        The reply, or None while it is incomplete.
    """
    items: list[Span | None] = []
    for _ in range(count):
        item = parse_reply(buffer, position, limits)
        if item is None:
            return None
        if item.kind == ARRAY:
            raise Malformed("expected an array without nested arrays")
        is_bulk_string = item.kind == BULK_STRING
        items.append(item.content if is_bulk_string else None)  # type: ignore[arg-type]
        position = item.end
        if position - begin > limits.max_frame_size:
            raise Malformed(f"reply of more than {limits.max_frame_size} bytes")
    return Reply(ARRAY, items, position)


def parse_long_reply_head(buffer: Buffer, limits: Limits) -> LongReplyHead | None:
    """Parse the head of an array reply whose first item is longer than `limits.max_value_size`.

    Returns:
        The head; None for any other reply and while the head is incomplete.

    Raises:
        Malformed: A line of the head is too long or does not contain a number.
    """
    if buffer[:1] != b"*":
        return None
    end = _find_line_end(buffer, 0, limits)
    if end < 0 or buffer[end + 2 : end + 3] != b"$":
        return None
    stop = _find_line_end(buffer, end + 2, limits)
    if stop < 0:
        return None
    count = _parse_integer(buffer, 0, end)
    length = _parse_integer(buffer, end + 2, stop)
    if (
        1 <= count <= limits.max_parts
        and limits.max_value_size < length <= limits.max_long_value_size
    ):
        return LongReplyHead(count, length, stop + 2)
    return None


def encode_command(*parts: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%b\r\n" % (len(part), part) for part in parts
    )
