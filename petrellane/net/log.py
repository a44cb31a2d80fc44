"""Structured log: one JSON object a line, on a descriptor whose reader may be slow.

Writing never blocks. Lines that the descriptor does not take are queued up to a bound, and what
exceeds it is dropped and counted in a later `log_dropped` event.
"""

import os
import traceback
from collections import deque
from collections.abc import Callable

import orjson

TRACE_ENTRIES = 4  # last entries of a formatted exception that an event carries


class Logger:
    """The log of one process, made at start and used until its end."""

    def __init__(
        self, descriptor: int, name: str, clock: Callable[[], float], max_lines: int
    ) -> None:
        """Make a log.

        Args:
            descriptor: Where lines are written; it is made non-blocking.
            name: The gateway's name, in every line.
            clock: Returns Unix time in seconds.
            max_lines: How many lines may wait to be written.
        """
        self.descriptor = descriptor
        self.name = name
        self.clock = clock
        self.max_lines = max_lines
        self.pending_lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, **figures: object) -> None:
        """Log an event with its figures; what is not JSON is written as its `str`."""
        if len(self.pending_lines) >= self.max_lines:
            self.dropped += 1
            return
        if self.dropped and event != "log_dropped":
            dropped = self.dropped
            self.dropped = 0
            self.event("log_dropped", lines=dropped)
        line = {"at": round(self.clock(), 6), "gateway": self.name, "event": event, **figures}
        self.pending_lines.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.flush()

    def fault(self, error: BaseException) -> None:
        """Log an exception that nothing else caught."""
        self.event(
            "fault",
            error=f"{type(error).__name__}: {error}",
            trace=_format_trace(error),
        )

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest goes with a later event or flush."""
        while self.pending_lines:
            try:
                written = os.write(self.descriptor, self.pending_lines[0])
            except BlockingIOError:
                return
            except OSError:  # nobody reads the log any more
                self.pending_lines.clear()
                return
            line = self.pending_lines.popleft()
            if written < len(line):
                self.pending_lines.appendleft(line[written:])


def _format_trace(error: BaseException) -> str:
    """Return the last entries of an exception's traceback."""
    return "".join(traceback.format_exception(error)[-TRACE_ENTRIES:])
