"""The relay of long responses from an endpoint to a client, and the budget for buffered bytes.

The gateway never buffers a response above `Limits.max_value_size` completely. A `ResponseRelay`
passes it from the endpoint's connection to the client's. If the client reads slowly, the relay
pauses reading from that endpoint connection and from no other. `BufferBudget` limits the bytes that
are buffered in total.
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
    """The limit on the bytes buffered for long responses and long commands.

    `GatewayProcess` creates one budget per process, which the client side and the endpoint side
    share. Each relay has a window, an equal part of the free budget within fixed bounds. The body
    of a command is buffered completely; its connection reads on only while the budget has room.

    Attributes:
        limits: The limits with the budget and the windows, in bytes.
        relays: The relays of responses that are in progress.
        reservations: The bytes reserved by each owner, in the order of the first reservations.
        reserved: The sum of all reservations, in bytes.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.relays: set[ResponseRelay] = set()
        self.reservations: dict[object, int] = {}
        self.reserved = 0

    def window(self) -> int:
        """Return how many bytes one relay may buffer before it pauses reading."""
        share = (self.limits.buffer_budget - self.reserved) // max(1, len(self.relays))
        return max(self.limits.min_relay_window, min(self.limits.relay_window, share))

    def reserve(self, owner: object, size: int) -> None:
        """Set the number of bytes that an owner reserves for a body; 0 ends the reservation."""
        self.reserved += size - self.reservations.get(owner, 0)
        if size:
            self.reservations[owner] = size  # an existing owner keeps its position
        else:
            self.reservations.pop(owner, None)

    def has_room(self, owner: object) -> bool:
        """Return whether the gateway may read more of an owner's body.

        The gateway reads while the budget is not used up. It always reads for the owner of the
        oldest reservation, so that at least one body completes.
        """
        return (
            self.reserved < self.limits.buffer_budget
            or next(iter(self.reservations), owner) is owner
        )


class RelayState(enum.Enum):
    """The state of a long response: in progress, received completely, or broken off."""

    OPEN = "open"
    COMPLETE = "complete"
    BROKEN = "broken"


class ResponseRelay:
    """One long response on its way from an endpoint to a client.

    Created by the `EndpointConnection` that reads the response, which calls `push` and then `end`
    or `fail`. The client's connection takes the buffered bytes, and drops the relay when its client
    disconnects. The relay owns the buffered bytes. It counts in the budget until the response ends
    or the relay is dropped.
    """

    def __init__(
        self,
        budget: BufferBudget,
        now: Callable[[], float],
        set_reading_paused: Callable[[bool], object],
        on_abandoned: Callable[[], object],
    ) -> None:
        """Begin a response.

        Args:
            budget: The budget that all relays and long commands share.
            now: Returns the current time, in Unix seconds.
            set_reading_paused: Pauses (True) or resumes (False) reading from the endpoint.
            on_abandoned: Called when the gateway no longer forwards the response to a client.
        """
        self.budget = budget
        self.now = now
        self.set_reading_paused = set_reading_paused
        self.on_abandoned = on_abandoned
        self.on_data: Callable[[], object] = self._ignore_data
        self.pieces: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.stream: Stream | None = None
        self.state = RelayState.OPEN
        self.is_reading_paused = False
        self.is_discarding = False
        # The Unix time of the last progress, and the last known `bytes_sent` of `stream`.
        self.last_progress = now()
        self.last_bytes_sent = 0
        budget.relays.add(self)

    def _ignore_data(self) -> None:
        """Ignore new data; this is `on_data` until a client takes the response."""

    # The endpoint's side.

    def push(self, data: bytes) -> None:
        """Buffer more bytes from the endpoint and notify the client's connection.

        Has no effect once the relay discards the response.
        """
        if not self.is_discarding:
            self.last_progress = self.now()
            self.pieces.append(data)
            self.buffered_bytes += len(data)
            self.on_data()
            self.adjust_reading()

    def end(self) -> None:
        """Mark the response as complete: the data after its value is complete and well-formed."""
        self._close(RelayState.COMPLETE)

    def fail(self) -> None:
        """Mark the response as broken: the endpoint sends no more of it."""
        self._close(RelayState.BROKEN)

    def _close(self, state: RelayState) -> None:
        self.budget.relays.discard(self)
        if self.state is RelayState.OPEN:
            self.state = state
            if state is RelayState.COMPLETE:
                self.pieces.append(VALUE_END)
            self.on_data()

    def expire(self) -> None:
        """Abort a response without progress, whether the endpoint or the client has stalled.

        The client's connection closes, and the relay discards the rest of the response.
        """
        self.fail()
        self._discard()
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.set_reading_paused(False)
        self.on_abandoned()

    # The client's side.

    def take(self, stream: Stream) -> list[bytes]:
        """Return the buffered bytes, for the client's stream to write."""
        if self.stream is None:
            self.stream = stream
            self.last_bytes_sent = stream.bytes_sent
            stream.on_flushed = self.adjust_reading
            stream.limit_kernel_buffer(socket.SO_SNDBUF)
        pieces = list(self.pieces)
        self.buffered_bytes = 0
        self.pieces.clear()
        return pieces

    def drop(self) -> None:
        """Discard the rest of the response, because no client waits for it."""
        self._discard()
        self.budget.relays.discard(self)
        if self.state is RelayState.OPEN:
            self.adjust_reading()
            self.on_abandoned()

    def _discard(self) -> None:
        self.is_discarding = True
        self.buffered_bytes = 0
        self.pieces.clear()

    def adjust_reading(self) -> None:
        """Pause or resume reading, depending on the bytes buffered here and in `stream`."""
        buffered = self.buffered_bytes
        if self.stream and not self.is_discarding:
            buffered += self.stream.bytes_queued - self.stream.bytes_sent
            if self.stream.bytes_sent > self.last_bytes_sent:
                self.last_bytes_sent = self.stream.bytes_sent
                self.last_progress = self.now()
        should_pause = buffered > self.budget.window()
        if should_pause != self.is_reading_paused and self.state is RelayState.OPEN:
            self.is_reading_paused = should_pause
            self.set_reading_paused(should_pause)
