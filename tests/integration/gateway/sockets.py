"""Sockets of a scenario: its ends of connections, and wrappers that force rare events to happen."""

import errno
import select
import socket
from collections.abc import Callable
from typing import Any, TypeVar

from petrellane.net.limits import Limits

LOOPBACK = "127.0.0.1"
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: on, zero seconds
READ_SIZE = 1 << 20
SMALL_BUFFER = 4096  # bytes; the kernel rounds up

Parsed = TypeVar("Parsed", bound=tuple[Any, ...])


class Peer:
    """The scenario's end of one connection, and the bytes that came on it.

    Attributes:
        role: The listener that accepted the connection; empty for a client.
        ended: Whether the other side closed or reset the connection.
        error: What broke the connection, if it did not end in order.
        watch_request: The last request to discovery, where this is one of its connections.
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
        """Take in what has come."""
        try:
            while not self.ended and (data := self.sock.recv(READ_SIZE)):
                self.buffer += data
            self.ended = True
        except BlockingIOError:
            pass
        except OSError as error:
            self.ended = True
            self.error = error

    def parse(
        self, parser: Callable[[bytearray, int, Limits], Parsed | None], limits: Limits
    ) -> tuple[Parsed, bytes] | None:
        """Take the next command or answer off the buffer.

        Returns:
            Its parsed form and its bytes, to which the spans of the form refer; None while it is
            not complete.
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
        """Send all bytes, which the gateway's kernel takes without a turn of the gateway."""
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def reset(self) -> None:
        """End the connection by a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.buffer.clear()
        self.ended = True


class CrossingSocket:
    """A socket of the gateway on which bytes arrive in the instant of its shutdown or close."""

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
    """A socket of the gateway whose every read brings more, as of a peer that never pauses.

    Attributes:
        maximum_reads: The most reads in one turn so far.
    """

    def __init__(
        self, sock: socket.socket, turn_count: Callable[[], int], limit: int, data: bytes
    ) -> None:
        """Replace a socket.

        Args:
            sock: The socket that is replaced.
            turn_count: Returns the number of turns so far.
            limit: Reads in one turn beyond which a read fails.
            data: What each read brings; as many letters x as it asks for, where this is empty.
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

    def recv(self, size: int, flags: int = 0) -> bytes:  # noqa: ARG002  # as socket.recv has them
        """Return more bytes.

        Raises:
            OSError: The turn has had too many reads.
        """
        turn = self.turn_count()
        self.reads = self.reads + 1 if self.turn == turn else 1
        self.turn = turn
        self.maximum_reads = max(self.maximum_reads, self.reads)
        if self.reads > self.limit:
            raise OSError("read for too long")
        return self.data or b"x" * size


class StarvedListener:
    """A listener of the gateway whose first calls of accept find no descriptor left.

    Attributes:
        accept_calls: How often accept was called.
    """

    def __init__(self, listener: socket.socket, failures: float) -> None:
        """Replace a listener.

        Args:
            listener: The listener that is replaced.
            failures: How many calls fail; may be infinite.
        """
        self.listener = listener
        self.failures = failures
        self.accept_calls = 0

    def __getattr__(self, name: str) -> object:
        return getattr(self.listener, name)

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection, or fail as a process without a free descriptor does."""
        self.accept_calls += 1
        if self.accept_calls <= self.failures:
            raise OSError(errno.EMFILE, "no descriptor")
        return self.listener.accept()


class OrderedPoll:
    """A poll that reports ready sockets in the order of their registration, or backward."""

    def __init__(self, poll: select.poll) -> None:
        self.wrapped = poll
        self.backward = False
        self.register = poll.register
        self.modify = poll.modify
        self.unregister = poll.unregister

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        """Wait for ready sockets, for at most so many milliseconds."""
        ready = self.wrapped.poll(timeout)
        return ready[::-1] if self.backward else ready


def loopback_address(sock: socket.socket) -> str:
    """Return HOST:PORT of a socket that is bound on loopback."""
    return f"{LOOPBACK}:{sock.getsockname()[1]}"


def occupy_backlog(address: tuple[str, int], number: int) -> list[socket.socket]:
    """Return connections that nobody accepts, so that further ones never come up."""
    blockers = []
    for _ in range(number):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(address)
        blockers.append(sock)
    return blockers
