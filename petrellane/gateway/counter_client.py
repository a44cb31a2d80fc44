"""The shared counter: adds go out on few connections, each on an idle one where there is one, since an answer that is
spoilt ends its connection and with it whatever waits behind; they end late by our own clock."""

import math
from collections import deque
from functools import partial

from petrellane.decisions import types as api
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream


class Call:
    """One add on its way."""

    __slots__ = ("add", "at", "timer", "mark", "told")

    def __init__(self, add, at):
        self.add, self.at, self.timer, self.mark, self.told = add, at, None, None, False


class Link:
    """One connection to the counter."""

    def __init__(self, counter):
        self.counter, self.address, self.stream, self.calls = (
            counter,
            counter.address,
            None,
            deque(),
        )
        self.used = counter.scheduler.now()

    def run(self):
        """Dial, write what waits, and read answers until the connection ends."""
        counter = self.counter
        try:
            self.stream = Stream.dial(
                counter.scheduler, counter.limits, self.address, counter.limits.counter_timeout
            )
            for call in [call for call in self.calls if call.told]:
                self.calls.remove(call)  # its time is over, and it was never written
            for call in self.calls:
                self.write(call)
            while self in counter.links:  # it may have been ended while it dialed
                self.read()
                if not self.calls and self.address != counter.address:
                    break
                self.stream.fill()
            self.end("not used any more")
        except resp.Malformed as trouble:
            if self.calls:  # the answer to this one came: it was added, to what total is not known
                counter.tell(self.calls.popleft(), api.ERROR, 0.0)
            self.end(str(trouble))
        except (OSError, Closed) as trouble:
            self.end(str(trouble))

    def post(self, call):
        self.calls.append(call)
        if self.stream:
            self.write(call)

    def write(self, call):
        add = call.add
        amount = f"{add.amount:.7f}".rstrip("0").rstrip(".")
        self.stream.write(
            resp.words(
                b"CNT.ADD", b"%d" % add.name, amount.encode(), b"%d" % max(1, int(add.ttl * 1e3))
            )
        )
        call.mark, self.used = self.stream.queued, self.counter.scheduler.now()

    def read(self):
        """Take the answers that have come whole; that to a late call goes by in its place."""
        buffer = self.stream.buffer
        while found := resp.answer(buffer, 0, self.counter.limits):
            kind, content, end = found
            if not self.calls:
                raise resp.Malformed("an answer to nothing")
            outcome, total = self.meaning(buffer, kind, content)
            del buffer[:end]
            self.counter.tell(self.calls.popleft(), outcome, total)

    @staticmethod
    def meaning(buffer, kind, content):
        if kind == 0x24 and content:
            try:
                total = float(bytes(buffer[slice(*content)]))
            except ValueError:
                total = math.nan
            if not math.isfinite(total):
                raise resp.Malformed("a total out of form")
            return api.OK, total
        if kind != 0x2D:
            raise resp.Malformed("an answer out of form")
        return api.FULL, 0.0  # turned away or refused: nothing was added

    def stuck(self, now):
        """Whether an answer has been due for so long that no call should wait behind it."""
        return bool(self.calls) and now - self.calls[0].at > self.counter.limits.counter_timeout

    def end(self, reason):
        """The connection is over, and what is out on it with it."""
        if self.stream:
            self.stream.close()
        if self in self.counter.links:
            self.counter.links.remove(self)
        calls, self.calls = self.calls, deque()
        for call in calls:
            whole = call.mark is not None and call.mark <= self.stream.sent
            self.counter.tell(call, api.RESET if whole else api.UNREACHABLE, 0.0)


class Counter:
    """Carries out adds; `counted` hears of each, once."""

    def __init__(self, scheduler, limits, address, counted):
        self.scheduler, self.limits, self.address, self.counted = (
            scheduler,
            limits,
            address,
            counted,
        )
        self.links = []
        scheduler.after(limits.look, self.look)

    def post(self, add):
        call = Call(add, self.scheduler.now())
        call.timer = self.scheduler.after(self.limits.counter_timeout, partial(self.late, call))
        self.link(call.at).post(call)

    def move(self, address):
        """The counter is at another address now. What is written on old connections is settled there; what is not
        goes to the new address."""
        self.address, links = address, list(self.links)
        for link in links:
            calls, link.calls = (
                link.calls,
                deque(call for call in link.calls if call.mark is not None),
            )
            if not link.calls:
                link.end("not used any more")
            for call in calls:
                if call.mark is None and not call.told:
                    self.link(self.scheduler.now()).post(call)

    def link(self, now):
        """An idle connection, or a new one, or the one with the fewest calls on it."""
        here = [link for link in self.links if link.address == self.address]
        for link in sorted((link for link in here if not link.calls), key=lambda link: -link.used):
            if (
                link.stream.quiet() and not link.stream.buffer
            ):  # the last one used first: others can be retired
                return link
            link.end("spoilt or ended by the counter")
            here.remove(link)
        if len(here) >= self.limits.counter_connections:
            if usable := [link for link in here if not link.stuck(now)]:
                return min(usable, key=lambda link: len(link.calls))
            here[0].end("silent")
        link = Link(self)
        self.links.append(link)
        self.scheduler.spawn(link.run)
        return link

    def late(self, call):
        self.tell(call, api.LATE if call.mark else api.UNREACHABLE, 0.0)

    def tell(self, call, outcome, total):
        if not call.told:
            call.told = True
            call.timer.cancel()
            self.scheduler.soon(self.counted, call.add, outcome, total)

    def look(self):
        """Retire idle connections before the counter does."""
        self.scheduler.after(self.limits.look, self.look)
        before = self.scheduler.now() - self.limits.counter_idle_timeout
        for link in list(self.links):
            if (
                link.stream
                and (not link.calls or link.address != self.address)
                and link.used < before
            ):
                link.end("idle")
