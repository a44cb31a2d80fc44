"""Stand-ins for all that a gateway talks to: hosts, the counter, discovery. They speak the operators' protocol as far as a
gateway uses it, and write what they see to `records`."""

import random
import select
import socket
from collections import deque

import orjson

from petrellane import invariants
from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.net.stream import Closed, Stream, accepted, listening
from petrellane.testbed.records import ArrivedAttempt

LIMITS = Limits(1 << 16, 1.0, 1.0, 64, 1.0)
NULLS = b"$-1\r\n$-1\r\n"
KEYS = 20_000  # keys remembered


def peer_of(sock):
    """Where a connection comes from; None where it has been reset by now."""
    try:
        return sock.getpeername()
    except OSError:
        return None


class StandIn:
    """A listening socket, with a greenlet a connection; `streams` maps each to where it comes from."""

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
            self.streams[stream] = peer_of(sock)
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
                del stream.buffer[: found[1]]
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
            stream.release()  # a close would send an end in order before

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

    def __init__(
        self,
        scheduler,
        name,
        works,
        records,
        seed,
        memory,
        *,
        slots=8,
        queue=32,
        cold=0.0,
        cold_from=1.0,
        zone="z",
        address=("127.0.0.1", 0),
    ):
        super().__init__(scheduler, address)
        self.name, self.works, self.records, self.zone = name, works, records, zone
        self.memory = (
            memory  # keys that have run, which the hosts of a group share: a repeat has no effect
        )
        self.random = random.Random(f"{seed} {name}")
        self.slots, self.queue, self.cold, self.cold_from = slots, queue, cold, cold_from
        self.share, self.slow, self.silent, self.draining, self.started = (
            0.0,
            1.0,
            False,
            False,
            0.0,
        )
        self.busy, self.waiting, self.out, self.ran = 0, deque(), {}, 0
        self.given_up, self.moved = (
            set(),
            lambda: None,
        )  # peers whose gateway has hung up; told of each end and start
        self.carried = {}  # peer -> when a relay last read what has come from there

    def warmth(self):
        """The part of its speed that a host has by now."""
        if not (self.started and self.cold):
            return 1.0
        return min(
            1.0,
            self.cold_from
            + (1 - self.cold_from) * (self.scheduler.now() - self.started) / self.cold,
        )

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
        peer = self.streams.get(stream)
        late = peer in self.given_up
        if len(self.carried) > KEYS:
            self.carried.clear()
        call = self.records.on_attempt_arrived(
            ArrivedAttempt(rpc, self.name, work, told.get("k"), late, self.carried.get(peer))
        )
        if self.silent:
            self.out.setdefault(stream, []).append(call)
        elif self.draining or len(self.waiting) >= self.queue:
            self.records.on_attempt_ended(call, "full")
            stream.write(b"-BUSY\r\n")
        else:
            self.out.setdefault(stream, []).append(call)
            self.waiting.append((stream, call, work))
            self.work()

    def work(self):
        while self.waiting and self.busy < self.slots and not self.silent:
            stream, call, work = self.waiting.popleft()
            self.busy += 1
            self.scheduler.after(
                work * self.slow / self.warmth(),
                lambda stream=stream, call=call: self.done(stream, call),
            )

    def done(self, stream, call):
        self.busy -= 1
        if self.listener is not None:  # a host that has died does no more
            fails = self.random.random() < self.share
            if not fails:
                self.ran += 1
                if call.key is None or call.key not in self.memory:
                    self.memory[call.key] = None
                    self.records.on_executed(call)
                if len(self.memory) > KEYS:
                    for key in list(self.memory)[: KEYS // 2]:
                        del self.memory[key]
            if call in self.out.get(stream, ()) and not self.silent:
                self.out[stream].remove(call)
                self.records.on_attempt_ended(call, "error" if fails else "ok")
                value = call.rpc.encode()
                stream.write(
                    b"-ERR failed\r\n"
                    if fails
                    else b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, NULLS)
                )
        self.work()

    def gone(self, stream):
        """The gateway has given up what was out there."""
        for call in self.out.pop(stream, ()):
            self.records.on_attempt_ended(call, "late")

    def hung_up(self, peer):
        """A relay tells that the gateway has closed the connection that comes from `peer`, which may be heard here later
        or never: what was out on it is over, and what comes of it yet is work, with its effect, and no call-out."""
        self.given_up.add(peer)
        if len(self.given_up) > KEYS:
            self.given_up.clear()
        for stream, calls in self.out.items():
            if self.streams.get(stream) == peer:
                for call in calls:
                    self.records.on_attempt_ended(call, "late")

    def down(self):
        super().down()
        self.moved()

    def start(self):
        """Start again, cold."""
        self.started, self.busy, self.silent = self.scheduler.now(), 0, False
        self.waiting.clear()
        self.up()
        self.moved()
        self.records.add(
            invariants.EndpointStarted(self.records.now(), self.name, float(self.slots))
        )


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


class Door(StandIn):
    """Where one gateway reaches discovery. Its trouble, if any: `refused` (nobody listens), `turned away` (status 503),
    `silent` (calls are taken and never answered), `unaccepted` (connections come up, and nobody takes them), `full` (none
    comes up), `cut` (half an answer, then the end)."""

    def __init__(self, discovery, gateway, address):
        super().__init__(discovery.scheduler, address)
        self.discovery, self.gateway, self.trouble, self.crowd = discovery, gateway, "", []

    def serve(self, stream):
        self.discovery.serve(stream, self)

    def begin(self, trouble):
        """Have a trouble from now on; what is out is never answered."""
        self.trouble = trouble
        for stream in [stream for stream in self.streams if stream in self.discovery.watches]:
            del self.discovery.watches[stream]
            if trouble in ("turned away", "cut"):
                stream.close()
        if trouble in ("refused", "full"):
            self.down()
        if trouble == "unaccepted":
            self.scheduler.unregister(self.listener.fileno())
        if trouble == "full":
            self.listener = listening(self.address, 0)
            for _ in range(2):
                self.crowd.append(socket.socket())
                self.crowd[-1].setblocking(False)
                self.crowd[-1].connect_ex(self.address)

    def end(self):
        """Be there again; what was asked meanwhile stays without an answer."""
        for sock in self.crowd:
            sock.close()
        if self.trouble in ("unaccepted", "full"):
            for sock in accepted(self.listener, 256, lambda trouble: None):
                self.crowd.append(sock)  # open and silent, as their callers found them
        if self.trouble == "unaccepted":
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept)
        if self.trouble == "full":
            self.listener.listen(256)
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept)
        self.trouble = ""
        self.up()

    def close(self):
        for sock in self.crowd:
            sock.close()
        if self.trouble in ("unaccepted", "full"):
            self.listener.close()
            self.listener = None
        super().close()

    def gone(self, stream):
        self.discovery.watches.pop(stream, None)


class Discovery:
    """Discovery: the host list, and a watch that is answered when it changes. `notice` seconds go by before a change is
    told; `away`: nobody is answered; `rate`: of the calls of any one second, so many are served and the rest turned away.
    `seen_by` gives a row as a gateway is to see it.

    What a gateway has been told is known when it asks on from there: an answer may be lost on its way."""

    def __init__(self, scheduler, records, seen_by=lambda gateway, row: row):
        self.scheduler, self.records, self.seen_by = scheduler, records, seen_by
        self.index, self.rows, self.watches, self.doors = 1, {}, {}, {}
        self.changed_at, self.notice, self.away, self.calls = {}, 0.0, False, 0
        self.rate, self.served, self.refused = (
            float("inf"),
            deque(),
            0,
        )  # times at which calls were served lately
        self.changes, self.heard = (
            deque(maxlen=1000),
            {},
        )  # (index, host, status, since); gateway -> index

    def door(self, gateway, address=("127.0.0.1", 0)):
        """Where this gateway is to ask."""
        if gateway not in self.doors:
            self.doors[gateway] = Door(self, gateway, address)
        return self.doors[gateway]

    def put(self, name, address, state="in_service", zone="z", since=0.0, pod=1):
        """List a host, or what has changed of it."""
        self.index += 1
        self.rows[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": "k",
            "group": pod,
            "status": state,
            "weight": 1.0,
            "since_ms": int(since * 1e3),
        }
        self.changed_at[name] = self.index
        self.changes.append((self.index, name, state, since))
        self.scheduler.after(self.notice, self.tell)

    def serve(self, stream, door):
        gateway = door.gateway
        while True:
            while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
                stream.fill()
            words = bytes(stream.buffer[:end]).split(b" ")[1].decode()
            del stream.buffer[: end + 4]
            self.calls += 1
            if door.trouble == "silent":
                continue
            if door.trouble == "cut":
                stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"index":')
                return
            if door.trouble == "turned away" or self.overbooked():
                self.refused += 1
                stream.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            asked = dict(
                part.split("=", 1) for part in words.partition("?")[2].split("&") if "=" in part
            )
            if "from" not in asked:
                self.answer(stream, gateway, True, list(self.rows.values()))
                continue
            self.has_heard(gateway, int(asked["from"]))
            self.watches[stream] = int(asked["from"]), gateway
            until = self.scheduler.monotonic() + min(60.0, int(asked.get("hold_ms", 0)) / 1e3)
            self.tell()
            while stream in self.watches and self.scheduler.monotonic() < until:
                self.scheduler.wait(0.02)
            if self.watches.pop(stream, None) is not None:
                self.answer(stream, gateway, False, [])

    def overbooked(self):
        """Whether as many calls were served in the last second as may be; this one is served otherwise."""
        now = self.scheduler.monotonic()
        while self.served and self.served[0] <= now - 1.0:
            self.served.popleft()
        if len(self.served) >= self.rate:
            return True
        if self.rate < float("inf"):
            self.served.append(now)
        return False

    def has_heard(self, gateway, index):
        """It asks on from this index: so it knows of all changes up to there."""
        before, self.heard[gateway] = (
            self.heard.get(gateway, 0),
            max(index, self.heard.get(gateway, 0)),
        )
        for at, host, status, since in self.changes:
            if before < at <= index:
                state, since = (
                    invariants.READY if status == "in_service" else status,
                    since and since - self.records.began,
                )
                self.records.add(
                    invariants.EndpointNotified(self.records.now(), gateway, host, state, since)
                )

    def forget(self, gateway):
        """It was killed: the next process of its name knows nothing."""
        self.heard.pop(gateway, None)

    def seen(self, gateway):
        """The list as a gateway sees it."""
        return [self.seen_by(gateway, row) for row in self.rows.values()]

    def tell(self):
        if self.away:
            return
        for stream, (index, gateway) in list(self.watches.items()):
            rows = [row for name, row in self.rows.items() if self.changed_at[name] > index]
            if rows:
                del self.watches[stream]
                self.answer(stream, gateway, False, rows)

    def answer(self, stream, gateway, whole, rows):
        if self.away:
            return
        rows = [self.seen_by(gateway, row) for row in rows]
        body = orjson.dumps({"index": self.index, "snapshot": whole, "endpoints": rows})
        stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % len(body),
            body,
        )

    def close(self):
        for door in self.doors.values():
            door.close()
