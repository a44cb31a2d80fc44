"""The client of the shared counter.

Additions go out on few connections, each on an idle one where there is one: an answer that is
malformed ends its connection, and with it whatever waits behind. An addition is reported late by
our own clock.
When an addition is made, and of how much, is decided elsewhere.
"""

from __future__ import annotations

import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from petrellane.decisions.actions import CounterAdd
from petrellane.decisions.types import ERROR, FULL, LATE, OK, RESET, UNREACHABLE
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.decisions.types import Outcome
    from petrellane.gateway.client_request import Span
    from petrellane.gateway.runtime import Address, Runtime
    from petrellane.net.scheduler import Timer

# Types of answers, by their first byte.
BULK_STRING = ord("$")
ERROR_LINE = ord("-")


class PendingAdd:
    """One addition, from `CounterClient.send` until its outcome is reported.

    `end_offset` is the number of bytes that its connection's stream has sent once the addition is
    completely out; None while it is not written.
    """

    __slots__ = ("add", "end_offset", "is_reported", "sent_at", "timer")

    def __init__(self, add: CounterAdd, sent_at: float) -> None:
        self.add = add
        self.sent_at = sent_at
        self.timer: Timer  # set at once by who makes it
        self.end_offset: int | None = None
        self.is_reported = False


class CounterConnection:
    """One connection to the counter; answers come in the order of the additions.

    Made and listed by its `CounterClient`, until `end`. Owns its stream with the socket, and the
    additions on it.
    """

    def __init__(self, client: CounterClient) -> None:
        self.client = client
        self.address = client.address
        self.stream: Stream | None = None
        self.pending: deque[PendingAdd] = deque()
        self.last_used_at: float = client.scheduler.now()

    def run(self) -> None:
        """Dial, write what waits, and read answers until the connection ends."""
        try:
            self._serve()
        except resp.Malformed:
            if self.pending:  # its answer came: it was added, to what total is not known
                self.client.report(self.pending.popleft(), ERROR, 0.0)
            self.end()
        except (OSError, Closed):
            self.end()

    def _serve(self) -> None:
        client = self.client
        stream = Stream.dial(
            client.scheduler, client.limits, self.address, client.limits.counter_timeout
        )
        self.stream = stream
        for pending in [pending for pending in self.pending if pending.is_reported]:
            self.pending.remove(pending)  # its time is over, and it was never written
        for pending in self.pending:
            self._write(stream, pending)
        while self in client.connections:  # it may have been ended while it dialed
            self._read_answers(stream)
            if not self.pending and self.address != client.address:
                break
            stream.fill()
        self.end()

    def send(self, pending: PendingAdd) -> None:
        """Send an addition, once the connection is up."""
        self.pending.append(pending)
        if self.stream:
            self._write(self.stream, pending)

    def _write(self, stream: Stream, pending: PendingAdd) -> None:
        add = pending.add
        amount = f"{add.amount:.7f}".rstrip("0").rstrip(".")
        ttl_ms = max(1, int(add.ttl * 1e3))
        stream.write(
            resp.encode_command(b"CNT.ADD", b"%d" % add.name, amount.encode(), b"%d" % ttl_ms)
        )
        pending.end_offset = stream.bytes_queued
        self.last_used_at = self.client.scheduler.now()

    def _read_answers(self, stream: Stream) -> None:
        """Take the answers that have come completely.

        Answers to additions that are already reported late are discarded.
        """
        buffer = stream.buffer
        while found := resp.parse_reply(buffer, 0, self.client.limits):
            kind, content, end = found
            if not self.pending:
                raise resp.Malformed("an answer to nothing")
            outcome, total = self._decode_answer(buffer, kind, content)
            del buffer[:end]
            self.client.report(self.pending.popleft(), outcome, total)

    @staticmethod
    def _decode_answer(
        buffer: bytearray, kind: int, content: Span | list[Span | None] | None
    ) -> tuple[Outcome, float]:
        """Return an answer's outcome and total.

        Raises:
            Malformed: It has none of the forms of an answer.
        """
        if kind == BULK_STRING and isinstance(content, tuple):
            try:
                total = float(bytes(buffer[slice(*content)]))
            except ValueError:
                total = math.nan
            if not math.isfinite(total):
                raise resp.Malformed("a total out of form")
            return OK, total
        if kind != ERROR_LINE:
            raise resp.Malformed("an answer out of form")
        return FULL, 0.0  # rejected: nothing was added

    def is_stuck(self, now: float) -> bool:
        """Return whether an answer is due for so long that nothing should wait behind it."""
        timeout = self.client.limits.counter_timeout
        return bool(self.pending) and now - self.pending[0].sent_at > timeout

    def end(self) -> None:
        """Close the connection, and report the additions on it as the socket proves them."""
        if self.stream:
            self.stream.close()
        if self in self.client.connections:
            self.client.connections.remove(self)
        unanswered = self.pending
        self.pending = deque()
        for pending in unanswered:
            is_written = (
                self.stream is not None
                and pending.end_offset is not None
                and pending.end_offset <= self.stream.bytes_sent
            )
            self.client.report(pending, RESET if is_written else UNREACHABLE, 0.0)


class CounterClient:
    """Executes additions to the shared counter.

    Made by `GatewayProcess` where a counter is configured, for the life of the process. Owns its
    connections, the additions' timers, and a timer that retires idle connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        on_reply: Callable[[CounterAdd, Outcome, float], object],
    ) -> None:
        """Begin with no connection.

        Args:
            runtime: Scheduler, limits and log.
            address: Where the counter is.
            on_reply: Called once per addition with its outcome and, where that is ok, the total.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.address = address
        self.on_reply = on_reply
        self.connections: list[CounterConnection] = []
        self.scheduler.call_later(self.limits.check_interval, self._retire_idle)

    def send(self, add: CounterAdd) -> None:
        """Send an addition; its outcome is reported once."""
        pending = PendingAdd(add, self.scheduler.now())
        on_late = partial(self._on_late, pending)
        pending.timer = self.scheduler.call_later(self.limits.counter_timeout, on_late)
        self._connection_for(pending.sent_at).send(pending)

    def move(self, address: Address) -> None:
        """Use another address from now on.

        What is written on old connections is settled there; what is not goes to the new address.
        """
        self.address = address
        for connection in list(self.connections):
            before = connection.pending
            connection.pending = deque(
                pending for pending in before if pending.end_offset is not None
            )
            if not connection.pending:
                connection.end()
            for pending in before:
                if pending.end_offset is None and not pending.is_reported:
                    self._connection_for(self.scheduler.now()).send(pending)

    def _connection_for(self, now: float) -> CounterConnection:
        """Return an idle connection, a new one, or the one with the fewest additions on it."""
        usable = [each for each in self.connections if each.address == self.address]
        # The last one used first, so that others can be retired.
        idle = [connection for connection in usable if not connection.pending]
        for connection in sorted(idle, key=_last_used_at, reverse=True):
            stream = connection.stream
            if stream and stream.is_read_idle() and not stream.buffer:
                return connection
            connection.end()  # spoilt, or ended by the counter
            usable.remove(connection)
        if len(usable) >= self.limits.counter_connections:
            answering = [connection for connection in usable if not connection.is_stuck(now)]
            if answering:
                return min(answering, key=_pending_count)
            usable[0].end()  # the counter is silent on it
        connection = CounterConnection(self)
        self.connections.append(connection)
        self.scheduler.spawn(connection.run)
        return connection

    def _on_late(self, pending: PendingAdd) -> None:
        self.report(pending, LATE if pending.end_offset else UNREACHABLE, 0.0)

    def report(self, pending: PendingAdd, outcome: Outcome, total: float) -> None:
        """Report what became of an addition, once, at the end of this turn."""
        if not pending.is_reported:
            pending.is_reported = True
            pending.timer.cancel()
            self.scheduler.call_soon(self.on_reply, pending.add, outcome, total)

    def _retire_idle(self) -> None:
        """Retire idle connections before the counter does."""
        self.scheduler.call_later(self.limits.check_interval, self._retire_idle)
        before = self.scheduler.now() - self.limits.counter_idle_timeout
        for connection in list(self.connections):
            is_idle = not connection.pending or connection.address != self.address
            if connection.stream and is_idle and connection.last_used_at < before:
                connection.end()


def _last_used_at(connection: CounterConnection) -> float:
    return connection.last_used_at


def _pending_count(connection: CounterConnection) -> int:
    return len(connection.pending)
