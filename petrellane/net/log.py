"""Structured log with one JSON object per line, written to a descriptor without blocking.

The logger queues lines that the descriptor does not accept, up to a limit. It drops further lines
and reports their number in a later `log_dropped` event.
"""

import os
import traceback
from collections import deque
from collections.abc import Callable

import orjson

MAX_TRACE_ENTRIES = 4  # entries of a formatted traceback that a `fault` event contains


class Logger:
    """The log of one process, which creates it at the start and uses it until the exit."""

    def __init__(
        self, descriptor: int, name: str, clock: Callable[[], float], max_lines: int
    ) -> None:
        """Create a log and set its descriptor to non-blocking mode.

        Args:
            descriptor: The open descriptor that receives the lines.
            name: The gateway's name, which every line contains.
            clock: A function that returns the Unix time in seconds.
            max_lines: The maximum number of queued lines.
        """
        self.descriptor = descriptor
        self.name = name
        self.clock = clock
        self.max_lines = max_lines
        self.pending_lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: object) -> None:
        """Log an event with its fields; `str` converts values that JSON cannot represent."""
        if len(self.pending_lines) >= self.max_lines:
            self.dropped += 1
            return
        if self.dropped and event != "log_dropped":
            dropped = self.dropped
            self.dropped = 0
            self.event("log_dropped", lines=dropped)
        line = {"at": round(self.clock(), 6), "gateway": self.name, "event": event, **fields}
        self.pending_lines.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.flush()

    def fault(self, error: BaseException) -> None:
        """Log an unhandled exception with the end of its traceback."""
        self.event(
            "fault",
            error=f"{type(error).__name__}: {error}",
            trace=_format_trace(error),
        )

    def flush(self) -> None:
        """Write queued lines until the descriptor would block; a later call writes the rest."""
        while self.pending_lines:
            try:
                written = os.write(self.descriptor, self.pending_lines[0])
            except BlockingIOError:
                return
            except OSError:  # the reader has closed the log
                self.pending_lines.clear()
                return
            line = self.pending_lines.popleft()
            if written < len(line):
                self.pending_lines.appendleft(line[written:])


def _format_trace(error: BaseException) -> str:
    """Return the last entries of an exception's formatted traceback."""
    return "".join(traceback.format_exception(error)[-MAX_TRACE_ENTRIES:])
