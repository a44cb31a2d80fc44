"""Calls of staff to a gateway's management listener."""

from typing import Any

from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Closed
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_api import ManagementServer
from petrellane.operation.management_requests import HttpResponse
from tests.compatibility.build.hot_restart import LIMITS

Json = Any

# The step of a management case that the recording names, and the method that takes it here.
LIFECYCLE_STEPS = {
    "begin": "start",
    "drain": "drain",
    "emptied": "complete_drain",
    "end": "begin_shutdown",
}


class _CallStream:
    """A caller that sends some bytes and then nothing, or its end."""

    def __init__(self, data: bytes, ends: bool) -> None:
        self.buffer, self.ends = bytearray(data), ends

    def fill(self, _seconds: float) -> None:
        """Nothing more comes."""
        if self.ends:
            raise Closed("the end")
        raise TimeoutError


def management_call(steps: list[Json], call: bytes, now: float) -> Json:
    """Make a call in the state that some steps lead to.

    Returns:
        The bytes that answer it, the state then, and how often it changed.
    """
    lifecycle = Lifecycle(0.5, 1.8)
    for step, *words in steps:
        if step == "followed":
            lifecycle.has_successor = True
        else:
            getattr(lifecycle, LIFECYCLE_STEPS[step])(*words)
    changes: list[None] = []
    scheduler = Scheduler(monotonic=lambda: now)
    scheduler.unix_offset = 0.0
    server = ManagementServer(
        scheduler, LIMITS, lifecycle, lambda: changes.append(None), lambda _error: False
    )
    server.handlers[b"/-/agreement"] = lambda fields, body: HttpResponse(
        200,
        body[::-1],
        {"petrellane-seal": fields.get(b"petrellane-seal", b"none").decode()},
    )
    answer = server._answer(_CallStream(call, False), now + 1.0)
    return {
        "answer": answer.decode("latin-1"),
        "state": lifecycle.reported_state,
        "changed": len(changes),
    }
