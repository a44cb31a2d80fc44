"""A non-blocking socket with a buffer for what came and one for what could not be written yet."""

import errno
import itertools
import select
import socket
from collections import deque

import greenlet

READ = select.POLLIN
WRITE = select.POLLOUT
LEFT = select.POLLRDHUP  # the peer sends no more, told also while there is more to read


def listening(address, backlog):
    """A socket that listens at an address and never waits, or one that is only bound there and refuses whoever comes, where
    the backlog is None; raises OSError where that can't be."""
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


def accepted(listener, most, make_way):
    """The connections that wait at a listening socket, at most so many; `make_way` is told where none can be taken as
    no descriptor is left."""
    for _ in range(most):
        try:
            yield listener.accept()[0]
        except BlockingIOError:
            return
        except OSError as trouble:
            if trouble.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                make_way(trouble)
            return


class Closed(Exception):
    """The peer has ended the connection, or it broke."""


class Ended(Closed):
    """The peer has ended its sending in order, and all that it sent is read; a reset is no such end."""


class Stream:
    """A connection. One greenlet reads from it; anybody may write, which never waits. With `leaves`, a peer that ends its
    sending has left: the stream breaks at once, whatever is still to be read, and also while nothing is read."""

    def __init__(self, scheduler, limits, sock, urgent=False, leaves=False):
        self.scheduler, self.limits, self.sock = scheduler, limits, sock
        self.always = LEFT if leaves else 0
        self.buffer = bytearray()  # read and not yet consumed
        self.unsent = deque()  # to be written
        self.queued = self.sent = 0  # bytes handed over for writing, and written, in all
        self.reader, self.dialing, self.broken = None, False, None
        self.unread = False  # broken as it was written to: what came before is still there
        self.relief = None  # told when bytes have been written
        self.in_row = 0  # reads since it last had nothing
        self.deserted = (
            None  # told when it breaks while nobody reads, as who does waits for something else
        )
        self.held = False  # nothing is read for a while, however much comes
        self.finishing = False  # our sending ends once all is written
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.events = READ | self.always
        scheduler.register(sock.fileno(), self.events, self.on_events, urgent)

    @classmethod
    def dial(cls, scheduler, limits, address, timeout):
        """A stream to an address; raises OSError when it does not come up in time."""
        stream = cls(scheduler, limits, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            stream.connect(address, timeout)
        except OSError:
            stream.close()
            raise
        return stream

    def connect(self, address, timeout):
        try:
            self.sock.connect(address)
            return
        except BlockingIOError:
            pass
        self.dialing = True
        self.watch(WRITE)
        self.reader = greenlet.getcurrent()
        in_time = self.scheduler.wait(timeout)
        self.reader, self.dialing = None, False
        if not in_time:
            raise TimeoutError("no connection in time")
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "no connection")
        self.sock.getpeername()  # raises where it is not up after all
        self.watch(READ)

    def watch(self, events):
        if events != self.events and self.sock.fileno() >= 0:
            self.events = events
            self.scheduler.modify(self.sock.fileno(), events)

    def hold(self, held=True):
        """Read nothing for a while, or again."""
        self.held = held
        self.watch(self.wanted())

    def wanted(self):
        return (0 if self.held else READ) | (WRITE if self.unsent else 0) | self.always

    def on_events(self, events):
        if events & self.always or self.held and events & ~(READ | WRITE):
            self.sock_failed()
            self.wake()
            return
        if not self.dialing:
            if events & WRITE:
                self.flush()
            if not events & ~WRITE:
                return
        if self.reader:
            self.reader.switch()

    def fill(self, timeout=None):
        """Wait for more bytes; Closed when there will be none, TimeoutError when none came in time. Others have their turn
        in between, however fast the peer sends."""
        while True:
            if self.broken and not self.unread:
                raise self.broken
            try:
                data = None if self.held else self.sock.recv(self.limits.receive)
            except BlockingIOError:
                data = None
            except OSError as error:
                raise Closed(str(error)) from None
            if data is None:
                self.in_row = 0
                if self.broken:
                    raise self.broken
                self.reader = greenlet.getcurrent()
                in_time = self.scheduler.wait(timeout)
                self.reader = None
                if not in_time:
                    raise TimeoutError("nothing came in time")
                continue
            if (
                not data
            ):  # where a write has found a reset, reading on finds an end, which it is not
                raise self.broken or Ended("ended by the peer")
            self.buffer += data
            self.in_row += 1
            if self.in_row >= self.limits.reads:
                self.in_row = 0
                self.scheduler.wait(0)
            return

    def write(self, *pieces):
        """Write these buffers behind what waits; what the socket does not take now is written later."""
        if self.unsent and self.queued - self.sent > self.limits.unsent:
            self.fail("the peer reads nothing")
            return
        for piece in pieces:
            if len(piece):  # an empty one would never be gone: the socket takes nothing of it
                self.unsent.append(memoryview(piece))
                self.queued += len(piece)
        if not self.dialing and not self.events & WRITE:
            self.flush()

    def flush(self):
        try:
            while self.unsent:
                taken = self.sock.sendmsg(list(itertools.islice(self.unsent, self.limits.gathered)))
                self.sent += taken
                while taken:
                    piece = self.unsent[0]
                    if taken < len(piece):
                        self.unsent[0] = piece[taken:]
                        break
                    taken -= len(self.unsent.popleft())
        except BlockingIOError:
            pass
        except OSError as error:
            self.unread = not self.always
            self.fail(str(error))
        self.watch(self.wanted())
        if self.finishing and not self.unsent:
            self.shut()
        if self.relief:
            self.relief()

    def sock_failed(self):
        """Both ways are over: the poll would tell it at once again, for as long as nobody reads."""
        self.scheduler.unregister(self.sock.fileno())
        self.fail("ended by the peer")

    def bound(self, option):
        """Let the kernel hold no more of a long value than we would: it counts as ours, and grows to megabytes."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, option, self.limits.window)
        except OSError:  # it is over, which its reader learns
            pass

    def detach(self):
        """Give the socket to somebody else: nothing of it is watched or written here any more."""
        if self.sock.fileno() in self.scheduler.calls:
            self.scheduler.unregister(self.sock.fileno())

    def attach(self):
        """Take it back."""
        self.events = self.wanted()
        self.scheduler.register(self.sock.fileno(), self.events, self.on_events)

    def fail(self, reason):
        """Writing is over: the reader learns of it, whoever writes need not."""
        self.unsent.clear()
        if not self.broken:
            self.broken = Closed(reason)
            self.scheduler.soon(self.wake)

    def wake(self):
        if self.reader:
            self.reader.switch()
        elif self.deserted:
            self.deserted()

    def left(self):
        """Whether the peer has left, though no poll has told so yet."""
        poll = select.poll()
        poll.register(self.sock.fileno(), LEFT)
        return bool(poll.poll(0))

    def quiet(self):
        """Whether the peer has neither sent nor ended anything that we have not read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.broken
        except OSError:
            pass
        return False

    def finish(self):
        """End our sending once all is written; what the peer still sends can be read."""
        self.finishing = True
        if not self.unsent:
            self.shut()

    def shut(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # it is over, or was never up
            pass

    def close(self):
        """End the connection at once; its reader, if another greenlet, ends with Closed. Our end goes out first and what
        has come is passed over: a close over bytes that are not read would be a reset, which takes with it what the kernel
        still holds of our last ones."""
        if self.sock.fileno() < 0:
            return
        self.shut()
        try:
            for _ in range(self.limits.passed_over):
                if not self.sock.recv(self.limits.receive):
                    break
        except OSError:  # nothing more has come
            pass
        self.release()

    def release(self):
        """Let go of a socket that is over here, or that another process has now: nothing is said to the peer."""
        if self.sock.fileno() < 0:
            return
        self.detach()
        self.sock.close()
        self.fail("closed here")
