"""One connection between the two processes of a hot restart: packets on a Unix socket.

Service: it owns the socket. A message is one packet: a JSON object, a line end, the bytes that go
with it, and at most one descriptor. The form of the JSON is in `hot_restart_messages`; who connects
to whom, and when, is left to `hot_restart_transport`.
"""

import contextlib
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.operation.hot_restart_messages import Message, decode, encode


class Packet(NamedTuple):
    """A received message with what came along; `message` is None where it is unknown."""

    message: Message | None
    data: bytes
    sock: socket.socket | None


class MessageLink:
    """One connection between two processes; it closes itself at the peer's end or at nonsense."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        sock: socket.socket,
        on_packet: Callable[["MessageLink", Packet], None],
        on_closed: Callable[["MessageLink"], None],
    ) -> None:
        """Read from a connected socket, which the link owns from now on.

        Args:
            scheduler: Reports when the socket is ready.
            limits: Sizes.
            sock: A SOCK_SEQPACKET socket.
            on_packet: Called with each message.
            on_closed: Called once, at the end.
        """
        self._scheduler = scheduler
        self._limits = limits
        self._sock = sock
        self._on_packet = on_packet
        self._on_closed = on_closed
        # Packets, and the descriptors that go with each, which the socket did not accept yet.
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        sock.setblocking(False)
        scheduler.register(sock.fileno(), select.POLLIN, self._on_events, urgent=True)

    @property
    def has_unsent(self) -> bool:
        """Whether a message still waits for the socket."""
        return bool(self._unsent)

    def send(self, message: Message, data: bytes = b"", descriptor: int | None = None) -> None:
        """Send a message, now or as soon as the socket accepts it; never waits."""
        packet = orjson.dumps(encode(message)) + b"\n" + bytes(data)
        self._unsent.append((packet, [] if descriptor is None else [descriptor]))
        self._flush()

    def close(self) -> None:
        """Close the connection; a second call has no effect."""
        if self._is_open():
            self._scheduler.unregister(self._sock.fileno())
            self._sock.close()
            self._on_closed(self)

    def _is_open(self) -> bool:
        return self._sock.fileno() >= 0

    def _flush(self) -> None:
        try:
            while self._unsent and self._is_open():
                packet, descriptors = self._unsent[0]
                socket.send_fds(self._sock, [packet], descriptors)
                self._unsent.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self._scheduler.call_soon(self.close)
            return
        if self._is_open():
            events = select.POLLIN | (select.POLLOUT if self._unsent else 0)
            self._scheduler.modify(self._sock.fileno(), events)

    def _on_events(self, events: int) -> None:
        if events & select.POLLOUT:
            self._flush()
        while self._is_open():
            try:
                received = socket.recv_fds(self._sock, self._limits.max_packet_size, 1)
            except BlockingIOError:
                return
            except OSError:
                received = (b"", [], 0, None)
            packet = self._parse(*received[:3])
            if packet is None:
                self.close()
                return
            self._on_packet(self, packet)

    @staticmethod
    def _parse(packet: bytes, descriptors: list[int], flags: int) -> Packet | None:
        """The parts of a packet; None at the end of the connection, which is an empty packet."""
        sockets = [socket.socket(fileno=number) for number in descriptors] if packet else []
        head, _, data = packet.partition(b"\n")
        content: Any = None
        with contextlib.suppress(ValueError):
            content = orjson.loads(head)
        if not isinstance(content, dict) or flags & socket.MSG_TRUNC:
            for sock in sockets:
                sock.close()
            return None
        return Packet(decode(content), data, sockets[0] if sockets else None)
