"""Signals as calls of the scheduler: a signal wakes the poll, and its call is made in a turn."""

from __future__ import annotations

import select
import signal
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from types import FrameType

    from petrellane.net.scheduler import Scheduler

READ_SIZE = 64
"""Signals that are read at once; the kernel writes a byte for each."""


class SignalWatch:
    """Makes a call per signal, by the signal's number.

    Made once per process, by `GatewayProcess`, and kept until its end. Owns the two sockets that
    carry signals to the poll. Signals that were blocked since the start of the process are
    delivered once it is made.
    """

    def __init__(self, scheduler: Scheduler, calls: Mapping[int, Callable[[], object]]) -> None:
        self.calls = calls
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, _ignore)
        scheduler.register(self.reader.fileno(), select.POLLIN, self._on_signals)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, calls)

    def _on_signals(self, _events: int) -> None:
        for number in self.reader.recv(READ_SIZE):
            if number in self.calls:
                self.calls[number]()


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Do nothing: the byte that the signal writes has its call made."""
