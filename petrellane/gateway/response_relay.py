"""The relay of long responses from an endpoint to a client.

The gateway never buffers a response above `Limits.max_value_size` completely. A `ResponseRelay`
passes it from the endpoint's connection to the client's. If the client reads slowly, the relay
pauses reading from that endpoint connection and from no other. `MemoryAccount` limits the bytes
that are buffered in total.
"""

from __future__ import annotations

import enum
import socket
from collections import deque
from typing import TYPE_CHECKING

from petrellane.gateway.replies import VALUE_END

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.gateway.memory_account import MemoryAccount
    from petrellane.net.buffers import HeldBytes
    from petrellane.net.stream import Stream


class RelayState(enum.Enum):
    """The state of a long response: in progress, received completely, or broken off."""

    OPEN = "open"
    COMPLETE = "complete"
    BROKEN = "broken"


class ResponseRelay:
    """One long response on its way from an endpoint to a client.

    Created by the `EndpointConnection` that reads the response, which calls `push` and then `end`
    or `fail`. The client's connection takes the buffered bytes, and drops the relay when its client
    disconnects. The relay owns the buffered bytes. The account lists it until the response ends or
    the relay is dropped.
    """

    def __init__(
        self,
        memory: MemoryAccount,
        now: Callable[[], float],
        set_reading_paused: Callable[[bool], object],
        on_abandoned: Callable[[], object],
    ) -> None:
        """Begin a response.

        Args:
            memory: The account that all relays share.
            now: Returns the current time, in Unix seconds.
            set_reading_paused: Pauses (True) or resumes (False) reading from the endpoint.
            on_abandoned: Called when the gateway no longer forwards the response to a client.
        """
        self.memory = memory
        self.now = now
        self.set_reading_paused = set_reading_paused
        self.on_abandoned = on_abandoned
        self.on_data: Callable[[], object] = self._ignore_data
        self.pieces: deque[HeldBytes] = deque()
        self.buffered_bytes = 0
        self.stream: Stream | None = None
        self.state = RelayState.OPEN
        self.is_reading_paused = False
        self.is_discarding = False
        # The Unix time of the last progress, and the last known `bytes_sent` of `stream`.
        self.last_progress = now()
        self.last_bytes_sent = 0
        memory.relays.add(self)

    def _ignore_data(self) -> None:
        """Ignore new data; this is `on_data` until a client takes the response."""

    # The endpoint's side.

    def push(self, data: HeldBytes) -> None:
        """Buffer more bytes from the endpoint and notify the client's connection.

        Has no effect once the relay discards the response.
        """
        if not self.is_discarding:
            self.last_progress = self.now()
            self.pieces.append(data)
            self.buffered_bytes += len(data)
            self.memory.output.set(self, self.buffered_bytes)
            self.on_data()
            self.adjust_reading()

    def end(self) -> None:
        """Mark the response as complete: the data after its value is complete and well-formed."""
        self._close(RelayState.COMPLETE)

    def fail(self) -> None:
        """Mark the response as broken: the endpoint sends no more of it."""
        self._close(RelayState.BROKEN)

    def _close(self, state: RelayState) -> None:
        self.memory.relays.discard(self)
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

    def take(self, stream: Stream) -> list[HeldBytes]:
        """Return the buffered bytes, for the client's stream to write."""
        if self.stream is None:
            self.stream = stream
            self.last_bytes_sent = stream.bytes_sent
            stream.on_flushed = self.adjust_reading
            stream.limit_kernel_buffer(socket.SO_SNDBUF, self.memory.limits.relay_send_buffer)
            stream.limit_unsent_in_kernel(self.memory.limits.relay_unsent_in_kernel)
        pieces = list(self.pieces)
        self._clear()
        return pieces

    def _clear(self) -> None:
        self.pieces.clear()
        self.buffered_bytes = 0
        self.memory.output.set(self, 0)

    def drop(self) -> None:
        """Discard the rest of the response, because no client waits for it."""
        self._discard()
        self.memory.relays.discard(self)
        if self.state is RelayState.OPEN:
            self.adjust_reading()
            self.on_abandoned()

    def _discard(self) -> None:
        self.is_discarding = True
        self._clear()

    def adjust_reading(self) -> None:
        """Pause or resume reading, depending on the bytes buffered here and in `stream`."""
        buffered = self.buffered_bytes
        if self.stream and not self.is_discarding:
            buffered += self.stream.bytes_queued - self.stream.bytes_sent
            if self.stream.bytes_sent > self.last_bytes_sent:
                self.last_bytes_sent = self.stream.bytes_sent
                self.last_progress = self.now()
        window = self.memory.relay_window()
        should_pause = buffered > window or (buffered > 0 and self.memory.output.is_full)
        if should_pause != self.is_reading_paused and self.state is RelayState.OPEN:
            self.is_reading_paused = should_pause
            self.set_reading_paused(should_pause)
