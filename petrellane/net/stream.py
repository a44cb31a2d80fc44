"""Non-blocking TCP and Unix sockets with a read buffer and a write queue.

One greenlet reads a `Stream` and waits in `fill`; any greenlet may write to it without waiting.
`open_listener` creates listening sockets, and `accept_waiting` accepts their pending connections.
The codecs implement framing.
"""

import contextlib
import errno
import fcntl
import itertools
import math
import select
import socket
import struct
import sys
import termios
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Self

import greenlet

from petrellane.net.buffers import MAX_HEAP_SIZE, HeldBytes, ReceiveBuffer
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler

Address = tuple[str, int]

READ = select.POLLIN
WRITE = select.POLLOUT
PEER_CLOSED = (
    select.POLLRDHUP
)  # the peer shut down its sending side; also reported while data is unread
MAX_JOINED_SIZE = 512  # bytes; the object of a queued buffer is larger than a small buffer
SO_MEMINFO = 55  # the socket module does not have it; see sock_diag(7)
SOCKET_MEMORY = struct.Struct("=6I")  # the first fields of what it returns, in bytes
WMEM_QUEUED = 5  # the field with the memory of the send queue
KERNEL_OVERHEAD = 2  # memory of a send queue per byte, at least
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, zero seconds
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def open_listener(
    address: Address, backlog: int | None, receive_buffer: int | None = None
) -> socket.socket:
    """Create a non-blocking socket that listens on an address.

    Args:
        address: The address to bind.
        backlog: The length of the accept queue; None binds the address without listening, so that
            connections to it are refused.
        receive_buffer: The size of the kernel's receive buffer of each accepted connection, in
            bytes; None for the system's default.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
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
    """Accept the pending connections of a listening socket.

    Args:
        listener: A non-blocking listening socket.
        max_count: The maximum number of connections to accept.
        on_out_of_descriptors: The function to call when no descriptor is available for a pending
            connection.

    Yields:
        The socket of each accepted connection.
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


class Closed(Exception):  # noqa: N818 - the end of a connection is not a program error
    """The connection is over: the peer closed it, it broke, or this process closed it."""


class EndOfStream(Closed):
    """The peer shut down its sending side without a reset, and all bytes have been read."""


class Stream:
    """A connection, from `dial` or an accepted socket until `close` or `release`.

    Attributes:
        scheduler: The scheduler that watches the socket.
        limits: The limits for reads and writes.
        sock: The socket, which the stream owns.
        buffer: The bytes that were read but not consumed; the reader deletes consumed bytes.
        unsent: The queued buffers that the socket has not accepted yet.
        bytes_queued: The total number of bytes queued for writing.
        bytes_sent: The total number of bytes written to the socket.
        write_deadline: The Unix time from which on queued bytes are not written any more.
        reader: The greenlet that waits for bytes; None where there is none.
        broken: The error that ended the stream; None while the stream is usable.
        is_broken_by_write: Whether a write broke the stream, in which case bytes that arrived
            earlier can still be read.
        on_flushed: The function to call after each flush; None where there is none.
        on_connection_lost: The function to call when the stream breaks without a waiting reader;
            None where there is none.
        is_reading_paused: Whether reading is suspended.
        receive_size: The maximum number of bytes to read in one call.
        empty_at: The Unix time at which the socket last had no bytes to read.
        eof_requested: Whether the stream shuts down its sending side when all queued bytes
            are written.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        sock: socket.socket,
        urgent: bool = False,
        break_on_half_close: bool = False,
    ) -> None:
        """Take ownership of a socket and watch it.

        Args:
            scheduler: The scheduler that watches the socket.
            limits: The limits for reads and writes.
            sock: An open socket; the stream sets it to non-blocking mode.
            urgent: Whether its events are handled before those of other descriptors in a turn.
            break_on_half_close: Whether the stream breaks as soon as the peer shuts down its
                sending side, even with unread data or without a waiting reader.
        """
        self.scheduler = scheduler
        self.limits = limits
        self.sock = sock
        self.buffer = ReceiveBuffer()
        self.unsent: deque[memoryview] = deque()
        self._joined = bytearray()  # small buffers behind those in `unsent`; empty if that is empty
        self.bytes_queued = 0
        self.bytes_sent = 0
        self.write_deadline = math.inf
        self.reader: Any = None  # a greenlet
        self.broken: Closed | None = None
        self.is_broken_by_write = False
        self.on_flushed: Callable[[], object] | None = None
        self.on_connection_lost: Callable[[], object] | None = None
        self.is_reading_paused = False
        self.receive_size = limits.receive_size
        self.empty_at = 0.0
        self.eof_requested = False
        self._always_watched = PEER_CLOSED if break_on_half_close else 0
        self._dialing = False
        self._is_write_shut_down = False
        # The value of `bytes_sent` at which all of them were known to be acknowledged. A socket
        # from another process may hold unacknowledged bytes before this one has sent any.
        self._delivered_bytes = -1
        self._reads_in_row = 0  # consecutive reads since the socket was last empty
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watched_events = READ | self._always_watched
        scheduler.register(sock.fileno(), self._watched_events, self._on_events, urgent)

    @classmethod
    def dial(
        cls,
        scheduler: Scheduler,
        limits: Limits,
        address: Address,
        timeout: float,
        receive_buffer: int | None = None,
    ) -> Self:
        """Connect to an address; the calling greenlet waits.

        Args:
            scheduler: The scheduler that watches the socket.
            limits: The limits for reads and writes.
            address: The address of the peer.
            timeout: The time limit for the connection attempt, in seconds.
            receive_buffer: The size of the kernel's receive buffer, in bytes; None for the system's
                default.

        Raises:
            OSError: The connection failed, for example because the peer refused it; TimeoutError
                if the attempt timed out.
        """
        stream = cls(scheduler, limits, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            if receive_buffer is not None:
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            stream._connect(address, timeout)
        except OSError:
            stream.close()
            raise
        return stream

    def _connect(self, address: Address, timeout: float) -> None:
        try:
            self.sock.connect(address)
        except (BlockingIOError, InterruptedError):  # the kernel goes on connecting after both
            self._wait_connected(timeout)

    def _wait_connected(self, timeout: float) -> None:
        self._dialing = True
        self._watch(WRITE)
        self.reader = greenlet.getcurrent()
        in_time = self.scheduler.wait(timeout)
        self.reader = None
        self._dialing = False
        if not in_time:
            raise TimeoutError(f"the connection was not established within {timeout:g} s")
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "the connection attempt failed")
        self.sock.getpeername()  # raises an error if the socket is not connected
        self._watch(READ)

    def _watch(self, events: int) -> None:
        if events != self._watched_events and self._is_watched():
            self._watched_events = events
            self.scheduler.modify(self.sock.fileno(), events)

    def _is_watched(self) -> bool:
        """Return whether the scheduler watches the socket; not after the peer has closed it."""
        return self.sock.fileno() in self.scheduler.event_handlers

    def _wanted_events(self) -> int:
        reading = 0 if self.is_reading_paused else READ
        writing = WRITE if self.unsent else 0
        return reading | writing | self._always_watched

    def set_reading_paused(self, paused: bool) -> None:
        """Suspend or resume reading; during a suspension, flow control slows the peer down."""
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

        After several consecutive reads the reader yields to other greenlets, so that a fast peer
        cannot starve them.

        Args:
            timeout: The maximum time to wait, in seconds; None means no limit.

        Raises:
            Closed: No more bytes will arrive; `EndOfStream` if the peer shut down its sending
                side without a reset.
            TimeoutError: No bytes arrived in time.
        """
        while True:
            if not self.is_broken_by_write:
                self.raise_if_broken()
            data = self._receive()
            if data is None:
                self.empty_at = self.scheduler.now()
                self._wait_readable(timeout)
                continue
            if not data:
                # After a write failed with a reset, a read reports the end of the stream instead.
                self.raise_if_broken()
                raise EndOfStream("closed by the peer")
            self.buffer.append(data)
            self._reads_in_row += 1
            if self._reads_in_row >= self.limits.reads_per_turn:
                self._reads_in_row = 0
                self.scheduler.wait(0)
            return

    def discard(self, timeout: float) -> None:
        """Wait for bytes and drop them; then yield to other greenlets.

        Args:
            timeout: The maximum time to wait, in seconds.

        Raises:
            Closed: No more bytes will arrive.
            TimeoutError: No bytes arrived in time.
        """
        if not self.is_broken_by_write:
            self.raise_if_broken()
        data = self._receive()
        if data is None:
            self._wait_readable(timeout)
        elif data:
            self.scheduler.wait(0)
        else:
            self.raise_if_broken()
            raise EndOfStream("closed by the peer")

    def read_ahead(self, max_size: int) -> bool:
        """Append bytes that have arrived to `buffer`, without waiting, in a few reads.

        Args:
            max_size: The size of `buffer` at which to stop.

        Returns:
            Whether all have been read, so that no end of the stream is hidden behind them. If not,
            and `buffer` is smaller than `max_size`, the caller yields before it reads on.

        Raises:
            Closed: No more bytes will arrive; `EndOfStream` if the peer shut down its sending
                side without a reset.
        """
        while len(self.buffer) < max_size:
            if self._reads_in_row >= self.limits.reads_per_turn:
                self._reads_in_row = 0
                return False
            if not self.is_broken_by_write:
                self.raise_if_broken()
            data = self._receive()
            if data is None:
                self._reads_in_row = 0
                return True
            if not data:
                self.raise_if_broken()
                raise EndOfStream("closed by the peer")
            self.buffer.append(data)
            self._reads_in_row += 1
        return False

    def raise_if_broken(self) -> None:
        """Raise `broken` if the stream has ended.

        Each call raises another exception: the traceback of one that the stream keeps would refer
        to the frames of its readers, and these to the stream.
        """
        if self.broken:
            raise Closed(*self.broken.args)

    def _receive(self) -> memoryview | None:
        """Return available bytes: empty at the end of the stream, None if no data is available.

        The bytes are valid until the next read of any stream of the scheduler.
        """
        if self.is_reading_paused:
            return None
        space = self.scheduler.receive_space(self.receive_size)
        try:
            return space[: self.sock.recv_into(space)]
        except BlockingIOError:
            return None
        except OSError as error:
            raise Closed(str(error)) from None

    def _wait_readable(self, timeout: float | None) -> None:
        self._reads_in_row = 0
        self.raise_if_broken()
        self.reader = greenlet.getcurrent()
        in_time = self.scheduler.wait(timeout)
        self.reader = None
        if not in_time:
            raise TimeoutError("no bytes arrived before the timeout")

    def write(self, *pieces: HeldBytes | bytearray) -> None:
        """Queue buffers and write as much as the socket accepts; the rest is written later.

        The stream breaks if the peer has disconnected or if more than `limits.max_unsent` bytes are
        queued. The reader of the stream receives the error.
        """
        if self.unsent and self.bytes_queued - self.bytes_sent > self.limits.max_unsent:
            self.fail(f"more than {self.limits.max_unsent} unsent bytes")
            return
        for piece in pieces:
            if len(piece):  # `_send_some` never removes an empty buffer from the queue
                self._queue(piece)
                self.bytes_queued += len(piece)
        if not self._dialing and not self._watched_events & WRITE:
            self.flush()

    def _queue(self, piece: HeldBytes | bytearray) -> None:
        """Queue a buffer; small buffers that wait behind others are joined."""
        if self.unsent and len(piece) <= MAX_JOINED_SIZE:
            if len(self._joined) + len(piece) > MAX_HEAP_SIZE:
                self._queue_joined()
            self._joined += piece
            return
        self._queue_joined()
        self.unsent.append(memoryview(piece))

    def _queue_joined(self) -> None:
        if self._joined:
            self.unsent.append(memoryview(self._joined))
            self._joined = bytearray()

    def discard_unsent(self) -> None:
        """Drop all queued bytes that the socket has not accepted."""
        self.unsent.clear()
        self._joined = bytearray()

    def flush(self) -> None:
        """Write queued bytes until the socket would block; write none after `write_deadline`."""
        try:
            while self.unsent and not self._is_past_write_deadline():
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

    def _is_past_write_deadline(self) -> bool:
        deadline = self.write_deadline
        return deadline < math.inf and bool(self.scheduler.now() >= deadline)

    def _send_some(self) -> None:
        """Call `sendmsg` once and remove the bytes that it accepted from the queue."""
        taken = self.sock.sendmsg(list(itertools.islice(self.unsent, self.limits.buffers_per_send)))
        self.bytes_sent += taken
        while taken:
            piece = self.unsent[0]
            if taken < len(piece):
                self.unsent[0] = piece[taken:]
                break
            taken -= len(self.unsent.popleft())
        if not self.unsent:
            self._queue_joined()

    def fail_closed_by_peer(self) -> None:
        """Break the stream, which the peer has closed, and stop watching its socket.

        A watched socket would be reported again by each poll until a reader takes the error.
        """
        self.detach()
        self.fail("closed by the peer")

    def limit_kernel_buffer(self, option: int, size: int) -> None:
        """Limit a kernel buffer of the socket.

        Kernel buffers count towards the memory of the process and can grow to megabytes.

        Args:
            option: The socket option, SO_RCVBUF or SO_SNDBUF.
            size: The limit, in bytes.
        """
        with contextlib.suppress(OSError):  # the connection is over; the reader receives the error
            self.sock.setsockopt(socket.SOL_SOCKET, option, size)

    def limit_unsent_in_kernel(self, size: int) -> None:
        """Have the kernel accept more only while it holds fewer bytes that it has not sent.

        A peer that does not read then leaves the rest here, where it is counted, and a poll reports
        when the kernel has sent some.

        Args:
            size: The number of bytes.
        """
        with contextlib.suppress(
            OSError
        ):  # the connection is over, or the system has no such limit
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)

    def detach(self) -> None:
        """Stop watching the socket before it is passed to another owner."""
        if self._is_watched():
            self.scheduler.unregister(self.sock.fileno())

    def attach(self) -> None:
        """Watch the socket again after `detach`."""
        self._watched_events = self._wanted_events()
        self.scheduler.register(self.sock.fileno(), self._watched_events, self._on_events)

    def fail(self, reason: str) -> None:
        """Break the stream; its reader receives the error at the end of the current turn."""
        self.discard_unsent()
        if not self.broken:
            self.broken = Closed(reason)
            self.scheduler.call_soon(self._wake)

    def _wake(self) -> None:
        if self.reader:
            self.reader.switch()
        elif self.on_connection_lost:
            self.on_connection_lost()

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes the kernel has accepted but the peer has not acknowledged.

        The kernel holds them until the peer's kernel has room for them. The number is 0 where the
        system cannot tell.
        """
        try:
            queued = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        except (OSError, ValueError):  # the socket is closed, or has no such queue
            return 0
        number = int.from_bytes(queued, sys.byteorder)
        return max(0, number - 1) if self._is_write_shut_down else number  # the FIN counts as one

    def send_queue_memory(self) -> int:
        """Return the bytes of kernel memory that written and unacknowledged bytes take.

        That is more than the bytes themselves, and grows while a peer with a small window takes
        them.
        """
        unacknowledged = self.unacknowledged_bytes()
        if not unacknowledged:
            return 0
        try:
            memory = self.sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, SOCKET_MEMORY.size)
            queued = int(SOCKET_MEMORY.unpack(memory)[WMEM_QUEUED])
        except (OSError, struct.error):  # the system does not tell, or the connection is over
            queued = 0
        return max(queued, KERNEL_OVERHEAD * unacknowledged)

    def undelivered_bytes(self) -> int:
        """Return how many queued bytes the peer has not acknowledged, here and in the kernel."""
        return self.bytes_queued - self.bytes_sent + self.unacknowledged_bytes()

    def has_delivered_all(self) -> bool:
        """Return whether the peer has acknowledged everything that was queued for writing."""
        if self.unsent:
            return False
        if self._delivered_bytes != self.bytes_sent and not self.unacknowledged_bytes():
            self._delivered_bytes = self.bytes_sent
        return self._delivered_bytes == self.bytes_sent

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has shut down its sending side, even if no poll reported it."""
        poll = select.poll()
        poll.register(self.sock.fileno(), PEER_CLOSED)
        return bool(poll.poll(0))

    def is_read_idle(self) -> bool:
        """Return whether the socket has neither unread bytes nor an unread end of the stream."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.broken
        except OSError:
            pass
        return False

    def write_eof(self) -> None:
        """Shut down the sending side when all queued bytes are written; reading stays possible."""
        self.eof_requested = True
        if not self.unsent:
            self.shutdown_write()

    def shutdown_write(self) -> None:
        """Shut down the sending side immediately."""
        self._is_write_shut_down = True
        with contextlib.suppress(OSError):  # the connection is over or was never established
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection immediately; a waiting reader receives `Closed`.

        The stream first shuts down its sending side and discards unread bytes. If a socket is
        closed with unread bytes, the kernel resets the connection and drops the bytes it has not
        sent yet.
        """
        if self.sock.fileno() < 0:
            return
        self.shutdown_write()
        with contextlib.suppress(OSError):  # no more bytes are available, or the connection is over
            for _ in range(self.limits.max_discarding_reads):
                if not self.sock.recv_into(self.scheduler.receive_space(self.limits.receive_size)):
                    break
        self.release()

    def abort(self) -> None:
        """Close the connection so that the kernel sends nothing more.

        After `close` the kernel goes on delivering the bytes that the peer has not acknowledged. If
        there are any, this method has the kernel drop them and reset the connection.
        """
        if not self.unacknowledged_bytes():
            self.close()
            return
        with contextlib.suppress(OSError):  # the connection is over
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.release()

    def forget_callbacks(self) -> None:
        """Drop the references to the owner, which has ended and needs no further calls."""
        self.on_flushed = None
        self.on_connection_lost = None

    def release(self) -> None:
        """Close the descriptor without shutting down the sending side first.

        The caller uses this for a connection that is over or that another process now owns.
        """
        if self.sock.fileno() < 0:
            return
        self.detach()
        self.sock.close()
        self.fail("closed by this process")
