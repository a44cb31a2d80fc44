"""Sockets for scenarios: the peers of the gateway, and wrappers that force rare events."""

import errno
import select
import socket
from collections.abc import Callable
from typing import Any, TypeVar

from petrellane.net.limits import Limits

RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: on, zero seconds
READ_SIZE = 1 << 20
SMALL_BUFFER = 4096  # bytes; the kernel rounds up

Parsed = TypeVar("Parsed", bound=tuple[Any, ...])


class Peer:
    """The scenario's end of one connection, with the bytes received on it.

    Attributes:
        sock: The socket.
        role: The name of the listener that accepted the connection; empty for a client.
        buffer: The bytes received and not yet parsed.
        ended: Whether the connection was closed or reset.
        error: The error that broke the connection, if any.
        watch_request: The last request, if this is a connection to discovery.
    """

    def __init__(self, sock: socket.socket, role: str = "") -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.role = role
        self.buffer = bytearray()
        self.ended = False
        self.error: OSError | None = None
        self.watch_request = b""

    def read(self) -> None:
        """Read all bytes that have arrived, and acknowledge them without the kernel's delay.

        The scenario's clock is faster than that of the kernel.
        """
        try:
            while not self.ended and (data := self.sock.recv(READ_SIZE)):
                self.buffer += data
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
            self.ended = True
        except BlockingIOError:
            pass
        except OSError as error:
            self.ended = True
            self.error = error

    def parse(
        self, parser: Callable[[bytearray, int, Limits], Parsed | None], limits: Limits
    ) -> tuple[Parsed, bytes] | None:
        """Remove the next command or answer from the buffer.

        Args:
            parser: A parser of `petrellane.net.resp`.
            limits: The limits for the parser.

        Returns:
            The parsed form and the bytes that its spans refer to; None while the frame is
            incomplete.
        """
        if not self.buffer:
            return None
        parsed = parser(self.buffer, 0, limits)
        if not parsed:
            return None
        data = bytes(self.buffer[: parsed[-1]])
        del self.buffer[: parsed[-1]]
        return parsed, data

    def send_all(self, data: bytes) -> None:
        """Send all bytes; the kernel must accept them without a turn of the gateway."""
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.buffer.clear()
        self.ended = True


class CrossingSocket:
    """Wraps a socket of the gateway so that bytes arrive just before its shutdown or close."""

    def __init__(self, sock: socket.socket, arrive: Callable[[], object]) -> None:
        self.sock = sock
        self.arrive: Callable[[], object] | None = arrive

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def shutdown(self, how: int) -> None:
        """Let the bytes arrive, then shut down."""
        self._arrive_once()
        self.sock.shutdown(how)

    def close(self) -> None:
        """Let the bytes arrive, then close."""
        self._arrive_once()
        self.sock.close()

    def _arrive_once(self) -> None:
        arrive = self.arrive
        self.arrive = None
        if arrive is not None:
            arrive()


class FloodingSocket:
    """Wraps a socket of the gateway so that every read returns data, as from a flooding peer.

    Attributes:
        maximum_reads: The largest number of reads in one turn so far.
    """

    def __init__(
        self, sock: socket.socket, turn_count: Callable[[], int], limit: int, data: bytes
    ) -> None:
        """Wrap a socket.

        Args:
            sock: The socket to wrap.
            turn_count: Returns the number of turns so far.
            limit: The number of reads per turn beyond which a read fails.
            data: The data that each read returns; if empty, as many letters x as requested.
        """
        self.sock = sock
        self.turn_count = turn_count
        self.limit = limit
        self.data = data
        self.turn = 0
        self.reads = 0
        self.maximum_reads = 0

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def recv_into(self, space: memoryview) -> int:
        """Receive data.

        Raises:
            OSError: The gateway has exceeded the limit of reads in this turn.
        """
        turn = self.turn_count()
        self.reads = self.reads + 1 if self.turn == turn else 1
        self.turn = turn
        self.maximum_reads = max(self.maximum_reads, self.reads)
        if self.reads > self.limit:
            raise OSError(f"expected at most {self.limit} reads in one turn, found {self.reads}")
        data = self.data or b"x" * len(space)
        space[: len(data)] = data
        return len(data)


class StarvedListener:
    """Wraps a listener of the gateway so that the first calls of accept find no descriptor.

    Attributes:
        accept_calls: The number of calls of accept so far.
    """

    def __init__(self, listener: socket.socket, failures: float) -> None:
        """Wrap a listener.

        Args:
            listener: The listener to wrap.
            failures: The number of calls that fail; may be infinite.
        """
        self.listener = listener
        self.failures = failures
        self.accept_calls = 0

    def __getattr__(self, name: str) -> object:
        return getattr(self.listener, name)

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection, or fail with EMFILE as if no descriptor were free."""
        self.accept_calls += 1
        if self.accept_calls <= self.failures:
            raise OSError(errno.EMFILE, "no descriptor")
        return self.listener.accept()


class OrderedPoll:
    """Wraps a poll object: reports ready sockets in the order of registration, or in reverse."""

    def __init__(self, poll: select.poll) -> None:
        self.wrapped = poll
        self.backward = False
        self.register = poll.register
        self.modify = poll.modify
        self.unregister = poll.unregister

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        """Return the ready sockets; wait for them for at most `timeout` milliseconds."""
        ready = self.wrapped.poll(timeout)
        return ready[::-1] if self.backward else ready


def occupy_backlog(address: tuple[str, int], number: int) -> list[socket.socket]:
    """Open connections that fill a listener's backlog, so that further ones never come up."""
    blockers = []
    for _ in range(number):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(address)
        blockers.append(sock)
    return blockers
