"""One JSON line an event, on a descriptor that may be slow: writing never waits, and what is too much is dropped."""

import os
import traceback
from collections import deque

import orjson


class Logger:
    def __init__(self, descriptor, name, clock, most):
        self.descriptor, self.name, self.clock, self.most = descriptor, name, clock, most
        self.waiting, self.dropped = deque(), 0
        os.set_blocking(descriptor, False)

    def event(self, event, **figures):
        """Log an event with its figures."""
        if len(self.waiting) >= self.most:
            self.dropped += 1
            return
        if self.dropped and event != "log_dropped":
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)
        line = {"at": round(self.clock(), 6), "gateway": self.name, "event": event, **figures}
        self.waiting.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.flush()

    def fault(self, error):
        """Log an exception that nothing else caught."""
        self.event(
            "fault",
            error=f"{type(error).__name__}: {error}",
            trace="".join(traceback.format_exception(error)[-4:]),
        )

    def flush(self):
        """Write what the descriptor takes; the rest goes with a later event or the next look round."""
        while self.waiting:
            try:
                taken = os.write(self.descriptor, self.waiting[0])
            except BlockingIOError:
                return
            except OSError:  # nobody reads the log
                self.waiting.clear()
                return
            line = self.waiting.popleft()
            if taken < len(line):
                self.waiting.appendleft(line[taken:])
