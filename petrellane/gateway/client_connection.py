"""One client connection: reads commands and writes the replies in the order of the commands.

One greenlet per connection reads (`ClientConnection.run`); the greenlet that completes a reply
writes it. Each command gets one reply, in order. A connection with pending replies stays open
unless the client sends malformed data, disconnects or stops reading, or a long response breaks off.
`client_listener` selects the connections to close; `action_executor` interprets the requests.
"""

from __future__ import annotations

import contextlib
import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from petrellane.gateway import replies
from petrellane.gateway.client_handoff import ConnectionHandoff
from petrellane.gateway.client_input import ClientInput
from petrellane.gateway.client_request import (
    QUERY,
    RPC_COMMANDS,
    ClientRequest,
    Command,
    InvalidFieldError,
    Reply,
)
from petrellane.gateway.response_relay import RelayState
from petrellane.net import resp
from petrellane.net.stream import Closed
from petrellane.operation.lifecycle import LifecycleState

if TYPE_CHECKING:
    from petrellane.gateway.client_input import ShedReason
    from petrellane.gateway.client_listener import ClientListener
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.net.buffers import HeldBytes
    from petrellane.net.stream import Stream


class ClientConnection:
    """One connection of a client.

    Created by its `ClientListener`, which lists it from accept (or hot restart) to close. Owns its
    stream with the socket, the replies that are not written yet, and its reservations in the buffer
    budget.
    """

    def __init__(self, listener: ClientListener, stream: Stream) -> None:
        self.listener = listener
        self.stream = stream
        stream.on_connection_lost = self._on_connection_lost
        self.pending_replies: deque[Reply] = deque()  # in the order of the commands
        self.connected_at: float = listener.scheduler.now()
        self.connected_since = self.connected_at  # the earliest time at which the client connected
        self.idle_since: float = self.connected_at
        self.has_sent_rpc = False
        # When set, the connection reads no more commands and closes after the last reply.
        self.is_closing = False
        self.half_closed_at = 0.0
        self.is_breaking_off = False  # a long response broke off, and the connection will close
        # The Unix time by which a partly received command must be complete; None between commands.
        self.command_deadline: float | None = None
        self.input = ClientInput(self, stream)
        self.has_read_all = True  # whether nothing was left unread before the current commands
        self.handoff = ConnectionHandoff(self)

    def run(self) -> None:
        """Serve the client until it disconnects, sends malformed data or times out."""
        try:
            self._serve()
        except resp.Malformed as error:
            self.listener.counts["closed malformed"] += 1
            self.is_closing = True
            self._reply(replies.error(str(error)))
            self._discard_input()
        except Closed:
            self.listener.counts["closed by client"] += bool(self.pending_replies)
        finally:
            self._clean_up()

    def _serve(self) -> None:
        scheduler = self.listener.scheduler
        while True:
            while not self.is_closing and not self.handoff.is_due() and self._read_commands():
                self.listener.backlogged.add(self)
                scheduler.wait(0)  # let other greenlets run
                self._wait_until_replies_are_read()
            self.listener.backlogged.discard(self)
            self.raise_if_broken()
            self.close_if_done()
            if self.is_closing:
                self._discard_input()
                return
            if not self.handoff.is_due():
                self._wait_for_input()
            elif self.handoff.run():
                return

    def _wait_for_input(self) -> None:
        """Wait for input; begin to close the connection once it has been idle for too long."""
        self.input.is_waiting = True
        try:
            self.input.account_for_partial_command()
            if self.is_closing:
                return
            self.stream.fill(self._idle_timeout())
            self.input.last_input_at = self.listener.scheduler.now()
        except TimeoutError:
            if self.handoff.is_due() or self.is_closing:
                return
            if self.command_deadline:
                raise resp.Malformed("command not whole in time") from None
            is_overdue = self._idle_timeout() <= self.listener.limits.client_poll_interval
            if is_overdue and self.is_idle() and self.has_delivered_replies():
                self.listener.counts["closed idle"] += 1
                self.is_closing = True
        finally:
            self.input.is_waiting = False

    def _clean_up(self) -> None:
        if self.handoff.is_handed_off:
            self.stream.release()
        else:
            self.stream.close()
        self.stream.forget_callbacks()
        self.stream.buffer.clear()
        self.listener.remove(self)
        memory = self.listener.memory
        memory.forget(self)
        for reply in self.pending_replies:
            memory.forget(reply)
            if reply.buffers is None:
                self._cancel_request(reply)
            elif reply.relay:
                reply.relay.drop()
        self.pending_replies.clear()

    def _cancel_request(self, reply: Reply) -> None:
        if isinstance(reply, ClientRequest):
            self.listener.on_client_disconnected(reply)

    # Client disconnects.

    def raise_if_broken(self) -> None:
        """Raise Closed if the connection has ended in the meantime."""
        self.stream.raise_if_broken()

    @property
    def last_input_at(self) -> float:
        """The Unix time at which bytes of an incomplete command were last read."""
        return self.input.last_input_at

    def has_unread_input(self) -> bool:
        """Return whether the client has sent bytes that are about to be read."""
        return not self.stream.is_reading_paused and not self.stream.is_read_idle()

    def is_client_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if no poll has reported it yet."""
        if not self.stream.broken and self.stream.is_closed_by_peer():
            self.stream.fail_closed_by_peer()
        return bool(self.stream.broken)

    def _on_connection_lost(self) -> None:
        """Cancel pending requests; the stream calls this if it breaks while no greenlet reads."""
        for reply in self.pending_replies:
            if reply.buffers is None:
                self._cancel_request(reply)

    # Reading.

    def _idle_timeout(self) -> float:
        """Return how long to wait for input, in seconds; set or clear the command deadline."""
        listener = self.listener
        limits = listener.limits
        now: float = listener.scheduler.now()
        if self.stream.buffer:
            if self.command_deadline is None:
                self.command_deadline = self.input.command_deadline(now)
            return max(0.0, self.command_deadline - now)
        self.command_deadline = None
        is_new = self in listener.silent or self in listener.single_command
        timeout: float = limits.new_client_idle_timeout if is_new else limits.client_idle_timeout
        if self.pending_replies:
            return timeout
        return max(limits.client_poll_interval, self.idle_since + timeout - now)

    def shed(self, reason: ShedReason) -> None:
        """Refuse the command that is not complete, free its memory and close the connection.

        No endpoint has received any part of the command, so the client may send it again.

        Args:
            reason: The reason, which the log counts.
        """
        self.is_closing = True
        self.stream.buffer.clear()
        self.listener.memory.forget_input(self)
        self.listener.counts["closed shed"] += 1
        self.listener.counts["shed " + reason.value] += 1
        self._reply(replies.BUSY)
        self.listener.scheduler.call_soon(self._wake_reader)

    def _wake_reader(self) -> None:
        if self.stream.reader:
            self.stream.reader.switch(False)

    def _wait_until_replies_are_read(self) -> None:
        """Handle no more commands while too many replies are pending or have not been read."""
        if not self._is_backlogged():
            return
        self.stream.set_reading_paused(True)
        while self._is_backlogged() and not self.is_closing:
            self.listener.scheduler.wait(self.listener.limits.account_interval)
            self.raise_if_broken()
        self.stream.set_reading_paused(False)

    def may_have_hidden_close(self) -> bool:
        """Return whether the client may have closed without notice, behind bytes not yet read."""
        return self.stream.is_reading_paused and not self.stream.is_read_idle()

    def _is_backlogged(self) -> bool:
        """Return whether the client is so far behind with reading that it gets no more replies."""
        limits = self.listener.limits
        if len(self.pending_replies) >= limits.max_pending_replies:
            return True
        undelivered = self.stream.undelivered_bytes()
        is_short = self.listener.memory.output.is_full
        return undelivered > (limits.uncounted_size if is_short else limits.max_undelivered)

    def _read_commands(self) -> bool:
        """Handle complete commands, as many as a turn allows; return whether more may follow."""
        listener = self.listener
        buffer = self.stream.buffer
        limits = listener.limits
        position = 0
        command_count = 0
        max_count = listener.commands_per_turn()
        self.raise_if_broken()
        if len(buffer) < self.input.expected_size:
            return False
        self.input.expected_size = 0
        # The input has waited in the accept queue, or while the process was stalled.
        has_waited = self in listener.silent or listener.scheduler.has_stalled()
        if buffer and has_waited and self.stream.is_closed_by_peer():
            raise Closed("the client disconnected before its commands were read")
        try:
            while command_count < max_count and (
                found := resp.parse_command(buffer, position, limits)
            ):
                spans, end = found
                if not command_count:
                    self._read_ahead(end)
                self.command_deadline = None
                self._handle_command(Command(position, spans, end))
                position = end
                command_count += 1
        finally:
            buffer.consume(position)
            if position:
                self.input.on_commands_handled()
        if command_count:
            listener.on_command(self)
        return command_count == max_count

    def _read_ahead(self, end: int) -> None:
        """Read what has arrived behind a command, to learn whether the client has closed.

        A close cannot be seen behind bytes that are not read. Commands before such bytes are
        refused, because their client may have gone long ago.

        Args:
            end: The offset of the end of the first command.
        """
        listener = self.listener
        self.has_read_all = True
        if end == len(self.stream.buffer) <= listener.limits.uncounted_size:
            return
        while True:
            max_size = end + listener.memory.read_ahead()
            self.has_read_all = self.stream.read_ahead(max_size)
            self.input.account_for_buffer()
            if self.has_read_all or len(self.stream.buffer) >= max_size:
                return
            listener.scheduler.wait(0)  # let other greenlets run

    def _handle_command(self, command: Command) -> None:
        """Reply to a complete command in the buffer, or handle it as a request."""
        listener = self.listener
        lifecycle = listener.lifecycle
        verb = bytes(self.stream.buffer[slice(*command.spans[0])]).upper()
        if verb not in RPC_COMMANDS:
            reply = replies.reply_to_command(
                verb, passes_health_check=lifecycle.passes_health_check
            )
            self._reply(reply)
        elif self.has_read_all and lifecycle.accepts_command(
            listener.scheduler.now(), self.connected_at, bool(self.pending_replies)
        ):
            self.has_sent_rpc = True
            self._handle_request(verb, command)
        else:
            self._reply(replies.BUSY)

    def _handle_request(self, verb: bytes, command: Command) -> None:
        listener = self.listener
        try:
            request = ClientRequest(self.stream.buffer, command, self, is_query=verb == QUERY)
        except InvalidFieldError as error:
            self._reply(replies.error(str(error)))
            return
        self.pending_replies.append(request)
        listener.memory.set_request(request, request.size)
        try:
            listener.on_request(request)
        except InvalidFieldError as error:
            request.finish(replies.error(str(error)))

    def _discard_input(self) -> None:
        """Read and discard input until `linger_timeout` after the client received all replies.

        Closing a socket with unread input sends a reset, and the client may then lose replies that
        it has not read yet. The listener closes clients that stop reading.
        """
        listener = self.listener
        limits = listener.limits
        stream = self.stream
        deadline = math.inf
        with contextlib.suppress(Closed):
            listener.memory.forget_input(self)
            if not self.pending_replies and self.input.expected_size > limits.max_frame_size:
                # To read megabytes of a refused command would cost the turns of others.
                stream.set_reading_paused(True)
            while (now := listener.scheduler.now()) < deadline:
                wait_time = limits.client_poll_interval
                if self.has_delivered_replies():
                    wait_time = limits.linger_timeout
                    deadline = min(deadline, now + wait_time)
                stream.buffer.clear()
                with contextlib.suppress(TimeoutError):
                    stream.discard(wait_time)
                self.raise_if_broken()

    # Writing.

    def _reply(self, data: bytes) -> None:
        self.pending_replies.append(Reply(data))
        self.on_reply_ready()

    def on_request_finished(self, request: ClientRequest) -> None:
        """Write the reply of a request, or keep it until the replies before it are ready."""
        if self.pending_replies and self.pending_replies[0] is not request:
            size = sum(map(len, request.buffers or ()))
            if size > self.listener.limits.uncounted_size:
                self.listener.memory.output.set(request, size)
            return
        self.on_reply_ready()

    def on_reply_ready(self) -> None:
        """Write the replies that are ready and next in the order of the commands."""
        pieces = self._collect_ready_pieces()
        if pieces:
            self.idle_since = self.listener.scheduler.now()
            self.stream.write(*pieces)
            self._account_for_output(sum(map(len, pieces)))
        next_relay = self.pending_replies[0].relay if self.pending_replies else None
        if next_relay and next_relay.state is RelayState.BROKEN:
            self._close_after_broken_relay(next_relay)
        elif pieces:
            self._after_write()

    def _collect_ready_pieces(self) -> list[HeldBytes]:
        """Dequeue the replies that are ready and next in order; return the buffers to write.

        Stops at the first pending reply, or at a long response whose end has not arrived.
        """
        pieces: list[HeldBytes] = []
        while self.pending_replies:
            reply = self.pending_replies[0]
            if reply.buffers is None:
                break
            pieces += reply.buffers
            if reply.relay:
                reply.buffers = ()  # the head is already in `pieces`
                pieces += reply.relay.take(self.stream)
                if reply.relay.state is not RelayState.COMPLETE:
                    break
                self.stream.on_flushed = None
            self.listener.memory.forget(reply)
            self.pending_replies.popleft()
        return pieces

    def _account_for_output(self, written: int) -> None:
        """Account for replies that the client has not received.

        Args:
            written: The bytes that were just written.
        """
        memory = self.listener.memory
        is_long = written > self.listener.limits.uncounted_size
        if is_long or self.stream.unsent or self in memory.output.holdings:
            self.update_output()

    def update_output(self) -> None:
        """Update the account with the memory of replies that the client has not received yet."""
        stream = self.stream
        memory = 0
        if not stream.broken:
            memory = stream.bytes_queued - stream.bytes_sent + stream.send_queue_memory()
        self.listener.memory.output.set(self, memory)

    def _after_write(self) -> None:
        """Continue a handoff or close the connection, if either waited for this write."""
        if not self.pending_replies and self.handoff.waiting_greenlet:
            self.listener.scheduler.call_soon(self.handoff.wake)
        self.close_if_done()

    def _close_after_broken_relay(self, relay: ResponseRelay) -> None:
        """Close the connection in the middle of a long response that cannot be completed.

        The client detects the failure by the missing bytes. The complete replies that precede the
        response are delivered first, within `stall_timeout` of its last progress.
        """
        if not self.is_breaking_off:
            self.is_breaking_off = True
            self._close_when_delivered(relay.last_progress + self.listener.limits.stall_timeout)

    def _close_when_delivered(self, deadline: float) -> None:
        """Close the connection once the client's kernel has all that was written, or at a deadline.

        Args:
            deadline: The Unix time at which the connection closes in any case.
        """
        scheduler = self.listener.scheduler
        if self.stream.has_delivered_all() or scheduler.now() >= deadline:
            self.stream.close()
        else:
            scheduler.call_later(
                self.listener.limits.client_poll_interval,
                partial(self._close_when_delivered, deadline),
            )

    # Closing.

    def is_idle(self) -> bool:
        """Return whether no reply is pending, no data is unsent and no input is unhandled.

        An offered connection is not idle, because the successor may own it already.
        """
        stream = self.stream
        return (
            not self.handoff.is_offered
            and not self.pending_replies
            and not stream.buffer
            and not stream.unsent
            and bool(stream.is_read_idle())
        )

    def has_lingered(self) -> bool:
        """Return whether the client had time to take the last reply and to see the half close."""
        if not self.half_closed_at:
            return False
        lingered = self.listener.scheduler.now() - self.half_closed_at
        return bool(lingered >= self.listener.limits.linger_timeout_on_shortage)

    def close_if_done(self) -> None:
        """Shut down the sending side if the connection should close and all replies are sent.

        The connection then discards input for a limited time before it closes the socket.
        """
        now = self.listener.scheduler.now()
        if self.is_closing and self._has_written_all():
            self._half_close(now)
        elif not self._belongs_to_successor() and self._should_close(now):
            self._begin_closing(now)

    def _has_written_all(self) -> bool:
        """Return whether all replies are written and the kernel has accepted them."""
        return not self.pending_replies and not self.stream.unsent

    def has_delivered_replies(self) -> bool:
        """Return whether no reply is pending and the client's kernel has received all replies.

        Until then the socket must stay open. If the client sends more to a closed socket, the
        kernel resets the connection and drops the replies that it still holds for the client.
        """
        return not self.pending_replies and self.stream.has_delivered_all()

    def _belongs_to_successor(self) -> bool:
        """Return whether the connection is offered to the successor or will be offered."""
        has_successor = self.listener.successor is not None
        return self.handoff.is_offered or (has_successor and not self.is_closing)

    def _begin_closing(self, now: float) -> None:
        """Accept no more commands, and half-close the connection, which tells the client so."""
        self.listener.counts["closed draining"] += 1
        self.is_closing = True
        self._half_close(now)

    def _half_close(self, now: float) -> None:
        """Shut down the sending side; close the socket `linger_timeout` after the last delivery."""
        if not self.half_closed_at or not self.has_delivered_replies():
            self.half_closed_at = now
        self.stream.write_eof()
        if now - self.half_closed_at > self.listener.limits.linger_timeout:
            self.stream.close()

    def _should_close(self, now: float) -> bool:
        """Return whether the connection should close now, with no reply pending."""
        lifecycle = self.listener.lifecycle
        if (
            lifecycle.closes_idle_connections(now)
            and self._closes_when_idle(now)
            and self.is_idle()
        ):
            return True
        if self.is_closing or not self._has_no_pending_work():
            return False
        return not lifecycle.accepts_command(now, self.connected_at)

    def _has_no_pending_work(self) -> bool:
        """Return whether all replies are sent and no received command awaits handling.

        Input with a deadline is the start of a command that would be rejected once complete. Input
        without a deadline is not parsed yet, or belongs to a long command that keeps arriving.
        """
        has_no_command = not self.stream.buffer or self.command_deadline is not None
        return self._has_written_all() and has_no_command

    def _closes_when_idle(self, now: float) -> bool:
        """Return whether the connection closes while it is idle.

        A client that only sends PING, to learn when the gateway serves again, stays connected while
        the gateway drains, unless it sends nothing for `drain_idle`.
        """
        return (
            self.has_sent_rpc
            or self.listener.lifecycle.state == LifecycleState.ENDING
            or now - self.idle_since >= self.listener.limits.drain_idle
        )
