"""HTTP/1.1 client codec for the subset that discovery and the management API use.

A connection carries one request at a time. The body of a response is delimited by its length, by
chunked encoding or by the end of the connection. One deadline bounds the whole response.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, NoReturn

from petrellane.net.buffers import ReceiveBuffer
from petrellane.net.limits import Limits
from petrellane.net.resp import Malformed
from petrellane.net.stream import EndOfStream, Stream

Fields = dict[bytes, bytes]  # header fields by name in lower case

CRLF: Final = b"\r\n"
END_OF_HEAD: Final = b"\r\n\r\n"
STATUS_LINE_PARTS: Final = 2  # version and status code; the reason phrase is optional
HEXADECIMAL: Final = 16


class ResponseHead(NamedTuple):
    """The head of a response: status, header fields, and its length in bytes."""

    status: int
    fields: Fields
    end: int


def encode_get(path: str, host: str) -> bytes:
    """Encode a GET request for JSON that keeps the connection open."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


def encode_post(path: str, host: str, fields: Mapping[str, str], body: bytes) -> bytes:
    """Encode a POST request with a JSON body that closes the connection after the response."""
    extra_fields = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    request_head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{extra_fields}Connection: close\r\n\r\n"
    )
    return request_head.encode() + body


def parse_response_head(buffer: ReceiveBuffer, limits: Limits) -> ResponseHead | None:
    """Parse the head of the response at the start of a buffer.

    Returns:
        The head, or None while the buffer holds only a part of it.

    Raises:
        Malformed: The head is not that of an HTTP/1 response, or is too long.
    """
    end = buffer.find(END_OF_HEAD)
    if end < 0:
        if len(buffer) > limits.max_line_size * limits.max_parts:
            raise Malformed(
                f"response head of more than {limits.max_line_size * limits.max_parts} bytes"
            )
        return None
    status_line, *lines = bytes(buffer[:end]).split(CRLF)
    status = _parse_status(status_line)
    return ResponseHead(status, _parse_fields(lines), end + len(END_OF_HEAD))


def _parse_status(line: bytes) -> int:
    parts = line.split(b" ", 2)
    if (
        len(parts) < STATUS_LINE_PARTS
        or not parts[0].startswith(b"HTTP/1.")
        or not parts[1].isdigit()
    ):
        raise Malformed(f"expected an HTTP/1 status line, found {line!r:.60}")
    return int(parts[1])


def _parse_fields(lines: list[bytes]) -> Fields:
    fields = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise Malformed(f"expected a header field, found {line!r:.60}")
        fields[name.strip().lower()] = value.strip()
    return fields


def read_more(stream: Stream, deadline: float) -> None:
    """Wait for more bytes of a response.

    The function yields to other greenlets before it returns, so that a long response does not
    delay them.

    Args:
        stream: The stream that receives the response.
        deadline: The Unix time, in seconds, by which the whole response has to arrive.

    Raises:
        TimeoutError: The deadline has passed.
        Closed: The connection is closed or broken.
    """
    scheduler = stream.scheduler
    if scheduler.now() >= deadline:
        raise TimeoutError("the deadline passed before the response was complete")
    stream.fill(deadline - scheduler.now())
    scheduler.wait(0)


def read_body(stream: Stream, fields: Fields, limits: Limits, deadline: float) -> bytes:
    """Read the body of a response whose head has been consumed.

    Args:
        stream: The stream that receives the response.
        fields: The header fields of the response.
        limits: The limits; `max_list_size` bounds the body, `max_line_size` a chunk header.
        deadline: The Unix time, in seconds, by which the body has to be complete.

    Raises:
        Malformed: The body does not match the encoding in its head, or is too long.
        TimeoutError: The deadline passed before the body was complete.
        Closed: The connection ended within the body. A reset raises this error even where the body
            is delimited by the end of the connection.
    """
    if b"transfer-encoding" in fields:
        if fields[b"transfer-encoding"].lower() != b"chunked":
            raise Malformed(
                f"expected the transfer coding chunked, found {fields[b'transfer-encoding']!r:.60}"
            )
        return _read_chunked(stream, limits, deadline)
    if b"content-length" not in fields:
        return _read_to_end(stream, limits, deadline)
    length = fields[b"content-length"]
    if not length.isdigit() or int(length) > limits.max_list_size:
        raise Malformed(
            f"expected a Content-Length up to {limits.max_list_size}, found {length!r:.60}"
        )
    return _read_exactly(stream, int(length), deadline)


def is_keep_alive(fields: Fields) -> bool:
    """Return whether the connection can be reused after a response with these header fields."""
    if fields.get(b"connection", b"").lower() == b"close":
        return False
    return b"content-length" in fields or b"transfer-encoding" in fields


def _read_to_end(stream: Stream, limits: Limits, deadline: float) -> bytes:
    """Read until the peer closes the connection without a reset."""
    try:
        _fill_past(stream, limits.max_list_size, deadline)
    except EndOfStream:
        data = bytes(stream.buffer)
        stream.buffer.clear()
        return data


def _fill_past(stream: Stream, size: int, deadline: float) -> NoReturn:
    """Buffer incoming bytes until the connection ends or the buffer exceeds a size.

    Raises:
        EndOfStream: The peer closed the connection without a reset.
        Malformed: The buffer holds more than `size` bytes.
    """
    while len(stream.buffer) <= size:
        read_more(stream, deadline)
    raise Malformed(f"response body of more than {size} bytes")


def _read_exactly(stream: Stream, length: int, deadline: float) -> bytes:
    """Read exactly `length` bytes."""
    while len(stream.buffer) < length:
        read_more(stream, deadline)
    data = bytes(stream.buffer[:length])
    stream.buffer.consume(length)
    return data


def _read_chunked(stream: Stream, limits: Limits, deadline: float) -> bytes:
    """Read chunks up to and including the last chunk, which is empty."""
    data = bytearray()
    while True:
        length = _read_chunk_length(stream, limits, deadline, len(data))
        # The CRLF after the empty last chunk also ends the trailer section, which is empty.
        chunk = _read_exactly(stream, length + len(CRLF), deadline)
        if not length:
            return bytes(data)
        data += chunk[: -len(CRLF)]


def _read_chunk_length(stream: Stream, limits: Limits, deadline: float, size_so_far: int) -> int:
    """Read the header line of a chunk and return the chunk's length; ignore its extensions."""
    while (end := stream.buffer.find(CRLF)) < 0:
        if len(stream.buffer) > limits.max_line_size:
            raise Malformed(f"chunk header of more than {limits.max_line_size} bytes")
        read_more(stream, deadline)
    try:
        length = int(bytes(stream.buffer[:end]).split(b";")[0], HEXADECIMAL)
    except ValueError:
        raise Malformed("expected a chunk length in hexadecimal digits") from None
    if length < 0 or size_so_far + length > limits.max_list_size:
        raise Malformed(f"response body of more than {limits.max_list_size} bytes")
    stream.buffer.consume(end + len(CRLF))
    return length
