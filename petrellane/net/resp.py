"""RESP2, parsed in place: what a parser gives are the spans of the parts in the buffer it was shown."""

BODY = 4  # the part of a command that may be long


class Malformed(Exception):
    """Bytes that are not of the protocol, or more of them than the limits allow."""


def line(buffer, at, limits):
    """The end of the line that begins at `at`, without its CRLF; -1 when it is not all there."""
    end = buffer.find(b"\r\n", at, at + limits.line)
    if end < 0 and len(buffer) - at >= limits.line:
        raise Malformed("line too long")
    return end


def whole(buffer, at, end):
    """The number between the type byte at `at` and the line's end."""
    digits = bytes(buffer[at + 1 : end])
    if not digits.lstrip(b"-").isdigit() or len(digits) > 12:
        raise Malformed("bad number")
    try:
        return int(digits)
    except ValueError:
        raise Malformed("bad number") from None


def bulk(buffer, at, limits, most=None):
    """The span of the bulk string that begins at `at`, and where it ends with its CRLF. The span is None for
    a null; the pair is None when it is not all there."""
    end = line(buffer, at, limits)
    if end < 0:
        return None
    length = whole(buffer, at, end)
    if length == -1:
        return None, end + 2
    if not 0 <= length <= (most or limits.value):
        raise Malformed(f"bulk string of {length} bytes, expected at most {most or limits.value}")
    start, stop = end + 2, end + 2 + length
    if len(buffer) < stop + 2:
        return None
    if buffer[stop : stop + 2] != b"\r\n":
        raise Malformed("bulk string of another length")
    return (start, stop), stop + 2


def command(buffer, at, limits):
    """The spans of a command's parts and its end; None when it is not all there."""
    if len(buffer) <= at:
        return None
    if buffer[at] != 0x2A:
        raise Malformed("expected an array")
    end = line(buffer, at, limits)
    if end < 0:
        return None
    count = whole(buffer, at, end)
    if not 1 <= count <= limits.parts:
        raise Malformed(f"array of {count} parts, expected 1 to {limits.parts}")
    spans, begin, at = [], at, end + 2
    for _ in range(count):
        if len(buffer) <= at:
            return None
        if buffer[at] != 0x24:
            raise Malformed("expected a bulk string")
        found = bulk(buffer, at, limits, limits.long if len(spans) == BODY else None)
        if found is None:
            return None
        if found[0] is None:
            raise Malformed("null in a command")
        spans.append(found[0])
        at = found[1]
        if at - begin > limits.frame + limits.long:
            raise Malformed(f"command of more than {limits.frame + limits.long} bytes")
    return spans, at


def answer(buffer, at, limits):
    """An answer as (kind, content, end), kind being the type byte: the span of a line or a bulk string, None for a
    null, or for an array a list of the spans of its bulk strings, None for any other item. None when it is not all
    there."""
    if len(buffer) <= at:
        return None
    kind = buffer[at]
    if kind == 0x24:
        found = bulk(buffer, at, limits)
        return found and (kind, *found)
    end = line(buffer, at, limits)
    if end < 0:
        return None
    if kind in b"+-:":
        return kind, (at + 1, end), end + 2
    if kind != 0x2A:
        raise Malformed("bad type of answer")
    count = whole(buffer, at, end)
    if count == -1:
        return kind, None, end + 2
    if not 0 <= count <= limits.parts:
        raise Malformed(f"array of {count} parts, expected at most {limits.parts}")
    items, begin, at = [], at, end + 2
    for _ in range(count):
        found = answer(buffer, at, limits)
        if found is None:
            return None
        if found[0] == 0x2A:
            raise Malformed("array in an array")
        items.append(found[1] if found[0] == 0x24 else None)
        at = found[2]
        if at - begin > limits.frame:
            raise Malformed(f"answer of more than {limits.frame} bytes")
    return kind, items, at


def long_answer(buffer, limits):
    """The number of parts, the length of the first and where it begins, of an answer that begins with a value longer
    than a short one; None for any other, and while that can't be told."""
    if (
        buffer[:1] != b"*"
        or (end := line(buffer, 0, limits)) < 0
        or buffer[end + 2 : end + 3] != b"$"
    ):
        return None
    stop = line(buffer, end + 2, limits)
    if stop < 0:
        return None
    count, length = whole(buffer, 0, end), whole(buffer, end + 2, stop)
    return (
        (count, length, stop + 2)
        if 1 <= count <= limits.parts and limits.value < length <= limits.long
        else None
    )


def words(*parts):
    """A command from its parts."""
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%b\r\n" % (len(part), part) for part in parts
    )
