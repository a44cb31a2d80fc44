"""Stand-ins for all that a gateway talks to: hosts, the counter, discovery. They speak the operators' protocol as far as a
gateway uses it, and write what they see to `records`."""

import random
import select
import socket
from collections import deque

import orjson

from petrellane import referee
from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.net.stream import Closed, Stream, accepted, listening

LIMITS = Limits(1 << 16, 1.0, 1.0, 64, 1.0)
NULLS = b"$-1\r\n$-1\r\n"
KEYS = 20_000    # keys remembered


class StandIn:
    """A listening socket, with a greenlet a connection."""

    def __init__(self, scheduler, address=("127.0.0.1", 0)):
        self.scheduler, self.streams = scheduler, {}
        self.listener = listening(address, 256)
        self.address = self.listener.getsockname()
        scheduler.register(self.listener.fileno(), select.POLLIN, self.accept)

    @property
    def text(self):
        return "%s:%d" % self.address

    def accept(self, events):
        for sock in accepted(self.listener, 64, lambda trouble: None):
            stream = Stream(self.scheduler, LIMITS, sock)
            self.streams[stream] = None
            self.scheduler.spawn(self.held, stream)

    def held(self, stream):
        try:
            self.serve(stream)
        except (Closed, resp.Malformed, TimeoutError):
            pass
        finally:
            stream.close()
            self.streams.pop(stream, None)
            self.gone(stream)

    def gone(self, stream):
        """A connection has ended."""

    def commands(self, stream):
        """The commands that come, each as its parts."""
        while True:
            while found := resp.command(stream.buffer, 0, LIMITS):
                parts = [bytes(stream.buffer[slice(*span)]) for span in found[0]]
                del stream.buffer[:found[1]]
                yield parts
            stream.fill()

    def down(self):
        """Listen no more, and reset what is connected: the process has died."""
        if self.listener:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None
        for stream in list(self.streams):
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            stream.close()

    def up(self):
        """Listen again, at the same address."""
        if not self.listener:
            self.listener = listening(self.address, 256)
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept)

    def close(self):
        self.down()


class Host(StandIn):
    """A host: `slots` RPCs are worked on at a time, `queue` wait. A method's work is drawn around its mean; a host that has
    just started does less. It fails a `share` of what it takes, is `slow` by a factor, `silent`, or drains."""

    def __init__(self, scheduler, name, works, records, seed, memory, *, slots=8, queue=32, cold=0.0,
                 cold_from=1.0, zone="z", address=("127.0.0.1", 0)):
        super().__init__(scheduler, address)
        self.name, self.works, self.records, self.zone = name, works, records, zone
        self.memory = memory    # keys that have run, which the hosts of a group share: a repeat has no effect
        self.random = random.Random(f"{seed} {name}")
        self.slots, self.queue, self.cold, self.cold_from = slots, queue, cold, cold_from
        self.share, self.slow, self.silent, self.draining, self.started = 0.0, 1.0, False, False, 0.0
        self.busy, self.waiting, self.out, self.ran = 0, deque(), {}, 0

    def warmth(self):
        """The part of its speed that a host has by now."""
        if not (self.started and self.cold):
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (self.scheduler.now() - self.started) / self.cold)

    def serve(self, stream):
        for parts in self.commands(stream):
            if parts[0] == b"PING":
                stream.write(b"+PONG\r\n")
            elif parts[0] in (b"SVC.QUERY", b"SVC.SUBMIT") and len(parts) >= 4:
                self.take(stream, parts)
            else:
                stream.write(b"-SYNTAX\r\n")

    def take(self, stream, parts):
        rpc = parts[2].decode()
        told = dict(part.split("=", 1) for part in parts[3].decode().split(",") if "=" in part)
        work = self.works.get(told.get("c"), 0.02) * self.random.expovariate(1.0)
        call = self.records.sent(rpc, self.name, work, told.get("k"))
        if self.silent:
            self.out.setdefault(stream, []).append(call)
        elif self.draining or len(self.waiting) >= self.queue:
            self.records.ended(call, "full")
            stream.write(b"-BUSY\r\n")
        else:
            self.out.setdefault(stream, []).append(call)
            self.waiting.append((stream, call, work))
            self.work()

    def work(self):
        while self.waiting and self.busy < self.slots and not self.silent:
            stream, call, work = self.waiting.popleft()
            self.busy += 1
            self.scheduler.after(work * self.slow / self.warmth(),
                                 lambda stream=stream, call=call: self.done(stream, call))

    def done(self, stream, call):
        self.busy -= 1
        if self.listener is not None:    # a host that has died does no more
            fails = self.random.random() < self.share
            if not fails:
                self.ran += 1
                if call.key is None or call.key not in self.memory:
                    self.memory[call.key] = None
                    self.records.ran(call)
                if len(self.memory) > KEYS:
                    for key in list(self.memory)[:KEYS // 2]:
                        del self.memory[key]
            if call in self.out.get(stream, ()) and not self.silent:
                self.out[stream].remove(call)
                self.records.ended(call, "error" if fails else "ok")
                value = call.rpc.encode()
                stream.write(b"-ERR failed\r\n" if fails else b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, NULLS))
        self.work()

    def gone(self, stream):
        """The gateway has given up what was out there."""
        for call in self.out.pop(stream, ()):
            self.records.ended(call, "late")

    def start(self):
        """Start again, cold."""
        self.started, self.busy, self.silent = self.scheduler.now(), 0, False
        self.waiting.clear()
        self.up()
        self.records.take(referee.Up(self.records.now(), self.name, float(self.slots)))


class Counter(StandIn):
    """The counter. `quiet`: nobody is answered, and what was asked is added all the same or not; `refuses`: -BUSY."""

    def __init__(self, scheduler, address=("127.0.0.1", 0)):
        super().__init__(scheduler, address)
        self.totals, self.quiet, self.refuses, self.adds = {}, False, False, 0

    def serve(self, stream):
        for parts in self.commands(stream):
            if parts[0] != b"CNT.ADD" or len(parts) != 4:
                stream.write(b"+PONG\r\n" if parts[0] == b"PING" else b"-ERR no such call\r\n")
                continue
            self.adds += 1
            if self.refuses:
                stream.write(b"-BUSY\r\n")
                continue
            until, total = self.totals.get(parts[1], (0.0, 0.0))
            now = self.scheduler.now()
            if until <= now:
                until, total = now + min(60.0, int(parts[3]) / 1e3), 0.0
            total += float(parts[2])
            self.totals[parts[1]] = until, total
            if not self.quiet:
                text = b"%.7g" % total
                stream.write(b"$%d\r\n%b\r\n" % (len(text), text))
            if len(self.totals) > 100_000:
                self.totals = {name: told for name, told in self.totals.items() if told[0] > now}

    def forget(self):
        """Most counts are lost at once."""
        self.totals.clear()


class Discovery(StandIn):
    """Discovery: the host list, and a watch that is answered when it changes. `notice` seconds go by before a change is
    told; `away`: nobody is answered."""

    def __init__(self, scheduler, records, address=("127.0.0.1", 0)):
        super().__init__(scheduler, address)
        self.records, self.index, self.rows, self.watches = records, 1, {}, {}
        self.changed_at, self.notice, self.away, self.calls = {}, 0.0, False, 0

    def put(self, name, address, state="in_service", zone="z", since=0.0, pod=1):
        """List a host, or what has changed of it."""
        self.index += 1
        self.rows[name] = {"name": name, "address": address, "zone": zone, "type": "k", "group": pod, "status": state,
                           "weight": 1.0, "since_ms": int(since * 1e3)}
        self.changed_at[name] = self.index
        self.scheduler.after(self.notice, self.tell)

    def serve(self, stream):
        while True:
            while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
                stream.fill()
            words = bytes(stream.buffer[:end]).split(b" ")[1].decode()
            del stream.buffer[:end + 4]
            self.calls += 1
            asked = dict(part.split("=", 1) for part in words.partition("?")[2].split("&") if "=" in part)
            if "from" not in asked:
                self.answer(stream, True, list(self.rows.values()))
                continue
            self.watches[stream] = int(asked["from"])
            until = self.scheduler.monotonic() + min(60.0, int(asked.get("hold_ms", 0)) / 1e3)
            self.tell()
            while stream in self.watches and self.scheduler.monotonic() < until:
                self.scheduler.wait(0.02)
            if self.watches.pop(stream, None) is not None:
                self.answer(stream, False, [])

    def tell(self):
        if self.away:
            return
        for stream, index in list(self.watches.items()):
            rows = [row for name, row in self.rows.items() if self.changed_at[name] > index]
            if rows:
                del self.watches[stream]
                self.answer(stream, False, rows)

    def answer(self, stream, whole, rows):
        if self.away:
            return
        body = orjson.dumps({"index": self.index, "snapshot": whole, "endpoints": rows})
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body), body)

    def gone(self, stream):
        self.watches.pop(stream, None)


