"""The client of the shared counter.

The client keeps a few connections. It prefers an idle one for each addition, because a malformed
reply ends its connection and fails the additions that are pending behind it. The timeout of an
addition runs on the gateway's clock. The decisions choose when to add and how much.
"""

from __future__ import annotations

import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from petrellane.decisions.actions import CounterAdd
from petrellane.decisions.types import ERROR, FULL, LATE, NEVER_SENT, OK, RESET, UNREACHABLE
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.decisions.types import Outcome
    from petrellane.gateway.client_request import Span
    from petrellane.gateway.runtime import Address, Runtime
    from petrellane.net.buffers import ReceiveBuffer
    from petrellane.net.scheduler import Timer

# Reply types, by their first byte.
BULK_STRING = ord("$")
ERROR_LINE = ord("-")

MILLISECONDS = 1e3


class PendingAdd:
    """One addition, from `CounterClient.send` until its outcome is reported.

    `command` is what is written. `end_offset` is the value of the stream's `bytes_sent` at which
    the whole addition has been sent. It is None until the addition is written.
    """

    __slots__ = ("add", "command", "end_offset", "is_reported", "sent_at", "timer")

    def __init__(self, add: CounterAdd, sent_at: float) -> None:
        self.add = add
        self.command: bytes  # set by `CounterClient.send`
        self.sent_at = sent_at
        self.timer: Timer  # set by `CounterClient.send`
        self.end_offset: int | None = None
        self.is_reported = False


class CounterConnection:
    """One connection to the counter, which replies in the order of the additions.

    `CounterClient` creates it and keeps it in its list until `end`. It owns its stream, which holds
    the socket, and the additions that are pending on it.
    """

    def __init__(self, client: CounterClient) -> None:
        self.client = client
        self.address = client.address
        self.stream: Stream | None = None
        self.pending: deque[PendingAdd] = deque()
        self.last_used_at: float = client.scheduler.now()

    def run(self) -> None:
        """Connect, write the queued additions, and read replies until the connection ends."""
        try:
            self._serve()
        except resp.Malformed:
            if self.pending:  # the counter executed the addition; the total is unknown
                self.client.report(self.pending.popleft(), ERROR, 0.0)
        except (OSError, Closed):
            pass
        finally:
            self.end()

    def _serve(self) -> None:
        client = self.client
        stream = Stream.dial(
            client.scheduler, client.limits, self.address, client.limits.counter_timeout
        )
        self.stream = stream
        for pending in [pending for pending in self.pending if pending.is_reported]:
            self.pending.remove(pending)  # timed out before it was written
        for pending in self.pending:
            self._write(stream, pending)
        while self in client.connections:  # `end` may have run during the dial
            self._read_replies(stream)
            if not self.pending and self.address != client.address:
                break
            stream.fill()

    def send(self, pending: PendingAdd) -> None:
        """Write an addition, or queue it until the connection is established."""
        self.pending.append(pending)
        if self.stream:
            self._write(self.stream, pending)

    def _write(self, stream: Stream, pending: PendingAdd) -> None:
        pending.end_offset = stream.bytes_queued + len(pending.command)
        stream.write(pending.command)
        self.last_used_at = self.client.scheduler.now()

    def _read_replies(self, stream: Stream) -> None:
        """Process the replies that are complete in the buffer.

        The reply to an addition that has timed out is discarded.
        """
        buffer = stream.buffer
        while found := resp.parse_reply(buffer, 0, self.client.limits):
            kind, content, end = found
            if not self.pending:
                raise resp.Malformed("reply without a pending addition")
            outcome, total = self._decode_reply(buffer, kind, content)
            buffer.consume(end)
            self.client.report(self.pending.popleft(), outcome, total)

    @staticmethod
    def _decode_reply(
        buffer: ReceiveBuffer, kind: int, content: Span | list[Span | None] | None
    ) -> tuple[Outcome, float]:
        """Return the outcome and the total of a reply.

        Raises:
            Malformed: The reply is neither a finite total nor an error line.
        """
        if kind == BULK_STRING and isinstance(content, tuple):
            try:
                total = float(bytes(buffer[slice(*content)]))
            except ValueError:
                total = math.nan
            if not math.isfinite(total):
                raise resp.Malformed("counter total: expected a finite number")
            return OK, total
        if kind != ERROR_LINE:
            raise resp.Malformed(f"counter reply without a total or an error: type {chr(kind)!r}")
        return FULL, 0.0  # the counter rejected the addition: nothing was added

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest addition has waited for its reply longer than the timeout.

        No further addition is queued on such a connection.
        """
        timeout = self.client.limits.counter_timeout
        return bool(self.pending) and now - self.pending[0].sent_at > timeout

    def end(self) -> None:
        """Close the connection and report the pending additions.

        An addition that was sent completely ends `RESET`, as the counter may have executed it. Any
        other ends `UNREACHABLE`.
        """
        if self.stream:
            self.stream.close()
        if self in self.client.connections:
            self.client.connections.remove(self)
        unanswered = self.pending
        self.pending = deque()
        for pending in unanswered:
            is_fully_sent = (
                self.stream is not None
                and pending.end_offset is not None
                and pending.end_offset <= self.stream.bytes_sent
            )
            self.client.report(pending, RESET if is_fully_sent else UNREACHABLE, 0.0)


class CounterClient:
    """Sends additions to the shared counter.

    `GatewayProcess` creates it if a counter is configured, and keeps it until the process ends. It
    owns its connections, the timers of the additions, and a timer that closes idle connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        on_reply: Callable[[CounterAdd, Outcome, float], object],
    ) -> None:
        """Start without a connection.

        Args:
            runtime: The scheduler, the limits and the log.
            address: The address of the counter.
            on_reply: Called once per addition with the addition, its outcome and the total, which
                is meaningful only if the outcome is `OK`.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.log = runtime.log
        self.address = address
        self.on_reply = on_reply
        self.connections: list[CounterConnection] = []
        self.scheduler.call_later(self.limits.check_interval, self._close_idle)

    def send(self, add: CounterAdd) -> None:
        """Send an addition and report its outcome exactly once.

        An addition that cannot be written ends `NEVER_SENT`, and no reply is awaited for it.
        """
        pending = PendingAdd(add, self.scheduler.now())
        on_timeout = partial(self._on_timeout, pending)
        pending.timer = self.scheduler.call_later(self.limits.counter_timeout, on_timeout)
        try:
            pending.command = encode_add(add)
            self._connection_for(pending.sent_at).send(pending)
        except Exception as error:  # the decisions wait for the outcome of each addition
            self.log.fault(error)
            self._withdraw(pending)

    def _withdraw(self, pending: PendingAdd) -> None:
        """Report an addition that could not be sent.

        A connection on which it is pending ends, because its replies could be taken for others.
        """
        for connection in [each for each in self.connections if pending in each.pending]:
            connection.end()
        self.report(pending, NEVER_SENT, 0.0)

    def change_address(self, address: Address) -> None:
        """Use another address from now on.

        Additions that are already written complete on their old connections. The others are sent to
        the new address.
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
        """Return an idle connection, a new one, or the one with the fewest pending additions."""
        usable = [each for each in self.connections if each.address == self.address]
        # Prefers the most recently used connection, so that the others become idle and close.
        idle = [connection for connection in usable if not connection.pending]
        for connection in sorted(idle, key=_last_used_at, reverse=True):
            stream = connection.stream
            if stream and stream.is_read_idle() and not stream.buffer:
                return connection
            connection.end()  # holds unexpected bytes, or the counter closed it
            usable.remove(connection)
        if len(usable) >= self.limits.counter_connections:
            responsive = [connection for connection in usable if not connection.is_stalled(now)]
            if responsive:
                return min(responsive, key=_pending_count)
            usable[0].end()  # the counter does not reply on it
        connection = CounterConnection(self)
        self.connections.append(connection)
        self.scheduler.spawn(connection.run)
        return connection

    def _on_timeout(self, pending: PendingAdd) -> None:
        self.report(pending, LATE if pending.end_offset else UNREACHABLE, 0.0)

    def report(self, pending: PendingAdd, outcome: Outcome, total: float) -> None:
        """Report the outcome of an addition, once, at the end of this turn."""
        if not pending.is_reported:
            pending.is_reported = True
            pending.timer.cancel()
            self.scheduler.call_soon(self.on_reply, pending.add, outcome, total)

    def _close_idle(self) -> None:
        """Close idle connections and unused ones to an old address before the counter does."""
        self.scheduler.call_later(self.limits.check_interval, self._close_idle)
        before = self.scheduler.now() - self.limits.counter_idle_timeout
        for connection in list(self.connections):
            is_idle = not connection.pending or connection.address != self.address
            if connection.stream and is_idle and connection.last_used_at < before:
                connection.end()


def encode_add(add: CounterAdd) -> bytes:
    """Return the command of an addition.

    Raises:
        ValueError: The amount or the time to live is not a finite number.
    """
    if not (math.isfinite(add.amount) and math.isfinite(add.ttl)):
        raise ValueError(f"addition of {add.amount} for {add.ttl} s: expected finite numbers")
    amount = f"{add.amount:.7f}".rstrip("0").rstrip(".")
    ttl_ms = max(1, int(add.ttl * MILLISECONDS))
    return resp.encode_command(b"CNT.ADD", b"%d" % add.name, amount.encode(), b"%d" % ttl_ms)


def _last_used_at(connection: CounterConnection) -> float:
    return connection.last_used_at


def _pending_count(connection: CounterConnection) -> int:
    return len(connection.pending)
