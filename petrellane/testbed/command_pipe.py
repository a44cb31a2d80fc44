"""Commands that the testbed sends to a process of a scale run: one per line, over a pipe."""

import os
import select
from collections.abc import Callable, Mapping

from petrellane.net.scheduler import Scheduler

READ_SIZE = 4096


class CommandPipe:
    """Reads commands from a pipe and calls their handlers, for the lifetime of the process."""

    def __init__(
        self, scheduler: Scheduler, descriptor: int, handlers: Mapping[str, Callable[[], object]]
    ) -> None:
        """Register the pipe with the scheduler.

        Args:
            scheduler: The scheduler of this process.
            descriptor: The open descriptor of the pipe's read end.
            handlers: The handlers by command; commands without a handler are ignored.
        """
        self._descriptor = descriptor
        self._handlers = handlers
        self._buffer = b""
        os.set_blocking(descriptor, False)
        scheduler.register(descriptor, select.POLLIN, self._on_readable)

    def _on_readable(self, _: int) -> None:
        data = os.read(self._descriptor, READ_SIZE)
        if not data:  # the testbed has exited, so this process exits too
            os._exit(1)
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            handler = self._handlers.get(line.decode())
            if handler is not None:
                handler()
