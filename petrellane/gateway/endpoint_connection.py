"""One connection to an endpoint, and the attempts that are in flight on it.

The endpoint replies to attempts in the order in which they were written. The outcome of an attempt
follows from the state of the socket: the endpoint cannot have executed an attempt if the connection
failed before the last byte of the attempt was sent, and may have executed it if the connection
failed later. `endpoint_pool` chooses the connection for each attempt.
"""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.types import (
    CANCELLED,
    ERROR,
    FULL,
    LATE,
    NEVER_SENT,
    OK,
    RESET,
    UNREACHABLE,
    Outcome,
)
from petrellane.gateway.response_relay import ResponseRelay
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream

if TYPE_CHECKING:
    from petrellane.decisions.actions import SendAttempt
    from petrellane.gateway.client_request import ClientRequest, Span
    from petrellane.gateway.endpoint_pool import EndpointPool
    from petrellane.net.buffers import HeldBytes, ReceiveBuffer
    from petrellane.net.scheduler import Timer

# The outcomes that are reported when an attempt is abandoned, before its connection ends: a late
# attempt is not retried, and one that was never sent completely cannot have run.
FINAL_WHEN_ABANDONED = (LATE, NEVER_SENT)

# Reply types, by their first byte.
ARRAY = ord("*")
ERROR_LINE = ord("-")


TRANSFER_SHARE = 0.5  # of the time that is left, for the transfer of a long command


class DecodedReply(NamedTuple):
    """A decoded reply: the outcome, the value, and the load report that it carries."""

    outcome: Outcome
    value: HeldBytes
    report: bytes


class PendingAttempt:
    """An attempt, from `EndpointPools.send` until its outcome is reported.

    Attributes:
        request: The request of the client.
        attempt: The attempt as the decisions describe it.
        pool: The pool of its endpoint; None if the endpoint takes no attempts.
        deadline: The deadline, in Unix seconds.
        connection: The connection that the attempt is written to; None until then.
        timer: The timer of `send_by` or of the deadline.
        transfer_timer: The timer of the time for the transfer of a long command.
        end_offset: The value of the stream's `bytes_sent` at which the whole attempt has been sent.
            None until the attempt is written.
        is_relaying: Whether the gateway has started to relay its response to the client.
        abandoned_as: The outcome that is reported when the connection ends, if the gateway has
            abandoned the attempt; None if it has not.
    """

    __slots__ = (
        "abandoned_as",
        "attempt",
        "connection",
        "deadline",
        "end_offset",
        "is_relaying",
        "pool",
        "request",
        "timer",
        "transfer_timer",
    )

    def __init__(
        self,
        request: ClientRequest,
        attempt: SendAttempt,
        pool: EndpointPool | None,
        deadline: float,
    ) -> None:
        """Start an attempt; `pool` is None if its endpoint takes no attempts."""
        self.request = request
        self.attempt = attempt
        self.pool = pool
        self.deadline = deadline
        self.connection: EndpointConnection | None = None
        self.timer: Timer | None = None
        self.transfer_timer: Timer | None = None
        self.end_offset: int | None = None
        self.is_relaying = False
        self.abandoned_as: Outcome | None = None

    def cancel_timers(self) -> None:
        """Cancel the timers, which hold the request and its command until they are due."""
        for timer in (self.timer, self.transfer_timer):
            if timer:
                timer.cancel()


class EndpointConnection:
    """One connection to an endpoint.

    `EndpointPool` creates it, and lists it as idle or busy from the end of the dial until `end`. It
    owns its stream, which holds the socket, the attempts in flight, and the relay of a long
    response.
    """

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.address = pool.address
        self.started_at = pool.started_at  # of the process that the connection was opened to
        self.stream: Stream  # set when the dial succeeds
        self.in_flight: deque[PendingAttempt] = deque()
        self.idle_since = 0.0
        self.last_reply_at = 0.0  # 0 until the first reply
        self.is_draining = False
        self.is_ended = False
        # The relay of a long response, the bytes of its value that are still to be read, and the
        # number of items in the reply array.
        self.relay: ResponseRelay | None = None
        self.relay_bytes_left = 0
        self.relay_item_count = 0

    def run(self) -> None:
        """Dial, then read replies until the connection ends."""
        pool = self.pool
        pools = pool.pools
        try:
            self.stream = Stream.dial(
                pools.scheduler,
                pools.limits,
                self.address,
                pools.limits.dial_timeout,
                pools.limits.endpoint_receive_buffer,
            )
        except OSError:
            pools.open_connections -= 1
            pools.counts["dials failed"] += 1
            pool.on_dial_failed()
            return
        self.stream.receive_size = pools.limits.endpoint_read_size
        pool.dials -= 1
        pool.on_connection_free(self)
        try:
            while True:
                self._read_replies()
                self._wait_for_memory()
                self.stream.fill()
        except (Closed, resp.Malformed):
            pass
        finally:
            self.end()

    def _wait_for_memory(self) -> None:
        """Account for a partly received reply, and wait until the gateway may read more of it."""
        pools = self.pool.pools
        output = pools.memory.output
        size = self.stream.buffer.memory
        if size <= pools.limits.uncounted_size or self.is_ended:
            output.set(self, 0)
            return
        output.set(self, size)
        if output.has_room(self):
            return
        if self.in_flight:
            pools.on_response_held(self.in_flight[0])
        self.stream.set_reading_paused(True)
        pools.memory.held_responses += 1
        while not (output.has_room(self) or self.is_ended):
            pools.scheduler.wait(pools.limits.client_poll_interval)
        pools.memory.held_responses -= 1
        if not self.is_ended:
            self.stream.set_reading_paused(False)

    def write(self, pending: PendingAttempt) -> None:
        """Write an attempt, with the time that remains until its deadline."""
        pools = self.pool.pools
        time_left = pending.deadline - pools.scheduler.now()
        if pending.request.size > pools.limits.max_frame_size:
            # The endpoint counts from the last byte, so the time for the transfer is not its own.
            time_left *= 1 - TRANSFER_SHARE
            pending.transfer_timer = pools.scheduler.call_later(
                time_left * TRANSFER_SHARE / (1 - TRANSFER_SHARE),
                partial(pools.check_transfer, pending),
            )
        pending.connection = self
        command = pending.request.encode(time_left)  # before anything waits for its reply
        pending.end_offset = self.stream.bytes_queued + sum(map(len, command))
        self.in_flight.append(pending)
        self.stream.write_deadline = pending.attempt.send_by
        self.stream.write(*command)

    def can_pipeline(self) -> bool:
        """Return whether another attempt may be written behind those in flight.

        An attempt must not queue behind bytes that the endpoint has not taken yet: it would wait in
        the buffer of the stream, from which the pool cannot move it to another connection. An
        attempt must also not queue behind a response that the gateway does not read at the moment,
        or go to a previous address of the endpoint.
        """
        return not (
            self.is_draining
            or self.stream.unsent
            or self.stream.broken
            or self.stream.is_reading_paused
            or self.address != self.pool.address
            or self.started_at != self.pool.started_at
            or len(self.in_flight) >= self.pool.pools.limits.attempts_per_connection
        )

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has received no unexpected bytes.

        The gateway would take such bytes for the reply to the next attempt.
        """
        return not self.stream.buffer and bool(self.stream.is_read_idle())

    # Replies.

    def _read_replies(self) -> None:
        """Process complete replies, and relay the available part of a long one."""
        buffer = self.stream.buffer
        limits = self.pool.pools.limits
        while not self.is_ended:
            if self.relay_bytes_left:
                if not buffer:
                    return
                self._relay_data(buffer)
                continue
            if not self.relay and (head := resp.parse_long_reply_head(buffer, limits)):
                self._begin_relay(buffer, *head)
                continue
            reply = resp.parse_reply(buffer, 0, limits)
            if not reply:
                return
            kind, content, end = reply
            if not self.in_flight:
                raise resp.Malformed("reply without an attempt in flight")
            decoded = self._decode_reply(kind, content)
            buffer.consume(end)
            self._on_reply(decoded)

    def _on_reply(self, decoded: DecodedReply) -> None:
        """Report a reply for the oldest attempt in flight."""
        pool = self.pool
        pending = self.in_flight.popleft()
        if self.relay:
            relay = self.relay
            self.relay = None
            self.stream.receive_size = pool.pools.limits.endpoint_read_size
            relay.end()
        self.last_reply_at = pool.last_reply_at = pool.pools.scheduler.now()
        # Called before the report, which may send another attempt to this endpoint.
        pool.on_connection_free(self)
        pool.pools.report(pending, decoded.outcome, decoded.value, decoded.report)

    def _decode_reply(self, kind: int, content: list[Span | None] | Span | None) -> DecodedReply:
        """Decode a reply.

        Raises:
            Malformed: The reply is not an array with a value, BUSY or ERR.
        """
        if kind == ARRAY and isinstance(content, list) and content and content[0]:
            _, cost, report = [*content, None, None][:3]
            reports = (self._bytes_at(cost), self._bytes_at(report))
            start, stop = content[0]
            held = self.stream.buffer.hold(start, stop)
            return DecodedReply(OK, held, b",".join(filter(None, reports)))
        text = b""
        if kind == ERROR_LINE and not isinstance(content, list):
            text = self._bytes_at(content)
        words = text.split(b" ")
        if text == b"BUSY" or (text.startswith(b"BUSY ") and b"=" in words[-1]):
            return DecodedReply(FULL, b"", b"")
        if not text.startswith(b"ERR"):
            raise resp.Malformed(
                f"endpoint reply: expected a value, BUSY or ERR, found {text!r}, type {chr(kind)!r}"
            )
        return DecodedReply(ERROR, b"", b",".join(word for word in words if b"=" in word))

    def _bytes_at(self, span: Span | None) -> bytes:
        return bytes(self.stream.buffer[slice(*span)]) if span else b""

    # Long responses.

    def _begin_relay(self, buffer: ReceiveBuffer, item_count: int, length: int, start: int) -> None:
        """Start to relay a long response, or to discard it if no client waits for it."""
        if not self.in_flight:
            raise resp.Malformed("reply without an attempt in flight")
        pools = self.pool.pools
        pending = self.in_flight[0]
        self.relay_bytes_left = length
        self.relay_item_count = item_count
        buffer.consume(start)
        window = pools.memory.relay_window()
        self.stream.receive_size = min(pools.limits.receive_size, window)
        self.relay = ResponseRelay(
            pools.memory,
            pools.scheduler.now,
            self.stream.set_reading_paused,
            self._on_relay_unwanted,
        )
        if pending.abandoned_as or not pools.begin_response(pending, self.relay, length):
            self.relay.drop()

    def _relay_data(self, buffer: ReceiveBuffer) -> None:
        """Relay a part of a long value.

        After the last byte, an array head with an empty value is put in front of the buffer, so
        that the remaining items are parsed like those of a short reply.
        """
        data = buffer.hold(0, min(len(buffer), self.relay_bytes_left))
        buffer.consume(len(data))
        self.relay_bytes_left -= len(data)
        if not self.relay_bytes_left:
            buffer.prepend(b"*%d\r\n$0\r\n" % self.relay_item_count)
        if self.relay:
            self.relay.push(data)

    def _on_relay_unwanted(self) -> None:
        """Abandon the attempt whose response is relayed.

        The connection ends at the end of this turn if all attempts in flight are abandoned.
        """
        self.in_flight[0].abandoned_as = self.in_flight[0].abandoned_as or CANCELLED
        if self.is_abandoned():
            self.pool.pools.scheduler.call_soon(self.end)

    # Ending.

    def is_abandoned(self) -> bool:
        """Return whether all attempts in flight are abandoned."""
        return all(pending.abandoned_as for pending in self.in_flight)

    def end(self) -> None:
        """Close the connection and report the attempts in flight.

        The outcome of a completely written attempt is `abandoned_as` if that is set, else `RESET`.
        For any other attempt it is `NEVER_SENT` if `abandoned_as` is `NEVER_SENT`, else
        `UNREACHABLE`. The kernel delivers nothing more of these attempts.
        """
        if self.is_ended:
            return
        self.is_ended = True
        in_flight = self.in_flight
        self.in_flight = deque()
        if in_flight:
            self.stream.abort()
        else:
            self.stream.close()
        if self.relay:
            self.relay.fail()
            self.relay = None
        self.pool.pools.memory.output.set(self, 0)
        self.pool.remove(self)
        for pending in in_flight:
            self.pool.pools.report(pending, self._outcome_at_end(pending))

    def _outcome_at_end(self, pending: PendingAttempt) -> Outcome:
        """Return the outcome of an attempt that is in flight when the connection ends."""
        if pending.abandoned_as == NEVER_SENT:
            return NEVER_SENT
        if pending.end_offset is None or self.is_partly_written(pending):
            return UNREACHABLE
        return pending.abandoned_as or RESET

    def is_partly_written(self, pending: PendingAttempt) -> bool:
        """Return whether the kernel has not accepted the last byte of a written attempt yet."""
        return pending.end_offset is not None and pending.end_offset > self.stream.bytes_sent

    def is_delivered(self, pending: PendingAttempt) -> bool:
        """Return whether the endpoint has acknowledged the last byte of a written attempt."""
        acknowledged = self.stream.bytes_sent - self.stream.unacknowledged_bytes()
        return pending.end_offset is not None and pending.end_offset <= acknowledged

    def give_up(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Abandon an attempt that the endpoint has not replied to.

        If no connection to the endpoint has carried a reply since the attempt was sent, the
        connections that became idle before that time may be dead too. The pool closes them so that
        the next attempt does not use one of them.
        """
        if self.pool.last_reply_at < pending.attempt.sent_at:
            self.pool.close_idle(pending.attempt.sent_at)
        self.abandon(pending, outcome)

    def abandon(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Abandon an attempt and leave idle connections to the endpoint open.

        The endpoint never receives an attempt that is partly written. The connection takes no
        further attempts, and ends when all its attempts are abandoned.
        """
        pending.abandoned_as = outcome
        self.is_draining = True
        if self.is_partly_written(pending):
            self.stream.discard_unsent()  # holds no later attempt: see can_pipeline
        if self.is_abandoned():
            self.end()
        elif outcome in FINAL_WHEN_ABANDONED:
            self.pool.pools.report(pending, outcome)
