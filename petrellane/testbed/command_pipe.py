"""Commands that the testbed gives a process of a scale run, one a line on a pipe."""

import os
import select
from collections.abc import Callable, Mapping

from petrellane.net.scheduler import Scheduler

READ_SIZE = 4096


class CommandPipe:
    """The reading end of a pipe, for as long as the process lives."""

    def __init__(
        self, scheduler: Scheduler, descriptor: int, handlers: Mapping[str, Callable[[], object]]
    ) -> None:
        """Watch a pipe.

        Args:
            scheduler: Of this process.
            descriptor: The reading end, open.
            handlers: Called by command; other commands are ignored.
        """
        self._descriptor = descriptor
        self._handlers = handlers
        self._buffer = b""
        os.set_blocking(descriptor, False)
        scheduler.register(descriptor, select.POLLIN, self._on_readable)

    def _on_readable(self, _: int) -> None:
        data = os.read(self._descriptor, READ_SIZE)
        if not data:  # the testbed has ended, and this process with it
            os._exit(1)
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            handler = self._handlers.get(line.decode())
            if handler is not None:
                handler()
