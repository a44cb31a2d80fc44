"""A connection between the two processes of a hot restart: packets on a Unix socket.

The link owns the socket. Each message is one packet: a JSON object, a newline, optional data bytes
and at most one file descriptor. `hot_restart_messages` encodes the JSON objects, and
`hot_restart_transport` opens and accepts the connections.
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
    """A received packet.

    Attributes:
        message: The message; None if this version does not know it.
        data: The bytes after the JSON object and its newline.
        sock: The socket of the received descriptor, if any.
    """

    message: Message | None
    data: bytes
    sock: socket.socket | None


class MessageLink:
    """A connection between two processes, owned by the `HotRestartTransport` that created it.

    The link closes itself when the peer closes the connection or sends a malformed packet.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        sock: socket.socket,
        on_packet: Callable[["MessageLink", Packet], None],
        on_closed: Callable[["MessageLink"], None],
    ) -> None:
        """Take ownership of a connected socket and start to read from it.

        Args:
            scheduler: The scheduler that reports when the socket is ready.
            limits: The limits, which contain the maximum packet size.
            sock: A connected SOCK_SEQPACKET socket.
            on_packet: The callback for each received packet.
            on_closed: The callback for the closed connection; the link calls it once.
        """
        self._scheduler = scheduler
        self._limits = limits
        self._sock = sock
        self._on_packet = on_packet
        self._on_closed = on_closed
        # Packets with their descriptors that the socket has not accepted yet.
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        sock.setblocking(False)
        scheduler.register(sock.fileno(), select.POLLIN, self._on_events, urgent=True)

    @property
    def has_unsent(self) -> bool:
        """Whether the socket has not accepted all messages yet."""
        return bool(self._unsent)

    def send(self, message: Message, data: bytes = b"", descriptor: int | None = None) -> None:
        """Send a message without blocking; the link queues it until the socket accepts it.

        Args:
            message: The message.
            data: The data bytes that follow the message in its packet.
            descriptor: The file descriptor to send with the packet, if any.
        """
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
        """Return the parsed packet; None if the packet is malformed.

        An empty packet, which the socket returns after the peer has closed, is malformed too.
        """
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
