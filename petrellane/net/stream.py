"""Non-blocking TCP and Unix sockets with a read buffer and a write queue.

A `Stream` is read by one greenlet, which waits in `fill`, and written by anybody without waiting.
`open_listener` makes listening sockets, `accept_waiting` empties them. Framing is the codecs' job.
"""

import contextlib
import errno
import itertools
import select
import socket
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Self

import greenlet

from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler

Address = tuple[str, int]

READ = select.POLLIN
WRITE = select.POLLOUT
PEER_CLOSED = select.POLLRDHUP  # the peer sends no more; reported also while there is more to read
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def open_listener(address: Address, backlog: int | None) -> socket.socket:
    """Make a non-blocking socket that listens at an address.

    Args:
        address: Where to listen.
        backlog: Connections that may wait; None means that the address is bound, and refuses.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        if backlog is not None:
            sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def accept_waiting(
    listener: socket.socket, max_count: int, on_out_of_descriptors: Callable[[OSError], object]
) -> Iterator[socket.socket]:
    """Accept the connections that wait at a listening socket.

    Args:
        listener: A non-blocking listening socket.
        max_count: How many to accept at most.
        on_out_of_descriptors: Called where a connection waits and no descriptor is left for it.

    Yields:
        Each connection.
    """
    for _ in range(max_count):
        try:
            yield listener.accept()[0]
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS:
                on_out_of_descriptors(error)
            return


class Closed(Exception):  # noqa: N818 - the end of a connection is no error of the program
    """The peer has ended the connection, or it broke."""


class Ended(Closed):
    """The peer has ended its sending in order, and all of it is read; a reset is no such end."""


class Stream:
    """One connection, from `dial` or an accepted socket until `close` or `release`.

    Attributes:
        scheduler: The scheduler that watches the socket.
        limits: Sizes and counts of the reads and writes.
        sock: The socket, which the stream owns.
        buffer: Bytes read and not yet consumed; the reader deletes what it consumes.
        unsent: Buffers that the socket has not taken yet.
        bytes_queued: Bytes handed over for writing so far.
        bytes_sent: Bytes written so far.
        reader: The greenlet that waits for bytes, if one does.
        broken: Why the stream is over; None while it is not.
        is_broken_by_write: Whether it broke while writing, so that bytes that came before may still
            be read.
        on_flushed: Called after bytes have been written, if set.
        on_connection_lost: Called when the stream breaks while nobody reads, if set.
        is_reading_paused: Whether reading is suspended.
        eof_requested: Whether our sending ends once all is written.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        sock: socket.socket,
        urgent: bool = False,
        break_on_half_close: bool = False,
    ) -> None:
        """Take over a socket and watch it.

        Args:
            scheduler: The scheduler that watches the socket.
            limits: Sizes and counts of the reads and writes.
            sock: An open socket; it is made non-blocking.
            urgent: Whether its events go before those of others in a turn.
            break_on_half_close: Whether the stream breaks at once where its peer ends its sending,
                also while there is more to read and while nobody reads.
        """
        self.scheduler = scheduler
        self.limits = limits
        self.sock = sock
        self.buffer = bytearray()
        self.unsent: deque[memoryview] = deque()
        self.bytes_queued = 0
        self.bytes_sent = 0
        self.reader: Any = None  # a greenlet
        self.broken: Closed | None = None
        self.is_broken_by_write = False
        self.on_flushed: Callable[[], object] | None = None
        self.on_connection_lost: Callable[[], object] | None = None
        self.is_reading_paused = False
        self.eof_requested = False
        self._always_watched = PEER_CLOSED if break_on_half_close else 0
        self._dialing = False
        self._reads_in_row = 0  # since the socket last had nothing
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watched_events = READ | self._always_watched
        scheduler.register(sock.fileno(), self._watched_events, self._on_events, urgent)

    @classmethod
    def dial(cls, scheduler: Scheduler, limits: Limits, address: Address, timeout: float) -> Self:
        """Connect to an address; the calling greenlet waits.

        Args:
            scheduler: The scheduler that watches the socket.
            limits: Sizes and counts of the reads and writes.
            address: Where to connect.
            timeout: Seconds until the attempt is given up.

        Raises:
            OSError: The connection is not up in time (TimeoutError), or is refused.
        """
        stream = cls(scheduler, limits, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            stream._connect(address, timeout)
        except OSError:
            stream.close()
            raise
        return stream

    def _connect(self, address: Address, timeout: float) -> None:
        try:
            self.sock.connect(address)
        except BlockingIOError:
            self._wait_connected(timeout)

    def _wait_connected(self, timeout: float) -> None:
        self._dialing = True
        self._watch(WRITE)
        self.reader = greenlet.getcurrent()
        in_time = self.scheduler.wait(timeout)
        self.reader = None
        self._dialing = False
        if not in_time:
            raise TimeoutError("no connection in time")
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "no connection")
        self.sock.getpeername()  # raises where it is not up after all
        self._watch(READ)

    def _watch(self, events: int) -> None:
        if events != self._watched_events and self.sock.fileno() >= 0:
            self._watched_events = events
            self.scheduler.modify(self.sock.fileno(), events)

    def _wanted_events(self) -> int:
        reading = 0 if self.is_reading_paused else READ
        writing = WRITE if self.unsent else 0
        return reading | writing | self._always_watched

    def set_reading_paused(self, paused: bool) -> None:
        """Suspend reading, or resume it; meanwhile the kernel slows the peer down."""
        self.is_reading_paused = paused
        self._watch(self._wanted_events())

    def _on_events(self, events: int) -> None:
        if events & self._always_watched or (self.is_reading_paused and events & ~(READ | WRITE)):
            self.fail_closed_by_peer()
            self._wake()
            return
        if not self._dialing:
            if events & WRITE:
                self.flush()
            if not events & ~WRITE:
                return
        if self.reader:
            self.reader.switch()

    def fill(self, timeout: float | None = None) -> None:
        """Wait for more bytes and append them to `buffer`.

        Args:
            timeout: Seconds to wait at most; None means without end. Others have their turn in
                between, however fast the peer sends.

        Raises:
            Closed: There will be no more (`Ended` where the peer ended its sending in order).
            TimeoutError: Nothing came in time.
        """
        while True:
            if self.broken and not self.is_broken_by_write:
                raise self.broken
            data = self._receive()
            if data is None:
                self._wait_readable(timeout)
                continue
            if not data:
                # Where a write has found a reset, a read finds an end, which it is not.
                raise self.broken or Ended("ended by the peer")
            self.buffer += data
            self._reads_in_row += 1
            if self._reads_in_row >= self.limits.reads_per_turn:
                self._reads_in_row = 0
                self.scheduler.wait(0)
            return

    def _receive(self) -> bytes | None:
        """Return what the socket has, empty at the peer's end; None where it has nothing now."""
        if self.is_reading_paused:
            return None
        try:
            return self.sock.recv(self.limits.receive_size)
        except BlockingIOError:
            return None
        except OSError as error:
            raise Closed(str(error)) from None

    def _wait_readable(self, timeout: float | None) -> None:
        self._reads_in_row = 0
        if self.broken:
            raise self.broken
        self.reader = greenlet.getcurrent()
        in_time = self.scheduler.wait(timeout)
        self.reader = None
        if not in_time:
            raise TimeoutError("nothing came in time")

    def write(self, *pieces: bytes | bytearray | memoryview) -> None:
        """Write buffers behind what is queued; what the socket does not take is written later.

        A peer that leaves too much unread, or is gone, breaks the stream, which its reader learns.
        """
        if self.unsent and self.bytes_queued - self.bytes_sent > self.limits.max_unsent:
            self.fail("the peer reads nothing")
            return
        for piece in pieces:
            if len(piece):  # an empty one would never be gone: the socket takes nothing of it
                self.unsent.append(memoryview(piece))
                self.bytes_queued += len(piece)
        if not self._dialing and not self._watched_events & WRITE:
            self.flush()

    def flush(self) -> None:
        """Write what the socket takes now."""
        try:
            while self.unsent:
                self._send_some()
        except BlockingIOError:
            pass
        except OSError as error:
            self.is_broken_by_write = not self._always_watched
            self.fail(str(error))
        self._watch(self._wanted_events())
        if self.eof_requested and not self.unsent:
            self.shutdown_write()
        if self.on_flushed:
            self.on_flushed()

    def _send_some(self) -> None:
        """Hand queued buffers to the socket once and drop what it took from the queue."""
        taken = self.sock.sendmsg(list(itertools.islice(self.unsent, self.limits.buffers_per_send)))
        self.bytes_sent += taken
        while taken:
            piece = self.unsent[0]
            if taken < len(piece):
                self.unsent[0] = piece[taken:]
                break
            taken -= len(self.unsent.popleft())

    def fail_closed_by_peer(self) -> None:
        """Break the stream and stop watching it.

        Both directions are over, and each poll would report so again for as long as nobody reads.
        """
        self.scheduler.unregister(self.sock.fileno())
        self.fail("ended by the peer")

    def limit_kernel_buffer(self, option: int) -> None:
        """Limit a buffer of the kernel to the window of a long value.

        The kernel's memory counts as the process's, and grows to megabytes.

        Args:
            option: SO_RCVBUF or SO_SNDBUF.
        """
        with contextlib.suppress(OSError):  # the connection is over, which its reader learns
            self.sock.setsockopt(socket.SOL_SOCKET, option, self.limits.relay_window)

    def detach(self) -> None:
        """Stop watching and writing the socket, which is handed to somebody else."""
        if self.sock.fileno() in self.scheduler.event_handlers:
            self.scheduler.unregister(self.sock.fileno())

    def attach(self) -> None:
        """Watch the socket again after `detach`."""
        self._watched_events = self._wanted_events()
        self.scheduler.register(self.sock.fileno(), self._watched_events, self._on_events)

    def fail(self, reason: str) -> None:
        """Break the stream; its reader learns of it at the end of this turn."""
        self.unsent.clear()
        if not self.broken:
            self.broken = Closed(reason)
            self.scheduler.call_soon(self._wake)

    def _wake(self) -> None:
        if self.reader:
            self.reader.switch()
        elif self.on_connection_lost:
            self.on_connection_lost()

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has ended its sending, also where no poll has reported it yet."""
        poll = select.poll()
        poll.register(self.sock.fileno(), PEER_CLOSED)
        return bool(poll.poll(0))

    def is_read_idle(self) -> bool:
        """Return whether the peer has neither sent nor ended anything that is not read yet."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.broken
        except OSError:
            pass
        return False

    def write_eof(self) -> None:
        """End our sending once all is written; what the peer still sends can be read."""
        self.eof_requested = True
        if not self.unsent:
            self.shutdown_write()

    def shutdown_write(self) -> None:
        """End our sending at once."""
        with contextlib.suppress(OSError):  # the connection is over, or was never up
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """End the connection at once; its reader, if another greenlet, ends with Closed.

        Our end goes out first, and what has come is discarded: closing a socket with unread bytes
        is a reset, which takes with it what the kernel still holds of our last ones.
        """
        if self.sock.fileno() < 0:
            return
        self.shutdown_write()
        with contextlib.suppress(OSError):  # nothing more has come
            for _ in range(self.limits.max_discarding_reads):
                if not self.sock.recv(self.limits.receive_size):
                    break
        self.release()

    def release(self) -> None:
        """Close our descriptor without a word to the peer.

        For a socket that is over, or that another process has now.
        """
        if self.sock.fileno() < 0:
            return
        self.detach()
        self.sock.close()
        self.fail("closed here")
