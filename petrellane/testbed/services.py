"""The stand-ins of a scale run, each in a process of its own, so that the rig's one scheduler is no bottleneck: the counter
as elsewhere in the lab, and discovery before thousands of gateways."""

import os
import random
import select
from collections import deque

import greenlet
import orjson

from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.fake_counter import FakeCounter
from petrellane.testbed.fake_discovery import FakeDiscovery

KEPT = 20_000  # changes remembered; whoever asks from before gets the list whole
BACKLOG = 4096
LINES = 100_000  # log lines that wait for the rig


class Words:
    """Words of the rig on a pipe, one a line; `heard` maps each to a call."""

    def __init__(self, scheduler, descriptor, heard):
        self.descriptor, self.heard, self.buffer = descriptor, heard, b""
        os.set_blocking(descriptor, False)
        scheduler.register(descriptor, select.POLLIN, self.read)

    def read(self, events):
        data = os.read(self.descriptor, 4096)
        if not data:  # the rig is gone
            os._exit(1)
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if call := self.heard.get(line.decode()):
                call()


class Registry(FakeDiscovery):
    """Discovery before thousands: all ask at one door, those who ask alike get one answer made once, and a watch sleeps
    until there is news. Nobody's records are kept."""

    def __init__(self, scheduler, rows, rate):
        super().__init__(scheduler, None)
        self.rows, self.index = {row["name"]: row for row in rows}, len(rows)
        self.rate = rate or float("inf")
        self.names = deque(
            maxlen=KEPT
        )  # those changed, in order; the last one is of the newest index
        self.made = {}  # from which index -> the bytes of the answer, for the list as it is

    def change(self, name, state):
        """Another state of a host, told to all who watch at the end of this turn."""
        self.index += 1
        self.rows[name] = self.rows[name] | {"status": state}
        self.names.append(name)
        self.made.clear()
        woken, self.watches = self.watches, {}
        for watcher in woken.values():
            self.scheduler.soon(watcher.switch)

    def body(self, since):
        """What is newer than an index, or the whole list where that is None or too long ago."""
        if since is not None and not self.index - len(self.names) <= since <= self.index:
            since = None
        if since not in self.made:
            new = (
                list(self.names)[len(self.names) - (self.index - since) :]
                if since is not None
                else self.rows
            )
            told = {
                "index": self.index,
                "snapshot": since is None,
                "endpoints": [self.rows[name] for name in dict.fromkeys(new)],
            }
            body = orjson.dumps(told)
            self.made[since] = (
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
        return self.made[since]

    def serve(self, stream, door):
        while True:
            while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
                stream.fill()
            words = bytes(stream.buffer[:end]).split(b" ")[1].decode()
            del stream.buffer[: end + 4]
            self.calls += 1
            if self.is_overloaded():
                self.refused += 1
                stream.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            asked = dict(
                part.split("=", 1) for part in words.partition("?")[2].split("&") if "=" in part
            )
            since = int(asked["from"]) if "from" in asked else None
            if since == self.index and (hold := min(60.0, int(asked.get("hold_ms", 0)) / 1e3)) > 0:
                self.watches[stream] = stream.reader = (
                    greenlet.getcurrent()
                )  # hears of an end, else the poll spins
                woken, stream.reader = self.scheduler.wait(hold), None
                if self.watches.pop(stream, None) and woken:
                    continue  # no news, but an end
            stream.write(self.body(since))


class Changes:
    """Hosts that drain and come back, so many times a second, from `begin` on until `quiet`."""

    def __init__(self, scheduler, log, registry, rate, seed):
        self.scheduler, self.log, self.registry, self.rate, self.on = (
            scheduler,
            log,
            registry,
            rate,
            False,
        )
        self.random = random.Random(f"changes {seed}")
        self.names = list(registry.rows)

    def begin(self):
        self.on = self.rate > 0
        if self.on:
            self.scheduler.after(self.random.random() / self.rate, self.one)

    def quiet(self):
        self.on = False

    def one(self):
        if not self.on:
            return
        self.scheduler.after(1 / self.rate, self.one)
        name = self.random.choice(self.names)
        state = (
            "terminating" if self.registry.rows[name]["status"] == "in_service" else "in_service"
        )
        self.registry.change(name, state)
        self.log.event("changed", index=self.registry.index)


def run(what, path, meter):
    """Be one of the stand-ins, by the file that the rig has written, until the rig ends it."""
    with open(path, "rb") as file:
        told = orjson.loads(file.read())
    scheduler = Scheduler()
    log = Logger(1, what, scheduler.now, LINES)
    scheduler.fault = log.fault
    heard, address = {}, (told["ip"], told["port"])
    if what == "counter":
        counter = FakeCounter(scheduler, address)
        listener = counter.listener
        meter.more = lambda: {"adds": counter.adds, "connections": len(counter.streams)}
    else:
        registry = Registry(scheduler, told["rows"], told["rate"])
        listener = registry.listener_for("all", address).listener
        changes = Changes(scheduler, log, registry, told["changes"], told["seed"])
        heard = {"begin": changes.begin, "quiet": changes.quiet}
        meter.more = lambda: {
            "calls": registry.calls,
            "refused": registry.refused,
            "index": registry.index,
            "watches": len(registry.watches),
        }
    listener.listen(BACKLOG)  # many come at once
    Words(scheduler, told["words"], heard)
    log.event("started")
    scheduler.run()
    return 0
