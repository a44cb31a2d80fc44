"""Carries what an old process gives to the one that follows it: a Unix socket in a folder that both see.

Messages are packets: a JSON object, a line end, bytes that go with it, and at most one descriptor. What they mean, and
who owns what when, is in `succession`.
"""

import hashlib
import os
import select
import socket
from collections import deque
from functools import partial

import orjson

from petrellane.net.stream import accepted
from petrellane.operation import hot_restart


def file_name(gateway):
    """The name of a gateway's socket: others may have theirs in the same folder."""
    return "petrellane-%s.sock" % hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()


class Link:
    """One connection between two processes. `told` hears of each message, `broken` of the end, once."""

    def __init__(self, scheduler, limits, sock, told, broken):
        self.scheduler, self.limits, self.sock, self.told, self.broken = (
            scheduler,
            limits,
            sock,
            told,
            broken,
        )
        self.waiting = deque()  # (packet, descriptors) that the socket did not take yet
        sock.setblocking(False)
        scheduler.register(sock.fileno(), select.POLLIN, self.on_events, urgent=True)

    def send(self, message, data=b"", descriptor=None):
        self.waiting.append(
            (
                orjson.dumps(message) + b"\n" + bytes(data),
                [] if descriptor is None else [descriptor],
            )
        )
        self.flush()

    def flush(self):
        try:
            while self.waiting and self.sock.fileno() >= 0:
                packet, descriptors = self.waiting[0]
                socket.send_fds(self.sock, [packet], descriptors)
                self.waiting.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self.scheduler.soon(self.close)
            return
        if self.sock.fileno() >= 0:
            self.scheduler.modify(
                self.sock.fileno(), select.POLLIN | (select.POLLOUT if self.waiting else 0)
            )

    def on_events(self, events):
        if events & select.POLLOUT:
            self.flush()
        while self.sock.fileno() >= 0:
            try:
                packet, descriptors, flags, _ = socket.recv_fds(self.sock, self.limits.packet, 1)
            except BlockingIOError:
                return
            except OSError:
                packet = b""
            things = [socket.socket(fileno=one) for one in descriptors] if packet else []
            text, _, data = packet.partition(b"\n")
            try:
                message = orjson.loads(text)
                if not isinstance(message, dict) or flags & socket.MSG_TRUNC:
                    raise ValueError("no message")
            except ValueError:  # the end is an empty packet
                for thing in things:
                    thing.close()
                self.close()
                return
            self.told(self, message, data, things[0] if things else None)

    def close(self):
        if self.sock.fileno() >= 0:
            self.scheduler.unregister(self.sock.fileno())
            self.sock.close()
            self.broken(self)


class Handover:
    """Both ends. `give` gives the messages that tell the state; `heir` is told of the link that connections go to, and
    of None when it is no more; `taken` gets rows of leases, `adopt` a connection with what was read from it, `settled` a
    customer and how many of its RPCs that were out at the old process have ended; `beside` that
    the old one goes on with all that it has."""

    def __init__(self, scheduler, limits, log, name, give, heir, taken, adopt, settled, beside):
        self.scheduler, self.limits, self.log = scheduler, limits, log
        self.give, self.heir, self.taken, self.adopt, self.settled, self.beside = (
            give,
            heir,
            taken,
            adopt,
            settled,
            beside,
        )
        self.folder, self.name = None, file_name(name)
        self.listener, self.successor, self.giver, self.links = None, None, None, {}
        self.link, self.taker, self.begin = None, None, None
        self.generation = None  # what the process before remembers of agreement, where it said so

    def path(self):
        """Where the socket is. Paths of sockets are short, those of folders are not: it is named from the folder's
        descriptor. Raises OSError where there is no such folder."""
        if self.folder is None:
            self.folder = os.open(os.environ.get("TMPDIR") or "/tmp", os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder}/{self.name}"

    # The new process's end.

    def ask(self, begin):
        """Ask the process before for what it has; `begin` is called once there is nothing more to wait for."""
        self.begin, self.taker = begin, hot_restart.Taker()
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.connect(self.path())
        except OSError:  # there is none, or it is gone and has left its file, or no descriptor is left to ask with
            if sock:
                sock.close()
            self.scheduler.soon(self.begun, "none before")
            return
        self.link = Link(self.scheduler, self.limits, sock, self.heard, self.lost)
        self.link.send(hot_restart.asks())
        self.scheduler.after(self.limits.hand_over, self.late)

    def heard(self, link, message, data, sock):
        """The process before says something."""
        answer, ours, dropped = self.taker.told(
            message, (sock, data, bool(message.get("asked"))) if sock else None
        )
        if answer:
            link.send(answer)
        if ours:
            self.adopt(*ours)
        self.generation = message.get("generation") or self.generation
        if "ended" in message and self.taker.ended(message["ended"]):
            self.settled(message["ended"], 1)
        if dropped:
            dropped[0].close()
        if "given" in message:
            rows, self.taker.rows = self.taker.rows, []
            self.begun("given", leases=self.taken(rows))
        elif "refused" in message:
            link.close()

    def late(self):
        if self.begin:  # it stands still: what it gives from now on is nobody's
            self.link.close()

    def lost(self, link):
        for sock, *_ in self.taker.broken():
            sock.close()
        for customer, number in self.taker.outs.items():
            if number > 0:
                self.settled(customer, number)
        self.link = None
        self.begun("not answered")

    def begun(self, how, **figures):
        begin, self.begin = self.begin, None
        if begin:
            self.log.event("succeeds", how=how, **figures)
            if how == "not answered":
                self.beside()
            begin()
            self.offer()

    # The old process's end.

    def offer(self):
        """Be found by the process that follows; the file of one that is gone gives way."""
        self.close()
        try:
            self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self.listener.setblocking(False)
            path = self.path() + ".%d" % os.getpid()
            if os.path.lexists(path):
                os.unlink(path)
            self.listener.bind(path)
            os.chmod(path, 0o600)
            self.listener.listen(4)
            os.rename(path, self.path())
        except OSError as trouble:  # nobody can follow without a loss; all else goes on
            self.log.event(
                "no_hand_over", folder=os.environ.get("TMPDIR") or "/tmp", error=str(trouble)
            )
            if self.listener:
                self.listener.close()
                self.listener = None
            return
        self.attend()

    def attend(self):
        if self.listener and self.listener.fileno() not in self.scheduler.calls:
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.called, urgent=True)

    def called(self, events):
        for sock in accepted(self.listener, 1, self.short):
            if len(self.links) >= self.limits.callers:  # whoever says nothing makes room
                next(link for link in self.links if link is not self.successor).close()
            self.links[Link(self.scheduler, self.limits, sock, self.asked, self.left)] = None

    def short(self, trouble):
        """No descriptor is left: accept again soon, as the listener would be ready at every poll."""
        self.scheduler.unregister(self.listener.fileno())
        self.scheduler.after(self.limits.out_of_descriptors, self.attend)

    def asked(self, link, message, data, sock):
        """The process that follows says something."""
        if sock:
            sock.close()
        if "ask" in message:
            refusal = hot_restart.answers_to(message)
            if refusal or self.successor:
                link.send(refusal or {"refused": hot_restart.VERSION})
                return
            self.successor, self.giver = link, hot_restart.Giver()
            messages = self.give()
            self.log.event("succeeded", leases=messages[-1]["given"])
            for each in messages:
                link.send(each)
            self.heir(self)
        elif "got" in message and link is self.successor:
            passing, answer = self.giver.got(message["got"])
            if passing:
                passing(True)
            link.send(answer)

    def left(self, link):
        """The process that follows is gone: what is here is ours again, what was given is nobody's."""
        self.links.pop(link, None)
        if link is self.successor:
            giver, self.successor, self.giver = self.giver, None, None
            self.heir(None)
            for passing in list(giver.offered.values()):
                passing(False)
            self.offer()

    def pass_on(self, sock, data, asked, done):
        """Offer a connection with what was read from it; `done` hears, once, whether it is another's now."""
        number = self.giver.offer(done)
        self.successor.send({"client": number, "asked": asked}, data, sock.fileno())
        self.scheduler.after(
            self.limits.take_back, partial(self.take_back, self.giver, number, done)
        )

    @staticmethod
    def take_back(giver, number, done):
        if giver.withdraw(number):
            done(False)

    def owed(self, customer):
        """A call-out of this customer has ended here."""
        if self.successor:
            self.successor.send({"ended": customer})

    def busy(self):
        """Whether the process that follows has not been told all that it is to know."""
        return bool(self.successor and self.successor.waiting)

    def close(self):
        """Be found no more."""
        if self.folder is not None:
            os.close(self.folder)
            self.folder = None
        if self.listener:
            if self.listener.fileno() in self.scheduler.calls:
                self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None
