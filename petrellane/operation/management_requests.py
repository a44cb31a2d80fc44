"""Parsing, execution and responses of management requests.

The module contains no I/O: it parses the head of a request, applies the request to the lifecycle
and encodes the response. `management_api` owns the sockets and timeouts.
"""

from collections.abc import Mapping
from typing import NamedTuple

import orjson

from petrellane.operation.lifecycle import Lifecycle

READY_PATH = b"/-/ready"
DRAIN_PATH = b"/-/drain"
RESUME_PATH = b"/-/resume"
METHODS: dict[bytes, bytes] = {READY_PATH: b"GET", DRAIN_PATH: b"POST", RESUME_PATH: b"POST"}
"""The HTTP method of each path."""

REASONS: Mapping[int, str] = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}
"""The reason phrase of each status that a response may have."""

MAX_CONTENT_LENGTH_DIGITS = 9
"""The maximum number of digits of a valid Content-Length."""

_REQUEST_LINE_WORDS = 3
_HTTP_1 = b"HTTP/1."


class RequestError(Exception):
    """A request that the server rejects before it has any effect.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"{status} {REASONS[status]}")
        self.status = status


class HttpResponse(NamedTuple):
    """A response: its status, its JSON body, and its additional header fields."""

    status: int
    body: bytes
    headers: Mapping[str, str]


def parse_path(head: bytes, methods: Mapping[bytes, bytes] = METHODS) -> bytes:
    """Return the path of a request.

    Args:
        head: The request line and header fields, without the empty line.
        methods: The HTTP method of each path that the server supports.

    Raises:
        RequestError: The head is malformed, or the server does not support its path or method.
    """
    request_line, *fields = head.split(b"\r\n")
    words = request_line.split(b" ")
    if not _is_request_line(words) or not all(_is_header_field(field) for field in fields):
        raise RequestError(400)
    path = words[1].partition(b"?")[0]
    if path not in methods:
        raise RequestError(404)
    if words[0] != methods[path]:
        raise RequestError(405)
    return path


def _is_request_line(words: list[bytes]) -> bool:
    return (
        len(words) == _REQUEST_LINE_WORDS
        and words[0].isalpha()
        and words[1].startswith(b"/")
        and words[2].startswith(_HTTP_1)
    )


def _is_header_field(field: bytes) -> bool:
    return b":" in field and field[:1] not in b" \t:"


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the header fields of a well-formed head, by their names in lower case."""
    pairs = (field.partition(b":") for field in head.split(b"\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def parse_body_length(headers: Mapping[bytes, bytes], max_length: int) -> int:
    """Return the length of the body that follows these header fields, in bytes.

    Args:
        headers: The header fields, by their names in lower case.
        max_length: The maximum length of a body, in bytes.

    Raises:
        RequestError: The Content-Length is missing, malformed or more than `max_length`, or the
            body has a Transfer-Encoding.
    """
    text = headers.get(b"content-length", b"")
    if (
        b"transfer-encoding" in headers
        or not text.isdigit()
        or len(text) > MAX_CONTENT_LENGTH_DIGITS
    ):
        raise RequestError(411)
    length = int(text)
    if length > max_length:
        raise RequestError(413)
    return length


def execute(lifecycle: Lifecycle, path: bytes, now: float) -> int:
    """Apply a request for one of the paths in `METHODS` to the lifecycle.

    Returns:
        The HTTP status of the response.
    """
    if path == READY_PATH:
        return 200 if lifecycle.is_ready else 503
    is_done = lifecycle.drain(now) if path == DRAIN_PATH else lifecycle.resume()
    return 200 if is_done else 409


def encode_state(status: int, state: str) -> bytes:
    """Return the bytes of a response that reports the gateway's state."""
    body = orjson.dumps({"state": state, "status": status}, option=orjson.OPT_APPEND_NEWLINE)
    headers = {"Allow": "GET, POST"} if status == 405 else {}
    return encode_response(HttpResponse(status, body, headers))


def encode_response(response: HttpResponse) -> bytes:
    """Return the bytes of a response with the header `Connection: close`."""
    extra = "".join(f"{name}: {value}\r\n" for name, value in response.headers.items())
    head = (
        f"HTTP/1.1 {response.status} {REASONS[response.status]}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n"
        f"{extra}Connection: close\r\n\r\n"
    )
    return head.encode() + response.body
