"""HTTP/1.1 client codec, as far as discovery and the management API speak it.

One request at a time on a connection. A response's body has a length, comes in chunks, or lasts to
the end of the connection. Waiting for bytes is bounded by a clock time for the whole response.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, NoReturn

from petrellane.net.limits import Limits
from petrellane.net.resp import Malformed
from petrellane.net.stream import Ended, Stream

Fields = dict[bytes, bytes]  # header fields by name in lower case

CRLF: Final = b"\r\n"
END_OF_HEAD: Final = b"\r\n\r\n"
STATUS_LINE_PARTS: Final = 2  # version and status; a reason is optional
HEXADECIMAL: Final = 16


class ResponseHead(NamedTuple):
    """The head of a response: status, header fields, and its length in bytes."""

    status: int
    fields: Fields
    end: int


def encode_get(path: str, host: str) -> bytes:
    """Encode a request for JSON; the connection may be used for more."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


def encode_post(path: str, host: str, fields: Mapping[str, str], body: bytes) -> bytes:
    """Encode a request with a JSON body, after which the connection ends."""
    extra_fields = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    request_head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{extra_fields}Connection: close\r\n\r\n"
    )
    return request_head.encode() + body


def parse_response_head(buffer: bytes | bytearray, limits: Limits) -> ResponseHead | None:
    """Parse the head of the response at the start of a buffer.

    Returns:
        The head, or None while it is incomplete.

    Raises:
        Malformed: It is no HTTP/1 response, or too long.
    """
    end = buffer.find(END_OF_HEAD)
    if end < 0:
        if len(buffer) > limits.max_line_size * limits.max_parts:
            raise Malformed("head too long")
        return None
    status_line, *lines = bytes(buffer[:end]).split(CRLF)
    status = _status(status_line)
    return ResponseHead(status, _fields(lines), end + len(END_OF_HEAD))


def _status(line: bytes) -> int:
    parts = line.split(b" ", 2)
    if (
        len(parts) < STATUS_LINE_PARTS
        or not parts[0].startswith(b"HTTP/1.")
        or not parts[1].isdigit()
    ):
        raise Malformed("bad status line")
    return int(parts[1])


def _fields(lines: list[bytes]) -> Fields:
    fields = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise Malformed("bad field")
        fields[name.strip().lower()] = value.strip()
    return fields


def read_more(stream: Stream, deadline: float) -> None:
    """Wait for more bytes of a response.

    Other greenlets have their turn before this returns, so that a long response holds nobody up.

    Args:
        stream: Where the response comes from.
        deadline: Unix time by which the whole response has to be complete.

    Raises:
        TimeoutError: It is past that time.
        Closed: The connection has ended or broken.
    """
    scheduler = stream.scheduler
    if scheduler.now() >= deadline:
        raise TimeoutError("no whole answer in time")
    stream.fill(deadline - scheduler.now())
    scheduler.wait(0)


def read_body(stream: Stream, fields: Fields, limits: Limits, deadline: float) -> bytes:
    """Read the body of a response whose head has been consumed.

    Args:
        stream: Where the response comes from.
        fields: The header fields of its head.
        limits: `max_list_size` bounds the body, `max_line_size` the line before a chunk.
        deadline: Unix time by which the body has to be complete.

    Raises:
        Malformed: The body is not encoded as its head says, or too long.
        TimeoutError: It is not complete in time.
        Closed: The connection ended within the body. A reset always does, also where the body has
            no length and lasts to the end of the connection.
    """
    if b"transfer-encoding" in fields:
        if fields[b"transfer-encoding"].lower() != b"chunked":
            raise Malformed("no such transfer coding")
        return _read_chunked(stream, limits, deadline)
    if b"content-length" not in fields:
        return _read_to_end(stream, limits, deadline)
    length = fields[b"content-length"]
    if not length.isdigit() or int(length) > limits.max_list_size:
        raise Malformed("bad length")
    return _read_exactly(stream, int(length), deadline)


def is_keep_alive(fields: Fields) -> bool:
    """Return whether the connection can be used again after a response with these fields."""
    if fields.get(b"connection", b"").lower() == b"close":
        return False
    return b"content-length" in fields or b"transfer-encoding" in fields


def _read_to_end(stream: Stream, limits: Limits, deadline: float) -> bytes:
    """Read up to the orderly end of the connection."""
    try:
        _fill_past(stream, limits.max_list_size, deadline)
    except Ended:
        data = bytes(stream.buffer)
        stream.buffer.clear()
        return data


def _fill_past(stream: Stream, size: int, deadline: float) -> NoReturn:
    """Buffer what comes; raises Ended at the end of the connection, Malformed past `size` bytes."""
    while len(stream.buffer) <= size:
        read_more(stream, deadline)
    raise Malformed("list too long")


def _read_exactly(stream: Stream, length: int, deadline: float) -> bytes:
    """Read so many bytes."""
    while len(stream.buffer) < length:
        read_more(stream, deadline)
    data = bytes(stream.buffer[:length])
    del stream.buffer[:length]
    return data


def _read_chunked(stream: Stream, limits: Limits, deadline: float) -> bytes:
    """Read chunks up to the last one, which is empty."""
    data = bytearray()
    while True:
        length = _read_chunk_length(stream, limits, deadline, len(data))
        # The CRLF behind the empty last chunk stands for an empty trailer as well.
        chunk = _read_exactly(stream, length + len(CRLF), deadline)
        if not length:
            return bytes(data)
        data += chunk[: -len(CRLF)]


def _read_chunk_length(stream: Stream, limits: Limits, deadline: float, size_so_far: int) -> int:
    """Read the line before a chunk: its length, and extensions that are ignored."""
    while (end := stream.buffer.find(CRLF)) < 0:
        if len(stream.buffer) > limits.max_line_size:
            raise Malformed("bad chunk")
        read_more(stream, deadline)
    try:
        length = int(bytes(stream.buffer[:end]).split(b";")[0], HEXADECIMAL)
    except ValueError:
        raise Malformed("bad chunk") from None
    if length < 0 or size_so_far + length > limits.max_list_size:
        raise Malformed("list too long")
    del stream.buffer[: end + len(CRLF)]
    return length
