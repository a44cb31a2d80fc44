"""The calls that staff make, as rules free of I/O: what a request means, and what it is answered."""

import orjson

PATHS = {b"/-/ready": b"GET", b"/-/drain": b"POST", b"/-/resume": b"POST"}
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           409: "Conflict", 431: "Request Header Fields Too Large", 503: "Service Unavailable"}


def understood(head):
    """The path of a request whose head is given up to its empty line, and 0; or None and the status that refuses it."""
    first, *fields = head.split(b"\r\n")
    words = first.split(b" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1].startswith(b"/") or words[2][:7] != b"HTTP/1.":
        return None, 400
    if any(b":" not in field or field[:1] in b" \t:" for field in fields):
        return None, 400
    path = words[1].partition(b"?")[0]
    if path not in PATHS:
        return None, 404
    return (path, 0) if words[0] == PATHS[path] else (None, 405)


def obeyed(service, path, now):
    """Carry out a call that is understood; the status that answers it."""
    if path == b"/-/ready":
        return 200 if service.ready else 503
    done = service.drain(now) if path == b"/-/drain" else service.resume()
    return 200 if done else 409


def answer(status, state):
    """The bytes of an answer; it tells the gateway's state."""
    body = orjson.dumps({"state": state, "status": status}, option=orjson.OPT_APPEND_NEWLINE)
    allow = "Allow: GET, POST\r\n" if status == 405 else ""
    return (f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"{allow}Connection: close\r\n\r\n").encode() + body
