"""A connection through a relay: two sockets, and the bytes in transit between them.

The active faults of the relay determine how the bytes are forwarded. This module only reads them.
"""

import select
import socket
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from petrellane.testbed.fake_server import RESET_ON_CLOSE

if TYPE_CHECKING:
    from petrellane.testbed.relay import Relay

CHUNK = 1 << 16
MAXIMUM_HELD = 4 * CHUNK  # bytes buffered per direction before the relay stops reading the source
READABLE_OR_WRITABLE = select.POLLIN | select.POLLOUT
LOSSES = frozenset({"mute", "deaf"})  # faults that drop bytes


class Segment(NamedTuple):
    """Bytes that are read from a source and wait to be forwarded.

    Attributes:
        due: The earliest scheduler time at which the bytes may be forwarded.
        data: The bytes; b"" for the end of the stream.
        read_at: The scheduler time at which the relay read the bytes.
    """

    due: float
    data: bytes
    read_at: float


class Direction:
    """One direction of a connection, from a source socket to a sink; owned by the connection.

    Attributes:
        source: The socket to read from.
        sink: The socket to write to.
        waiting: The segments that are not forwarded yet.
        lost: Whether bytes were lost, after which all further bytes are dropped.
        ended: Whether the source has sent the end of its stream.
        allowance: The bytes that `half` still lets pass; None before `half` applies.
        blocked: Whether the sink's send buffer is full.
    """

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        """Initialize a direction without buffered bytes."""
        self.source = source
        self.sink = sink
        self.waiting: deque[Segment] = deque()
        self.lost = False
        self.ended = False
        self.allowance: int | None = None
        self.blocked = False

    def held_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return sum(len(segment.data) for segment in self.waiting)


class RelayConnection:
    """Forwards one connection; owned by its relay from the accept until `end`.

    A connection that the `lossy` fault selects is accepted but has no target.
    """

    def __init__(self, relay: "Relay", client: socket.socket, lost: bool) -> None:
        """Take ownership of a client's socket; dial the target unless the connection is lost."""
        self._relay = relay
        self._client = client
        self._lost = lost
        self._connected = False
        if lost:
            return
        self._target = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._target.setblocking(False)
        self._target.connect_ex(relay.target)
        for sock in (self._client, self._target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._requests = Direction(self._client, self._target)
        self._answers = Direction(self._target, self._client)
        scheduler = relay.scheduler
        scheduler.register(self._client.fileno(), select.POLLIN, self._on_client_events)
        scheduler.register(self._target.fileno(), select.POLLOUT, self._on_target_events)

    def on_faults_changed(self) -> None:
        """Apply changed faults: forward due bytes, or reset a connection that lost bytes."""
        if self._lost:
            return
        has_losses = self._requests.lost or self._answers.lost
        if has_losses and not self._relay.faults.keys() & LOSSES:
            # The receiver could not detect the gap in the stream that the lost bytes leave.
            self.end(reset=True)
        else:
            self._flush()

    def end(self, reset: bool = False) -> None:
        """Close both sockets; with `reset`, reset the connection and drop bytes in transit."""
        self._relay.connections.pop(self, None)
        if self._connected and self._target.fileno() >= 0 and not self._requests.ended:
            self._relay.on_client_closed(self._target.getsockname())
        self._close(self._client, reset)
        if not self._lost:
            self._close(self._target, reset)

    def _close(self, sock: socket.socket, reset: bool) -> None:
        if sock.fileno() < 0:
            return
        if sock.fileno() in self._relay.scheduler.event_handlers:
            self._relay.scheduler.unregister(sock.fileno())
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    def _on_client_events(self, events: int) -> None:
        if self._target.fileno() >= 0:
            self._on_events(self._requests, events)

    def _on_target_events(self, events: int) -> None:
        if self._target.fileno() < 0:
            return
        if not self._connected:
            if self._target.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.end(reset=True)
                return
            self._connected = True
            self._watch()
        self._on_events(self._answers, events)

    def _on_events(self, direction: Direction, events: int) -> None:
        """Handle poll events of a direction's source."""
        if events & ~READABLE_OR_WRITABLE and not events & select.POLLIN:
            self.end(reset=True)
            return
        if events & select.POLLIN:
            self._read(direction)
        self._flush()

    def _read(self, direction: Direction) -> None:
        now = self._relay.scheduler.monotonic()
        try:
            data = direction.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self.end(reset=True)
            return
        if not data:
            direction.ended = True
            if direction is self._requests:
                self._relay.on_client_closed(self._target.getsockname())
        faults = self._relay.faults
        losing_fault = "deaf" if direction is self._requests else "mute"
        if losing_fault in faults or direction.lost:
            direction.lost = True
        else:
            if direction is self._answers and "half" in faults and data:
                data = _cut_to_allowance(direction, data, int(faults["half"]))
                if not data:
                    return
            direction.waiting.append(Segment(now + faults.get("late", 0.0), data, now))
        self._watch()

    def _flush(self) -> None:
        """Forward due bytes in both directions; close the connection once both have ended."""
        if not self._connected or self._target.fileno() < 0:
            return
        now = self._relay.scheduler.monotonic()
        for direction in (self._requests, self._answers):
            try:
                self._flush_direction(direction, now)
            except OSError:
                self.end(reset=True)
                return
        directions = (self._requests, self._answers)
        if all(direction.ended and not direction.waiting for direction in directions):
            self.end()
            return
        self._watch()

    def _flush_direction(self, direction: Direction, now: float) -> None:
        """Forward the due bytes of a direction.

        Raises:
            OSError: The connection failed.
        """
        direction.blocked = False
        while direction.waiting and "cut" not in self._relay.faults:
            due, data, read_at = direction.waiting[0]
            if due > now:
                self._relay.scheduler.call_later(due - now, self._flush)
                return
            if not data:
                direction.sink.shutdown(socket.SHUT_WR)
                direction.waiting.popleft()
                continue
            try:
                sent = direction.sink.send(data)
            except BlockingIOError:
                direction.blocked = True
                return
            direction.waiting.popleft()
            if sent < len(data):
                direction.waiting.appendleft(Segment(due, data[sent:], read_at))
            elif direction is self._requests:
                self._relay.on_forwarded(self._target.getsockname(), read_at)

    def _watch(self) -> None:
        """Register each socket for the poll events that its directions need."""
        self._watch_socket(self._client, self._requests, self._answers, connecting=False)
        connecting = not self._connected
        self._watch_socket(self._target, self._answers, self._requests, connecting=connecting)

    def _watch_socket(
        self, sock: socket.socket, read: Direction, written: Direction, *, connecting: bool
    ) -> None:
        scheduler = self._relay.scheduler
        if sock.fileno() < 0 or sock.fileno() not in scheduler.event_handlers:
            return
        events = 0
        if not read.ended and read.held_bytes() <= MAXIMUM_HELD:
            events |= select.POLLIN
        if written.blocked or connecting:
            events |= select.POLLOUT
        scheduler.modify(sock.fileno(), events)


def _cut_to_allowance(direction: Direction, data: bytes, allowance: int) -> bytes:
    """Return the bytes that `half` still lets pass, and subtract them from the allowance."""
    left = allowance if direction.allowance is None else direction.allowance
    direction.allowance = max(0, left - len(data))
    return data[:left]
