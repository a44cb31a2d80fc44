"""Long responses on their way from an endpoint to a client, and the memory that they may use.

A response above the size of a short one is never held completely. A `ResponseRelay` stands between
the endpoint that gives it and the client that takes it; what waits for a slow client stops the
reading from its endpoint, and nothing else. `BufferBudget` bounds what waits in all.
"""

from __future__ import annotations

import enum
import socket
from collections import deque
from typing import TYPE_CHECKING

from petrellane.gateway.replies import VALUE_END

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.net.limits import Limits
    from petrellane.net.stream import Stream


class BufferBudget:
    """The bytes that may wait in all, for long responses and for long commands.

    One budget per process, made by `GatewayProcess` and shared by both sides. Each relay has a
    window. A command's body is kept completely, and has what it needs while there is room.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.relays: set[ResponseRelay] = set()
        self.reservations: dict[object, int] = {}
        self.reserved = 0

    def window(self) -> int:
        """Return the bytes that may wait in one relay."""
        share = (self.limits.buffer_budget - self.reserved) // max(1, len(self.relays))
        return max(self.limits.min_relay_window, min(self.limits.relay_window, share))

    def reserve(self, owner: object, size: int) -> None:
        """Set the bytes of a body that are kept for an owner; 0 ends its reservation."""
        self.reserved += size - self.reservations.get(owner, 0)
        if size:
            self.reservations[owner] = size  # in its old place: the first one stays the first
        else:
            self.reservations.pop(owner, None)

    def has_room(self, owner: object) -> bool:
        """Return whether more of an owner's body may be read.

        It may while there is room, and always for the owner that came first, so that one completes.
        """
        return (
            self.reserved < self.limits.buffer_budget
            or next(iter(self.reservations), owner) is owner
        )


class RelayState(enum.Enum):
    """Whether more of a long response is to come from its endpoint."""

    OPEN = "open"
    COMPLETE = "complete"
    BROKEN = "broken"


class ResponseRelay:
    """One long response.

    Made by the `EndpointConnection` that reads it, which calls `push` and then `end` or `fail`.
    The client's connection takes what waits, and drops the relay when its client goes. It owns the
    bytes that wait, and is counted in the budget until the endpoint or the client is done with it.
    """

    def __init__(
        self,
        budget: BufferBudget,
        now: Callable[[], float],
        set_reading_paused: Callable[[bool], object],
        on_unwanted: Callable[[], object],
    ) -> None:
        """Begin a response.

        Args:
            budget: The memory that it shares with others.
            now: The clock, in seconds.
            set_reading_paused: Notified whether reading from the endpoint's connection is to pause.
            on_unwanted: Called once no client takes the response any more.
        """
        self.budget = budget
        self.now = now
        self.set_reading_paused = set_reading_paused
        self.on_unwanted = on_unwanted
        self.on_data: Callable[[], object] = self._no_client
        self.pieces: deque[bytes] = deque()
        self.waiting = 0
        self.stream: Stream | None = None
        self.state = RelayState.OPEN
        self.is_reading_paused = False
        self.is_discarding = False
        # When bytes moved last, and how many bytes the client's stream had sent then.
        self.last_progress = now()
        self.sent = 0
        budget.relays.add(self)

    def _no_client(self) -> None:
        """Stand in for `on_data` until a client takes the response."""

    # The endpoint's side.

    def push(self, data: bytes) -> None:
        """Take more of the response from the endpoint."""
        if not self.is_discarding:
            self.last_progress = self.now()
            self.pieces.append(data)
            self.waiting += len(data)
            self.on_data()
            self.adjust_reading()

    def end(self) -> None:
        """End the response: it is complete, and what followed it was well formed."""
        self._close(RelayState.COMPLETE)

    def fail(self) -> None:
        """End the response: the endpoint gives no more of it."""
        self._close(RelayState.BROKEN)

    def _close(self, state: RelayState) -> None:
        self.budget.relays.discard(self)
        if self.state is RelayState.OPEN:
            self.state = state
            if state is RelayState.COMPLETE:
                self.pieces.append(VALUE_END)
            self.on_data()

    def expire(self) -> None:
        """Give up a response of which nothing has moved for too long, whoever is to blame.

        The client's connection ends, and what the endpoint still gives is discarded.
        """
        self.fail()
        self._discard()
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.set_reading_paused(False)
        self.on_unwanted()

    # The client's side.

    def take(self, stream: Stream) -> list[bytes]:
        """Return all that waits, for a stream to which more will go."""
        if self.stream is None:
            self.stream = stream
            self.sent = stream.bytes_sent
            stream.on_flushed = self.adjust_reading
            stream.limit_kernel_buffer(socket.SO_SNDBUF)
        pieces = list(self.pieces)
        self.waiting = 0
        self.pieces.clear()
        return pieces

    def drop(self) -> None:
        """Discard what still comes, as the client is gone."""
        self._discard()
        self.budget.relays.discard(self)
        if self.state is RelayState.OPEN:
            self.adjust_reading()
            self.on_unwanted()

    def _discard(self) -> None:
        self.is_discarding = True
        self.waiting = 0
        self.pieces.clear()

    def adjust_reading(self) -> None:
        """Pause or resume reading from the endpoint, by what waits here and in the stream."""
        waiting = self.waiting
        if self.stream and not self.is_discarding:
            waiting += self.stream.bytes_queued - self.stream.bytes_sent
            if self.stream.bytes_sent > self.sent:
                self.sent = self.stream.bytes_sent
                self.last_progress = self.now()
        should_pause = waiting > self.budget.window()
        if should_pause != self.is_reading_paused and self.state is RelayState.OPEN:
            self.is_reading_paused = should_pause
            self.set_reading_paused(should_pause)
