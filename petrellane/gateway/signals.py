"""Delivers signals to the scheduler: a signal wakes the poll, and its handler runs in a turn."""

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
"""The bytes that one call reads; the interpreter writes one for each signal."""


class SignalDispatcher:
    """Calls the handler of each signal in a turn of the scheduler.

    `GatewayProcess` creates one per process and keeps it until the process ends. It owns the two
    sockets that carry signals to the poll. It unblocks the signals that have a handler; those that
    have been pending since the start of the process are then delivered.
    """

    def __init__(self, scheduler: Scheduler, handlers: Mapping[int, Callable[[], object]]) -> None:
        self.handlers = handlers
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, _ignore)
        scheduler.register(self.reader.fileno(), select.POLLIN, self._on_signals)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)

    def _on_signals(self, _events: int) -> None:
        for number in self.reader.recv(READ_SIZE):
            if number in self.handlers:
                self.handlers[number]()


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Do nothing: `_on_signals` calls the handler when it reads the byte of the signal."""
