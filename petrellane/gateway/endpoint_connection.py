"""One connection to an endpoint, and the attempts that are in flight on it.

Attempts are answered in the order in which they were written. What became of each is reported
exactly as the socket proves it: an attempt never ran when its connection did not come up or broke
before the attempt's last byte was written, and may have run when that happened later. Which attempt
is written where is for `endpoint_pool`.
"""

from __future__ import annotations

import socket
from collections import deque
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
    from petrellane.net.scheduler import Timer

# Types of answers, by their first byte.
ARRAY = ord("*")
ERROR_LINE = ord("-")


class Answer(NamedTuple):
    """What an answer says: the outcome, the value, and the load report that came with it."""

    outcome: Outcome
    value: bytes
    report: bytes


class PendingAttempt:
    """An attempt on the network, from `EndpointPools.send` until its outcome is reported.

    `connection` is None until it is written. `end_offset` is then the number of bytes that the
    connection's stream has sent once the attempt is completely out; None while it is being written.
    `abandoned_as` is the outcome to report once its connection allows, None while it is awaited.
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
    )

    def __init__(
        self,
        request: ClientRequest,
        attempt: SendAttempt,
        pool: EndpointPool | None,
        deadline: float,
    ) -> None:
        """Begin an attempt; `pool` is None where its endpoint takes none."""
        self.request = request
        self.attempt = attempt
        self.pool = pool
        self.deadline = deadline
        self.connection: EndpointConnection | None = None
        self.timer: Timer | None = None
        self.end_offset: int | None = None
        self.is_relaying = False  # its response has begun to go to the client
        self.abandoned_as: Outcome | None = None


class EndpointConnection:
    """One connection to an endpoint.

    Made by its `EndpointPool`, which lists it as idle or busy from the end of the dial until `end`.
    Owns its stream with the socket, the attempts in flight, and the relay of a long response.
    """

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.address = pool.address
        self.stream: Stream  # from the end of the dial on
        self.in_flight: deque[PendingAttempt] = deque()
        self.idle_since = 0.0
        self.last_answer_at = 0.0  # 0: it has answered nothing
        self.is_retiring = False
        self.is_ended = False
        # A long response: its relay, the bytes of its value to come, and its answer's parts.
        self.relay: ResponseRelay | None = None
        self.relay_bytes_left = 0
        self.relay_parts = 0

    def run(self) -> None:
        """Dial, then read answers until the connection ends."""
        pool = self.pool
        pools = pool.pools
        try:
            self.stream = Stream.dial(
                pools.scheduler, pools.limits, self.address, pools.limits.dial_timeout
            )
        except OSError:
            pools.open_connections -= 1
            pools.counts["dials failed"] += 1
            pool.on_dial_failed()
            return
        pool.dials -= 1
        pool.on_connection_free(self)
        try:
            while True:
                self._read_answers()
                self.stream.fill()
        except (Closed, resp.Malformed):
            pass
        finally:
            self.end()

    def write(self, pending: PendingAttempt) -> None:
        """Write an attempt with the time that it has left."""
        now = self.pool.pools.scheduler.now()
        pending.connection = self
        pending.end_offset = None
        self.in_flight.append(pending)
        self.stream.write(*pending.request.encode(pending.deadline - now))
        pending.end_offset = self.stream.bytes_queued

    def can_pipeline(self) -> bool:
        """Return whether one more attempt may be written behind those in flight.

        It may not behind bytes that the endpoint does not take, where it would wait unseen, nor at
        an address that the endpoint has left.
        """
        return not (
            self.is_retiring
            or self.stream.unsent
            or self.stream.broken
            or self.address != self.pool.address
            or len(self.in_flight) >= self.pool.pools.limits.attempts_per_connection
        )

    def is_clean(self) -> bool:
        """Return whether nothing has come that belongs to no attempt.

        It would pass for the answer to the next one.
        """
        return not self.stream.buffer and bool(self.stream.is_read_idle())

    # Answers.

    def _read_answers(self) -> None:
        """Take the answers that have come completely, and what has come of a long one."""
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
                raise resp.Malformed("an answer to nothing")
            answer = self._decode_answer(kind, content)
            del buffer[:end]
            self._on_answer(answer)

    def _on_answer(self, answer: Answer) -> None:
        """Report the answer to the attempt that was written first."""
        pool = self.pool
        pending = self.in_flight.popleft()
        if self.relay:
            relay = self.relay
            self.relay = None
            relay.end()
        self.last_answer_at = pool.last_answer_at = pool.pools.scheduler.now()
        pool.on_connection_free(self)  # first, as what follows may be for this endpoint as well
        pool.pools.report(pending, answer.outcome, answer.value, answer.report)

    def _decode_answer(self, kind: int, content: list[Span | None] | Span | None) -> Answer:
        """Return what an answer says.

        Raises:
            Malformed: It has none of the forms of an answer.
        """
        if kind == ARRAY and isinstance(content, list) and content and content[0]:
            value, used, report = [*content, None, None][:3]
            reports = (self._bytes_at(used), self._bytes_at(report))
            return Answer(OK, self._bytes_at(value), b",".join(filter(None, reports)))
        text = b""
        if kind == ERROR_LINE and not isinstance(content, list):
            text = self._bytes_at(content)
        words = text.split(b" ")
        if text == b"BUSY" or (text.startswith(b"BUSY ") and b"=" in words[-1]):
            return Answer(FULL, b"", b"")
        if not text.startswith(b"ERR"):
            raise resp.Malformed("an answer out of form")
        return Answer(ERROR, b"", b",".join(word for word in words if b"=" in word))

    def _bytes_at(self, span: Span | None) -> bytes:
        return bytes(self.stream.buffer[slice(*span)]) if span else b""

    # Long responses.

    def _begin_relay(self, buffer: bytearray, parts: int, length: int, start: int) -> None:
        """Begin to pass a long response on as it comes, or to discard it where nobody waits."""
        if not self.in_flight:
            raise resp.Malformed("an answer to nothing")
        pools = self.pool.pools
        pending = self.in_flight[0]
        self.relay_bytes_left = length
        self.relay_parts = parts
        del buffer[:start]
        self.stream.limit_kernel_buffer(socket.SO_RCVBUF)
        self.relay = ResponseRelay(
            pools.buffer_budget,
            pools.scheduler.now,
            self.stream.set_reading_paused,
            self._on_relay_unwanted,
        )
        if pending.abandoned_as or not pools.begin_response(pending, self.relay, length):
            self.relay.drop()

    def _relay_data(self, buffer: bytearray) -> None:
        """Pass on some of a long value; what follows its end reads like the rest of a short one."""
        data = bytes(buffer[: self.relay_bytes_left])
        del buffer[: len(data)]
        self.relay_bytes_left -= len(data)
        if not self.relay_bytes_left:
            buffer[:0] = b"*%d\r\n$0\r\n" % self.relay_parts
        if self.relay:
            self.relay.push(data)

    def _on_relay_unwanted(self) -> None:
        """End the connection, at once or when the attempts behind are abandoned as well."""
        self.in_flight[0].abandoned_as = self.in_flight[0].abandoned_as or CANCELLED
        if self.is_abandoned():
            self.pool.pools.scheduler.call_soon(self.end)

    # The end.

    def is_abandoned(self) -> bool:
        """Return whether nobody waits for any of the attempts in flight."""
        return all(pending.abandoned_as for pending in self.in_flight)

    def end(self) -> None:
        """Close the connection, and report the attempts in flight as the socket proves them."""
        if self.is_ended:
            return
        self.is_ended = True
        self.stream.close()
        if self.relay:
            self.relay.fail()
        in_flight = self.in_flight
        self.in_flight = deque()
        self.pool.remove(self)
        for pending in in_flight:
            is_written = (
                pending.end_offset is not None and pending.end_offset <= self.stream.bytes_sent
            )
            outcome: Outcome = RESET if is_written else UNREACHABLE
            if pending.abandoned_as and (is_written or pending.abandoned_as == NEVER_SENT):
                outcome = pending.abandoned_as
            self.pool.pools.report(pending, outcome)

    def give_up(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt without ending the others on the connection.

        Where the endpoint has answered nothing since it was sent, idle connections from before may
        be as dead: none of them is to swallow the next attempt.
        """
        if self.pool.last_answer_at < pending.attempt.sent_at:
            self.pool.retire(pending.attempt.sent_at)
        self.abandon(pending, outcome)

    def abandon(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt, with no doubt about the endpoint."""
        pending.abandoned_as = outcome
        self.is_retiring = True
        if self.is_abandoned():
            self.end()
        elif outcome == LATE:  # nothing can be sent in its place, so this may be reported now
            self.pool.pools.report(pending, outcome)
