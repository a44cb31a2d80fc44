"""A relay between two parties: a listening socket whose connections go on to a target, with faults by word.

A fault holds for what comes from then on and for connections that are open; `heal` ends all. Each fault acts as the network
or a machine would:

- `cut`: nothing goes through either way, and nobody is told: connections stay open and silent, new ones come up and say
  nothing; what was on its way is held back, and what was held goes on when healed, as segments sent again do.
- `mute`: answers are lost, questions arrive. `deaf`: the other way round. What is lost stays lost: the connection is broken
  from then on, and ends when healed.
- `late`: each byte takes so many seconds more, each way.
- `lossy`: a share of new connections is accepted and goes nowhere.
- `half`: so many bytes of what comes next from the target go through on each connection, and no more.
- `hang`: new connections never come up. `refuse`: new ones are refused, as where nobody listens.
- `reset`: open connections are reset, once.
"""

import random
import select
import socket
from collections import deque

CHUNK = 1 << 16
RESET = b"\1\0\0\0\0\0\0\0"


class Relay:
    """One listening socket, and where it leads; `scheduler` is the lab's."""

    def __init__(self, scheduler, target, seed=0, label="", address=("127.0.0.1", 0)):
        self.scheduler, self.target, self.label = scheduler, target, label
        self.random = random.Random(f"{seed} {label}")
        self.pairs, self.fill = {}, []
        self.faults = {}
        self.listener, self.address = None, address
        self.connections, self.looking = 0, None
        self.hung_up = lambda peer: (
            None
        )  # told when who dialed closes a connection: the address it goes on from
        self.carried = lambda peer, came: (
            None
        )  # told when bytes go on there: when the last of them were read here
        self.listen()

    def listen(self, backlog=256):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address)
        sock.listen(backlog)
        self.listener, self.address = sock, sock.getsockname()
        self.scheduler.register(sock.fileno(), select.POLLIN, self.accept)

    @property
    def text(self):
        return "%s:%d" % self.address

    def accept(self, events):
        while self.listener:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            self.connections += 1
            lost = self.random.random() < self.faults.get("lossy", 0.0)
            self.pairs[Pair(self, sock, lost)] = None

    def fault(self, name, size=1.0):
        """Let a fault hold from now on."""
        if name == "reset":
            for pair in list(self.pairs):
                pair.end(reset=True)
            return
        self.faults[name] = size
        if name in ("refuse", "hang") and self.listener:
            self.unlisten()
            if (
                name == "hang"
            ):  # a full queue: whoever connects waits, as the machine answers nothing
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(self.address)
                sock.listen(0)
                self.fill = [sock]
                for _ in range(3):
                    self.fill.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                    self.fill[-1].setblocking(False)
                    self.fill[-1].connect_ex(self.address)
        for pair in list(self.pairs):
            pair.changed()

    def follow(self):
        """The target has died or starts: refuse, as its machine does, until somebody listens there."""
        self.unlisten()
        if not self.looking:
            self.look()

    def look(self):
        """Listen again once the target does."""
        sock = self.looking
        if (
            sock is None
            or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            or not connected(sock)
        ):
            if sock:
                sock.close()
            self.looking = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.looking.setblocking(False)
            self.looking.connect_ex(self.target)
            self.scheduler.after(0.01, self.look)
            return
        sock.close()
        self.looking = None
        if not self.listener and not self.faults.keys() & {"refuse", "hang"}:
            self.listen()

    def heal(self):
        """End all faults."""
        self.faults.clear()
        for sock in self.fill:
            sock.close()
        self.fill = []
        if not self.listener and not self.looking:
            self.listen()
        for pair in list(self.pairs):
            pair.changed()

    def unlisten(self):
        if self.listener:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close(self):
        self.unlisten()
        if self.looking:
            self.looking.close()
        for sock in self.fill:
            sock.close()
        for pair in list(self.pairs):
            pair.end()


def connected(sock):
    try:
        sock.getpeername()
        return True
    except OSError:
        return False


class Way:
    """One direction of a pair: what was read from one socket and is to be written to the other."""

    def __init__(self, source, sink):
        self.source, self.sink = source, sink
        self.waiting = (
            deque()
        )  # (when it may go, bytes, when they came); b"" is the end of the sending
        self.lost, self.over, self.passed = False, False, None
        self.pressed = False  # the sink takes nothing now


class Pair:
    """One connection through a relay."""

    def __init__(self, relay, near, lost):
        self.relay, self.near, self.far, self.lost = relay, near, None, lost
        self.ways, self.up = [], False
        if lost:
            return
        self.far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.far.setblocking(False)
        self.far.connect_ex(relay.target)
        for sock in (self.near, self.far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.there, self.back = self.ways = [Way(self.near, self.far), Way(self.far, self.near)]
        relay.scheduler.register(
            self.near.fileno(), select.POLLIN, lambda events: self.told(self.near, events)
        )
        relay.scheduler.register(
            self.far.fileno(), select.POLLOUT, lambda events: self.told(self.far, events)
        )

    def told(self, sock, events):
        if self.far is None or self.far.fileno() < 0:
            return
        if not self.up and sock is self.far:
            if self.far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.end(reset=True)
                return
            self.up = True
            self.watch()
        if events & ~(select.POLLIN | select.POLLOUT):
            if not events & select.POLLIN:
                self.end(reset=True)
                return
        if events & select.POLLIN:
            self.read(self.there if sock is self.near else self.back)
        self.flush()

    def read(self, way):
        faults, now = self.relay.faults, self.relay.scheduler.monotonic()
        try:
            data = way.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self.end(reset=True)
            return
        if not data:
            way.over = True
            if way is self.there:
                self.relay.hung_up(self.far.getsockname())
        lose = "deaf" if way is self.there else "mute"
        if lose in faults or way.lost:
            way.lost = True
        else:
            if way is self.back and "half" in faults and data:
                way.passed = int(faults["half"]) if way.passed is None else way.passed
                data, way.passed = data[: way.passed], max(0, way.passed - len(data))
                if not data:
                    return
            way.waiting.append((now + faults.get("late", 0.0), data, now))
        self.watch()

    def flush(self):
        """Write what may go."""
        if not self.up or self.far.fileno() < 0:
            return
        now = self.relay.scheduler.monotonic()
        for way in self.ways:
            way.pressed = False
            while way.waiting and "cut" not in self.relay.faults:
                due, data, came = way.waiting[0]
                if due > now:
                    self.relay.scheduler.after(due - now, self.flush)
                    break
                try:
                    if not data:
                        way.sink.shutdown(socket.SHUT_WR)
                        way.waiting.popleft()
                        continue
                    sent = way.sink.send(data)
                except BlockingIOError:
                    way.pressed = True
                    break
                except OSError:
                    self.end(reset=True)
                    return
                way.waiting.popleft()
                if sent < len(data):
                    way.waiting.appendleft((due, data[sent:], came))
                elif way is self.there:
                    self.relay.carried(self.far.getsockname(), came)
        if all(way.over and not way.waiting for way in self.ways):
            self.end()
            return
        self.watch()

    def watch(self):
        """Look at each socket for what can be done there."""
        for sock, into, out in (
            (self.near, self.there, self.back),
            (self.far, self.back, self.there),
        ):
            if sock.fileno() < 0 or sock.fileno() not in self.relay.scheduler.calls:
                continue
            held = sum(len(data) for _, data, _ in into.waiting) > 4 * CHUNK
            wants = 0 if into.over or held else select.POLLIN
            if out.pressed or sock is self.far and not self.up:
                wants |= select.POLLOUT
            self.relay.scheduler.modify(sock.fileno(), wants)

    def changed(self):
        if self.lost:
            return
        if any(way.lost for way in self.ways) and not self.relay.faults.keys() & {"mute", "deaf"}:
            self.end(reset=True)  # bytes are missing: what came after them can't be told apart
        else:
            self.flush()

    def end(self, reset=False):
        self.relay.pairs.pop(self, None)
        if self.up and self.far.fileno() >= 0 and not self.there.over:
            self.relay.hung_up(self.far.getsockname())
        for sock in (self.near, self.far):
            if sock is None or sock.fileno() < 0:
                continue
            if sock.fileno() in self.relay.scheduler.calls:
                self.relay.scheduler.unregister(sock.fileno())
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
