"""What all test doubles share: a listening socket, with a greenlet for each connection.

A test double speaks the operators' protocol as far as a gateway uses it. It can crash, as its
clients see it, and listen again at the same address.
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
# SO_LINGER on, for zero seconds: a close resets the connection.
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"


def peer_of(sock: socket.socket) -> Address | None:
    """Return where a connection comes from; None where it has been reset by now."""
    try:
        host, port = sock.getpeername()
    except OSError:
        return None
    return host, port


def ignore_exhaustion(_: OSError) -> None:
    """Go on where no descriptor is left for a connection: it waits."""


class FakeServer:
    """A listening socket with a greenlet for each connection.

    Owned by the fleet of a run, which closes it. A subclass says in `serve` what happens on a
    connection.

    Attributes:
        scheduler: The scheduler of the run.
        listener: The listening socket; None after a crash.
        address: Where it listens.
        streams: The open connections, each with where it comes from.
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
        """Answer what comes on a connection until it ends; runs in a greenlet of its own."""
        raise NotImplementedError

    def handle_connection(self, stream: Stream) -> None:
        """Serve a connection to its end, and forget it."""
        try:
            self.serve(stream)
        except (Closed, resp.Malformed, TimeoutError):
            pass
        finally:
            stream.close()
            self.streams.pop(stream, None)
            self.on_disconnected(stream)

    def on_disconnected(self, stream: Stream) -> None:
        """Take note that a connection has ended."""

    def commands(self, stream: Stream) -> Iterator[list[bytes]]:
        """Yield the commands that come on a connection, each as its parts."""
        while True:
            while (command := resp.parse_command(stream.buffer, 0, LIMITS)) is not None:
                parts = [bytes(stream.buffer[start:end]) for start, end in command.spans]
                del stream.buffer[: command.end]
                yield parts
            stream.fill()

    def crash(self) -> None:
        """Stop listening, and reset all connections, as when a process dies."""
        if self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None
        for stream in list(self.streams):
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.release()  # a close would shut the sending down in order first

    def listen_again(self) -> None:
        """Listen at the same address after a crash; no effect while it listens."""
        if self.listener is None:
            self.listener = open_listener(self.address, BACKLOG)
            self._watch_listener(self.listener)

    def widen_queue(self, backlog: int) -> None:
        """Let so many connections wait to be accepted."""
        if self.listener is not None:
            self.listener.listen(backlog)

    def close(self) -> None:
        """End for good."""
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
