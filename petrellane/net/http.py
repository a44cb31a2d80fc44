"""HTTP/1.1 as far as discovery and staff speak it: one call at a time, answers with a length, in chunks, or up to the end of
the connection."""

from petrellane.net.resp import Malformed
from petrellane.net.stream import Ended


def get(path, host):
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


def post(path, host, fields, body):
    """A call with a JSON body, after which the connection ends."""
    more = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"{more}Connection: close\r\n\r\n"
    ).encode() + body


def head(buffer, limits):
    """The status, the fields (names in lower case) and the length of an answer's head; None when it is not all
    there."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        if len(buffer) > limits.line * limits.parts:
            raise Malformed("head too long")
        return None
    first, *lines = bytes(buffer[:end]).split(b"\r\n")
    parts = first.split(b" ", 2)
    if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
        raise Malformed("bad status line")
    fields = {}
    for field in lines:
        name, colon, value = field.partition(b":")
        if not colon:
            raise Malformed("bad field")
        fields[name.strip().lower()] = value.strip()
    return int(parts[1]), fields, end + 4


def more(stream, until):
    """Wait for more bytes, up to a clock time for the whole answer, however it comes: TimeoutError after that. Others have
    their turn first, so that a long answer does not hold them up."""
    scheduler = stream.scheduler
    if scheduler.now() >= until:
        raise TimeoutError("no whole answer in time")
    stream.fill(until - scheduler.now())
    scheduler.wait(0)


def body(stream, fields, limits, until):
    """Read the body of an answer whose head has been consumed, by a clock time. Raises Malformed, TimeoutError, and Closed
    where the connection ends within it: a reset always does, also where the answer tells no length."""
    if b"transfer-encoding" in fields:
        if fields[b"transfer-encoding"].lower() != b"chunked":
            raise Malformed("no such transfer coding")
        return chunked(stream, limits, until)
    if b"content-length" not in fields:
        return rest(stream, limits, until)
    length = fields[b"content-length"]
    if not length.isdigit() or int(length) > limits.list_size:
        raise Malformed("bad length")
    return take(stream, int(length), until)


def lasts(fields):
    """Whether the connection goes on after the answer with these fields."""
    return fields.get(b"connection", b"").lower() != b"close" and not fields.keys().isdisjoint(
        (b"content-length", b"transfer-encoding")
    )


def rest(stream, limits, until):
    """All that comes up to the orderly end of the connection."""
    try:
        while len(stream.buffer) <= limits.list_size:
            more(stream, until)
    except Ended:
        data = bytes(stream.buffer)
        stream.buffer.clear()
        return data
    raise Malformed("list too long")


def take(stream, length, until):
    """So many bytes from a stream."""
    while len(stream.buffer) < length:
        more(stream, until)
    data = bytes(stream.buffer[:length])
    del stream.buffer[:length]
    return data


def chunked(stream, limits, until):
    data = bytearray()
    while True:
        while (end := stream.buffer.find(b"\r\n")) < 0:
            if len(stream.buffer) > limits.line:
                raise Malformed("bad chunk")
            more(stream, until)
        try:
            length = int(bytes(stream.buffer[:end]).split(b";")[0], 16)
        except ValueError:
            raise Malformed("bad chunk") from None
        if length < 0 or len(data) + length > limits.list_size:
            raise Malformed("list too long")
        del stream.buffer[: end + 2]
        chunk = take(stream, length + 2, until)  # the last one stands for an empty trailer as well
        if not length:
            return bytes(data)
        data += chunk[:-2]
