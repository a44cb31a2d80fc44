"""Records calls of the management API: in each state, and out of form."""

import pathlib

from tests.compatibility import build, files
from tests.compatibility.files import Json

CALLED_AT = 50.25
# By state: the steps that lead to it, in the words of the recording.
STATES: dict[str, list[Json]] = {
    "starting": [],
    "serving": [["begin"]],
    "draining": [["begin"], ["drain", 50.0]],
    "drained": [["begin"], ["drain", 50.0], ["emptied", 0]],
    "ending": [["begin"], ["end", 50.0]],
    "followed": [["begin"], ["followed"]],
}
CALLS = {
    "ready": "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "ready with a query": "GET /-/ready?x=1 HTTP/1.0\r\n\r\n",
    "drain": "POST /-/drain HTTP/1.1\r\nHost: x\r\n\r\n",
    "resume": "POST /-/resume HTTP/1.1\r\nHost: x\r\n\r\n",
}
MALFORMED_CALLS = {
    "another method": "GET /-/drain HTTP/1.1\r\n\r\n",
    "post to ready": "POST /-/ready HTTP/1.1\r\n\r\n",
    "another path": "GET /-/nothing HTTP/1.1\r\n\r\n",
    "no form": "hello\r\n\r\n",
    "no version": "GET /-/ready FTP/1\r\n\r\n",
    "no path": "GET ready HTTP/1.1\r\n\r\n",
    "bad field": "GET /-/ready HTTP/1.1\r\nx\r\n\r\n",
    "folded field": "GET /-/ready HTTP/1.1\r\nx: 1\r\n y: 2\r\n\r\n",
    "half": "GET /-/ready HTTP/1.1\r\nHost:",
    "nothing": "",
    "too long": "GET /-/ready HTTP/1.1\r\nx: " + "y" * 9000,
    "body": "POST /-/agreement HTTP/1.1\r\nContent-Length: 5\r\nPetrellane-Seal: 7\r\n\r\nabcde",
    "half a body": "POST /-/agreement HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc",
    "body without length": "POST /-/agreement HTTP/1.1\r\n\r\n",
    "body in chunks": "POST /-/agreement HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "body too long": "POST /-/agreement HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "get of a body": "GET /-/agreement HTTP/1.1\r\n\r\n",
}


def record_management(_checkout: pathlib.Path) -> None:
    """Record calls in each state, and calls out of form while serving."""
    cases = [
        _record_call(f"{name} {state}", STATES[state], call)
        for state in STATES
        for name, call in CALLS.items()
    ]
    cases += [_record_call(name, STATES["serving"], call) for name, call in MALFORMED_CALLS.items()]
    files.save("management/calls.json", cases)


def _record_call(name: str, steps: list[Json], call: str) -> Json:
    return {
        "name": name,
        "steps": steps,
        "call": call,
        "at": CALLED_AT,
        "found": build.management_call(steps, call.encode("latin-1"), CALLED_AT),
    }
