"""One client's connection: reads commands and writes the answers in the order of the commands.

A greenlet per connection reads (`ClientConnection.run`); answers are written by whoever has them.
Promises: each command has one answer, in its place; a connection is never closed with an answer
owed, except where its client is at fault, has gone or takes nothing. Which connections have to go
is for `client_listener`, what a request means is for `action_executor`.
"""

from __future__ import annotations

import contextlib
import math
from collections import deque
from typing import TYPE_CHECKING

from petrellane.gateway import replies
from petrellane.gateway.client_handoff import ConnectionHandoff
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
    from petrellane.gateway.client_listener import ClientListener
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.net.stream import Stream


class ClientConnection:
    """One connection of a client.

    Made and listed by its `ClientListener`, from accept (or hot restart) to close. Owns its stream
    with the socket, the replies that are not written yet, and its share of the buffer budget.
    """

    def __init__(self, listener: ClientListener, stream: Stream) -> None:
        self.listener = listener
        self.stream = stream
        stream.on_connection_lost = self._on_client_left
        self.pending_replies: deque[Reply] = deque()  # in the order of their commands
        self.connected_at: float = listener.scheduler.now()
        self.idle_since: float = self.connected_at
        self.has_sent_rpc = False
        # Once closing, no command is read, and the connection ends when all is written.
        self.is_closing = False
        self.finished_at = 0.0
        # The time by which a command that has begun must be complete; None between commands.
        self.command_deadline: float | None = None
        self.handoff = ConnectionHandoff(self)

    def run(self) -> None:
        """Serve until the client goes away, or is idle or in the middle of a command for long."""
        try:
            self._serve()
        except resp.Malformed as error:
            self.is_closing = True
            self._reply(replies.error(str(error)))
            self._discard_input()
        except Closed:
            pass
        finally:
            self._clean_up()

    def _serve(self) -> None:
        scheduler = self.listener.scheduler
        while True:
            while not self.is_closing and not self.handoff.is_due() and self._read_commands():
                scheduler.wait(0)  # others have their turn
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
        try:
            self.stream.fill(self._idle_timeout())
            self._reserve_body()
        except TimeoutError:
            if self.handoff.is_due():
                return
            if self.command_deadline:
                raise resp.Malformed("command not whole in time") from None
            if self.is_idle() and self._idle_timeout() <= self.listener.limits.client_poll_interval:
                self.is_closing = True

    def _clean_up(self) -> None:
        if self.handoff.is_passed_on:
            self.stream.release()
        else:
            self.stream.close()
        self.listener.forget(self)
        budget = self.listener.buffer_budget
        budget.reserve(self, 0)
        for reply in self.pending_replies:
            budget.reserve(reply, 0)
            if reply.answer is None:
                self._disconnect(reply)
            elif reply.relay:
                reply.relay.drop()
        self.pending_replies.clear()

    def _disconnect(self, reply: Reply) -> None:
        if isinstance(reply, ClientRequest):
            self.listener.on_client_disconnected(reply)

    # The client's leaving.

    def raise_if_broken(self) -> None:
        """Raise Closed where the client has left meanwhile."""
        if self.stream.broken:
            raise self.stream.broken

    def is_client_disconnected(self) -> bool:
        """Return whether the client has left, also where no poll has reported it yet."""
        if not self.stream.broken and self.stream.is_closed_by_peer():
            self.stream.fail_closed_by_peer()
        return bool(self.stream.broken)

    def _on_client_left(self) -> None:
        """End open requests at once, as nobody reads: this greenlet waits for something else."""
        for reply in self.pending_replies:
            if reply.answer is None:
                self._disconnect(reply)

    # Reading.

    def _idle_timeout(self) -> float:
        """Return how long to wait for what comes next, in seconds."""
        listener = self.listener
        limits = listener.limits
        now: float = listener.scheduler.now()
        if self.stream.buffer:
            self.command_deadline = self.command_deadline or now + limits.command_timeout
            return max(0.0, self.command_deadline - now)
        self.command_deadline = None
        is_new = self in listener.silent or self in listener.single_command
        timeout: float = limits.new_client_idle_timeout if is_new else limits.client_idle_timeout
        if self.pending_replies:
            return timeout
        return max(limits.client_poll_interval, self.idle_since + timeout - now)

    def _reserve_body(self) -> None:
        """Wait for room for a long command, which may take its time as long as it comes on."""
        listener = self.listener
        size = len(self.stream.buffer)
        if size <= listener.limits.max_value_size:
            return
        self.command_deadline = None
        listener.buffer_budget.reserve(self, size)
        until = listener.scheduler.now() + listener.limits.stall_timeout
        while not listener.buffer_budget.has_room(self):
            if listener.scheduler.now() > until:
                raise resp.Malformed("no room for a command of this length")
            listener.scheduler.wait(listener.limits.client_poll_interval)
            self.raise_if_broken()

    def _read_commands(self) -> bool:
        """Take complete commands, a turn's share at most; return whether there may be more."""
        listener = self.listener
        buffer = self.stream.buffer
        limits = listener.limits
        position = 0
        taken = 0
        self.raise_if_broken()
        # Its bytes have waited to be accepted, or for a process that stood still.
        has_waited = self in listener.silent or listener.scheduler.has_stalled()
        if buffer and has_waited and self.stream.is_closed_by_peer():
            raise Closed("left before it was read")
        try:
            while taken < limits.commands_per_turn and (
                found := resp.parse_command(buffer, position, limits)
            ):
                spans, end = found
                self.command_deadline = None
                self._take_command(Command(position, spans, end))
                position = end
                taken += 1
        finally:
            del buffer[:position]
            if self in listener.buffer_budget.reservations:
                size = len(buffer)
                listener.buffer_budget.reserve(self, size if size > limits.max_value_size else 0)
        if taken:
            listener.on_command(self)
        return taken == limits.commands_per_turn

    def _take_command(self, command: Command) -> None:
        """Answer one complete command in the buffer, or take its request in."""
        listener = self.listener
        lifecycle = listener.lifecycle
        verb = bytes(self.stream.buffer[slice(*command.spans[0])]).upper()
        if verb not in RPC_COMMANDS:
            reply = replies.reply_to_command(
                verb, passes_health_check=lifecycle.passes_health_check
            )
            self._reply(reply)
        elif lifecycle.accepts_command(
            listener.scheduler.now(), self.connected_at, bool(self.pending_replies)
        ):
            self.has_sent_rpc = True
            self._take_request(verb, command)
        else:
            self._reply(replies.BUSY)

    def _take_request(self, verb: bytes, command: Command) -> None:
        listener = self.listener
        try:
            request = ClientRequest(self.stream.buffer, command, self, is_query=verb == QUERY)
        except InvalidFieldError as error:
            self._reply(replies.error(str(error)))
            return
        self.pending_replies.append(request)
        size = command.end - command.start
        if size > listener.limits.max_frame_size:
            listener.buffer_budget.reserve(request, size)
        try:
            listener.on_request(request)
        except InvalidFieldError as error:
            request.finish(replies.error(str(error)))

    def _discard_input(self) -> None:
        """Read what follows the end, or a malformed command, for a while, and answer none of it.

        A close over bytes that are not read would be a reset, which takes our answers with it.
        """
        listener = self.listener
        stream = self.stream
        until = math.inf
        with contextlib.suppress(Closed):
            listener.buffer_budget.reserve(self, 0)
            while (now := listener.scheduler.now()) < until:
                if not self.pending_replies:
                    # What a slow client has not taken yet has the time of a long value.
                    limits = listener.limits
                    time_left = limits.stall_timeout if stream.unsent else limits.linger_timeout
                    until = min(until, now + time_left)
                stream.buffer.clear()
                with contextlib.suppress(TimeoutError):
                    stream.fill(listener.limits.linger_timeout)

    # Writing.

    def _reply(self, answer: bytes) -> None:
        self.pending_replies.append(Reply(answer))
        self.on_reply_ready()

    def on_reply_ready(self) -> None:
        """Write the answers that are next in order."""
        pieces = self._collect_ready_pieces()
        if pieces:
            self.idle_since = self.listener.scheduler.now()
            self.stream.write(*pieces)
        next_relay = self.pending_replies[0].relay if self.pending_replies else None
        if next_relay and next_relay.state is RelayState.BROKEN:
            self._close_after_broken_relay(next_relay)
        elif pieces:
            self._after_write()

    def _collect_ready_pieces(self) -> list[bytes]:
        """Take the replies that are next in order and known; return what is to be written.

        Ends at the first reply that is not known, or a long one of which more is to come.
        """
        pieces: list[bytes] = []
        while self.pending_replies:
            reply = self.pending_replies[0]
            if reply.answer is None:
                break
            pieces += reply.answer
            if reply.relay:
                reply.answer = ()  # its head is among the pieces
                pieces += reply.relay.take(self.stream)
                if reply.relay.state is not RelayState.COMPLETE:
                    break
                self.stream.on_flushed = None
            self._release_budget(reply)
            self.pending_replies.popleft()
        return pieces

    def _release_budget(self, reply: Reply) -> None:
        """Free the memory that a long command had, once its reply is taken."""
        budget = self.listener.buffer_budget
        if budget.reservations:
            budget.reserve(reply, 0)

    def _after_write(self) -> None:
        """Hand the connection off or end it, where either waited for what was just written."""
        if not self.pending_replies and self.handoff.parked:
            self.listener.scheduler.call_soon(self.handoff.wake)
        self.close_if_done()

    def _close_after_broken_relay(self, relay: ResponseRelay) -> None:
        """Close within the time that a long response may go without progress."""
        until = relay.last_progress + self.listener.limits.stall_timeout
        self._close_when_sent(until - self.listener.scheduler.now())

    def _close_when_sent(self, timeout: float = 0.0) -> None:
        """Close as the long response that is next is never complete, which its client can tell.

        What is in front of it is complete and goes out before.

        Args:
            timeout: Seconds that this may take; 0 or less is no time, unless it is under way.
        """
        stream = self.stream
        is_waiting = stream.on_flushed == self._close_when_sent
        if not stream.unsent or (timeout <= 0 and not is_waiting):
            stream.close()
        elif not is_waiting:
            stream.on_flushed = self._close_when_sent
            self.listener.scheduler.call_later(timeout, stream.close)

    # The end.

    def is_idle(self) -> bool:
        """Return whether the client is owed nothing and has sent nothing that is not read."""
        stream = self.stream
        return (
            not self.handoff.is_offered
            and not self.pending_replies
            and not stream.buffer
            and not stream.unsent
            and bool(stream.is_read_idle())
        )

    def close_if_done(self) -> None:
        """End our side of a connection that has to go, once nothing is owed on it.

        Its client is read for a while more.
        """
        now = self.listener.scheduler.now()
        if self.is_closing and self._has_written_all():
            self._finish_stream(now)
        elif not self._goes_to_successor() and self._may_close(now):
            self._begin_closing(now)

    def _has_written_all(self) -> bool:
        """Return whether all replies are written, and the kernel has taken them."""
        return not self.pending_replies and not self.stream.unsent

    def _goes_to_successor(self) -> bool:
        """Return whether the connection is another process's, or will be."""
        has_successor = self.listener.successor is not None
        return self.handoff.is_offered or (has_successor and not self.is_closing)

    def _begin_closing(self, now: float) -> None:
        """Take no command any more; the end of our side tells the client so, as nothing is owed."""
        self.is_closing = True
        self._finish_stream(now)

    def _finish_stream(self, now: float) -> None:
        """End our side of the stream; close it once the client has had time to notice."""
        self.finished_at = self.finished_at or now
        self.stream.write_eof()
        if now - self.finished_at > self.listener.limits.linger_timeout:
            self.stream.close()

    def _may_close(self, now: float) -> bool:
        """Return whether the connection has to go and nothing is owed on it."""
        lifecycle = self.listener.lifecycle
        if lifecycle.closes_idle_connections(now) and self._goes_when_idle(now) and self.is_idle():
            return True
        if self.is_closing or not self._owes_nothing():
            return False
        return not lifecycle.accepts_command(now, self.connected_at)

    def _owes_nothing(self) -> bool:
        """Return whether all replies are out, and no command is here or on its way that counts.

        Bytes that have a deadline are the begin of a command, which would be rejected once
        complete. Those without one are still to be parsed, or of a long command that progresses.
        """
        has_no_command = not self.stream.buffer or self.command_deadline is not None
        return self._has_written_all() and has_no_command

    def _goes_when_idle(self, now: float) -> bool:
        """Return whether an idle connection ends.

        One that only pings, to learn when the gateway is back, may go on while it drains.
        """
        return (
            self.has_sent_rpc
            or self.listener.lifecycle.state == LifecycleState.ENDING
            or now - self.idle_since >= self.listener.limits.drain_idle
        )
