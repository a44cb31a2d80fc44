"""The calls that staff make, as rules free of I/O: what a request means, and what it is answered."""

import orjson

PATHS = {b"/-/ready": b"GET", b"/-/drain": b"POST", b"/-/resume": b"POST"}
REASONS = {
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


def understood(head, paths=PATHS):
    """The path of a request whose head is given up to its empty line, and 0; or None and the status that refuses it."""
    first, *fields = head.split(b"\r\n")
    words = first.split(b" ")
    if (
        len(words) != 3
        or not words[0].isalpha()
        or not words[1].startswith(b"/")
        or words[2][:7] != b"HTTP/1."
    ):
        return None, 400
    if any(b":" not in field or field[:1] in b" \t:" for field in fields):
        return None, 400
    path = words[1].partition(b"?")[0]
    if path not in paths:
        return None, 404
    return (path, 0) if words[0] == paths[path] else (None, 405)


def fields_of(head):
    """The fields of a head that is understood, by their names in lower case."""
    pairs = (field.partition(b":") for field in head.split(b"\r\n")[1:])
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def length_of(fields, most):
    """How long a body is that comes with these fields, and 0; or None and the status that refuses it."""
    told = fields.get(b"content-length", b"")
    if b"transfer-encoding" in fields or not told.isdigit() or len(told) > 9:
        return None, 411
    return (int(told), 0) if int(told) <= most else (None, 413)


def obeyed(service, path, now):
    """Carry out a call that is understood; the status that answers it."""
    if path == b"/-/ready":
        return 200 if service.ready else 503
    done = service.drain(now) if path == b"/-/drain" else service.resume()
    return 200 if done else 409


def answer(status, state):
    """The bytes of an answer; it tells the gateway's state."""
    body = orjson.dumps({"state": state, "status": status}, option=orjson.OPT_APPEND_NEWLINE)
    return whole(status, body, {"Allow": "GET, POST"} if status == 405 else {})


def whole(status, body, fields):
    """The bytes of an answer with a JSON body, after which the connection ends."""
    more = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"{more}Connection: close\r\n\r\n"
    ).encode() + body
