"""The input of one client that is not handled yet, as the memory account counts it.

A partly received command is accounted for by its bytes. A long one waits, without being read, until
there is memory for it; `ClientConnection.shed` refuses a command that waits too long or stalls.
"""

from __future__ import annotations

import enum
import socket
from typing import TYPE_CHECKING

from petrellane.gateway.client_request import find_timeout
from petrellane.gateway.connection_part import ConnectionPart
from petrellane.net import resp

if TYPE_CHECKING:
    from petrellane.gateway.client_connection import ClientConnection
    from petrellane.net.stream import Stream


class ShedReason(enum.Enum):
    """Why an incomplete command is refused; the value is the word that the log counts it under."""

    INPUT_FULL = "input full"
    BODIES_FULL = "bodies full"
    NO_MEMORY_IN_TIME = "no memory in time"
    BEHIND_REPLIES = "behind replies"
    STALLED = "stalled"
    EVICTED = "evicted"


class ClientInput(ConnectionPart):
    """The unhandled input of one client connection.

    Attributes:
        stream: The stream of the connection.
        is_waiting: Whether all complete commands have been handled.
        expected_size: The size that the partial command has at least, in bytes; 0 if unknown.
        last_input_at: The Unix time at which bytes of a partial command were last read.
        body_wait: The seconds for which the current long command has waited for memory.
    """

    def __init__(self, connection: ClientConnection, stream: Stream) -> None:
        super().__init__(connection)
        self.stream = stream
        self.is_waiting = False
        self.expected_size = 0
        self.last_input_at = connection.connected_at
        self.body_wait = 0.0
        self._has_large_receive_buffer = False

    def on_commands_handled(self) -> None:
        """Account for what is left after commands at the front of the buffer were handled."""
        memory = self.connection.listener.memory
        if memory.is_counting(self.connection):
            self.body_wait = 0.0
            memory.bodies.set(self.connection, 0)
            self.account_for_buffer()

    def is_partial_command(self) -> bool:
        """Return whether the connection holds the beginning of a command, and nothing complete."""
        return self.is_waiting and bool(self.stream.buffer) and not self.connection.is_closing

    def account_for_partial_command(self) -> None:
        """Account for a partly received command; wait for memory if it is a long one."""
        listener = self.connection.listener
        memory = listener.memory
        limits = listener.limits
        buffer = self.stream.buffer
        if len(buffer) <= limits.uncounted_size:
            if memory.is_counting(self.connection):
                memory.forget_input(self.connection)
            return
        if len(buffer) < self.expected_size:  # no need to parse it again
            if self.connection in memory.bodies.holdings:
                memory.bodies.set(self.connection, buffer.memory)
                self._wait_for_body_memory(limits.body_wait_timeout)
                return
            if self.connection in memory.input.holdings:
                self._account_for_short_command()
                return
        command = resp.parse_partial_command(buffer, limits)
        self.expected_size = command.size
        if command.size > limits.max_frame_size:
            memory.input.set(self.connection, 0)
            memory.bodies.set(self.connection, buffer.memory)
            self._wait_for_body_memory(self._body_wait_timeout(command.spans))
            return
        self._account_for_short_command()

    def _account_for_short_command(self) -> None:
        """Account for a part of a command that has made progress; refuse others if need be."""
        listener = self.connection.listener
        share = listener.memory.input
        share.set(self.connection, self.stream.buffer.memory)
        share.move_to_end(self.connection)
        listener.memory_monitor.shed_partial_commands()

    def _body_wait_timeout(self, spans: list[resp.Span]) -> float:
        """Return how long a long command may wait for memory, so that its client hears in time.

        Args:
            spans: The parts of the command that have arrived.
        """
        limits = self.connection.listener.limits
        timeout: float = limits.body_wait_timeout
        if len(spans) >= resp.BODY_INDEX:
            fields = bytes(self.stream.buffer[slice(*spans[resp.BODY_INDEX - 1])])
            timeout = min(timeout, find_timeout(fields) or timeout)
        return timeout

    def _wait_for_body_memory(self, timeout: float) -> None:
        """Read no more of a long command until there is memory; refuse it if that takes too long.

        A long command has no deadline while its bytes keep arriving.
        """
        connection = self.connection
        listener = connection.listener
        bodies = listener.memory.bodies
        monitor = listener.memory_monitor
        monitor.shed_long_commands(connection)
        connection.command_deadline = None
        if bodies.is_first(connection):
            self._enlarge_receive_buffer()
        if bodies.has_room(connection):
            return
        if connection.pending_replies:  # a disconnect is not seen while reading is paused
            connection.shed(ShedReason.BEHIND_REPLIES)
            return
        started_at = listener.scheduler.now()
        monitor.short_until = started_at + listener.limits.shortage_time
        monitor.waiting_bodies += 1
        self.stream.set_reading_paused(True)
        try:
            while not bodies.has_room(connection) and not connection.is_closing:
                if listener.scheduler.now() - started_at > timeout - self.body_wait:
                    connection.shed(ShedReason.NO_MEMORY_IN_TIME)
                    break
                listener.scheduler.wait(listener.limits.client_poll_interval)
                connection.raise_if_broken()
        finally:
            monitor.waiting_bodies -= 1
            self.body_wait += listener.scheduler.now() - started_at
            self.last_input_at = listener.scheduler.now()
            self.stream.set_reading_paused(False)

    def _enlarge_receive_buffer(self) -> None:
        """Have the kernel receive in larger pieces, as the gateway reads all of them at once."""
        if not self._has_large_receive_buffer:
            self._has_large_receive_buffer = True
            size = self.connection.listener.limits.body_receive_buffer
            self.stream.limit_kernel_buffer(socket.SO_RCVBUF, size)

    def account_for_buffer(self) -> None:
        """Account for all bytes that have been read and not handled."""
        size = self.stream.buffer.memory
        is_counted = size > self.connection.listener.limits.uncounted_size
        self.connection.listener.memory.input.set(self.connection, size if is_counted else 0)

    def command_deadline(self, now: float) -> float:
        """Return the Unix time by which the client has to send more of its command.

        The client may have stopped before the gateway had read what it had sent.
        """
        connection = self.connection
        listener = connection.listener
        limits = listener.limits
        if connection in listener.memory.bodies.holdings:
            started_at = max(connection.connected_since, self.stream.empty_at) - self.body_wait
            pause = limits.min_body_timeout
            if connection in listener.silent and now < listener.memory_monitor.short_until:
                started_at = connection.connected_since
                time_left = started_at + limits.first_body_timeout - now
                pause = min(pause, max(limits.min_body_timeout_on_shortage, time_left))
            return max(now + pause, started_at + limits.body_timeout)
        started_at = connection.connected_since if connection in listener.silent else now
        return started_at + limits.command_timeout
