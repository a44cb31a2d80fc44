"""Base class of the fakes: a listening socket, with a greenlet for each connection.

A fake implements the part of the peer's protocol that a gateway uses. It can simulate a process
crash by resetting its connections, and can then listen at the same address again.
"""

import select
import socket
from collections.abc import Iterator

from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Closed, Stream, accept_waiting, open_listener
from petrellane.testbed.addresses import ANY_PORT, format_address

LIMITS = Limits(1 << 16, 1.0, 1.0, 64, 1.0)
BACKLOG = 256
ACCEPTED_PER_EVENT = 64
# struct linger for SO_LINGER, on with a timeout of 0 s: a close resets the connection.
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"


def peer_of(sock: socket.socket) -> Address | None:
    """Return the peer address of a connection; None if the connection has been reset."""
    try:
        host, port = sock.getpeername()
    except OSError:
        return None
    return host, port


def ignore_exhaustion(_: OSError) -> None:
    """Ignore descriptor exhaustion: the connection stays in the accept queue."""


class FakeServer:
    """A listening socket with a greenlet for each connection.

    The fleet of a run owns and closes it. Subclasses override `serve` to handle a connection.

    Attributes:
        scheduler: The scheduler of the run.
        listener: The listening socket; None after a crash.
        address: The address that the server listens at.
        streams: The open connections, each with its peer address.
    """

    def __init__(self, scheduler: Scheduler, address: Address = ANY_PORT) -> None:
        """Listen at an address.

        Raises:
            OSError: The address is not free.
        """
        self.scheduler = scheduler
        self.streams: dict[Stream, Address | None] = {}
        self.listener: socket.socket | None = open_listener(address, BACKLOG)
        self.address: Address = self.listener.getsockname()
        self._watch_listener(self.listener)

    @property
    def host_port(self) -> str:
        """The address as host:port."""
        return format_address(self.address)

    def serve(self, stream: Stream) -> None:
        """Answer the requests of a connection until it ends, in the connection's greenlet."""
        raise NotImplementedError

    def handle_connection(self, stream: Stream) -> None:
        """Serve a connection until it ends, then close and remove it."""
        try:
            self.serve(stream)
        except (Closed, resp.Malformed, TimeoutError):
            pass
        finally:
            stream.close()
            self.streams.pop(stream, None)
            self.on_disconnected(stream)

    def on_disconnected(self, stream: Stream) -> None:
        """Handle the end of a connection; subclasses may override it."""

    def commands(self, stream: Stream) -> Iterator[list[bytes]]:
        """Yield each command received on a connection, as a list of its arguments."""
        while True:
            while (command := resp.parse_command(stream.buffer, 0, LIMITS)) is not None:
                parts = [bytes(stream.buffer[start:end]) for start, end in command.spans]
                stream.buffer.consume(command.end)
                yield parts
            stream.fill()

    def crash(self) -> None:
        """Stop listening and reset all connections, as the kernel does when a process crashes."""
        if self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None
        for stream in list(self.streams):
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.release()  # `close` would first shut down the write side in an orderly way

    def listen_again(self) -> None:
        """Listen at the same address after a crash; no effect while the server listens."""
        if self.listener is None:
            self.listener = open_listener(self.address, BACKLOG)
            self._watch_listener(self.listener)

    def set_backlog(self, backlog: int) -> None:
        """Set the length of the accept queue to `backlog` connections."""
        if self.listener is not None:
            self.listener.listen(backlog)

    def close(self) -> None:
        """Stop listening and reset all connections permanently."""
        self.crash()

    def _watch_listener(self, listener: socket.socket) -> None:
        self.scheduler.register(listener.fileno(), select.POLLIN, self._on_connections)

    def _on_connections(self, _: int) -> None:
        if self.listener is None:
            return
        for sock in accept_waiting(self.listener, ACCEPTED_PER_EVENT, ignore_exhaustion):
            stream = Stream(self.scheduler, LIMITS, sock)
            self.streams[stream] = peer_of(sock)
            self.scheduler.spawn(self.handle_connection, stream)
