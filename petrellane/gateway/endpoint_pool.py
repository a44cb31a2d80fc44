"""The host side: connections to hosts, and the attempts that are out on them.

What becomes of an attempt is told exactly as the sockets prove it: it never ran when its connection did not come up
or broke before the last byte was written, and may have run when that happened later.
"""

import socket
from collections import Counter, deque
from functools import partial

from petrellane.decisions import types as api
from petrellane.gateway.response_relay import Passage
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream


class PendingAttempt:
    """A call-out on the network."""

    __slots__ = (
        "exchange",
        "attempt",
        "pool",
        "connection",
        "until",
        "timer",
        "mark",
        "given_up",
        "passing",
    )

    def __init__(self, exchange, attempt, pool, until):
        self.exchange, self.attempt, self.pool, self.until = exchange, attempt, pool, until
        self.connection = self.timer = self.mark = None
        self.passing = False  # its answer has begun to go to the client
        self.given_up = ""  # the outcome that is told once its connection allows


class Connection:
    """One connection to a host; attempts are answered in the order in which they were written."""

    def __init__(self, pool):
        self.pool, self.address, self.stream, self.out = pool, pool.address, None, deque()
        self.idle_since, self.answered, self.retiring, self.ended = 0.0, 0.0, False, False
        self.left, self.parts, self.passage = (
            0,
            0,
            None,
        )  # bytes of a long value still to come; its answer's parts

    def run(self):
        """Dial, then read answers until the connection ends."""
        upstream, pool = self.pool.upstream, self.pool
        try:
            self.stream = Stream.dial(
                upstream.scheduler, upstream.limits, self.address, upstream.limits.dial_timeout
            )
        except OSError as trouble:
            upstream.open -= 1
            upstream.tally["dials failed"] += 1
            pool.dial_failed(self, trouble)
            return
        pool.dials -= 1
        pool.free(self)
        try:
            while True:
                self.read()
                self.stream.fill()
        except (Closed, resp.Malformed):
            pass
        finally:
            self.end()

    def write(self, pending):
        """Send an attempt, unless there is no sense in it any more."""
        now = self.pool.upstream.scheduler.now()
        pending.connection, pending.mark = self, None
        self.out.append(pending)
        self.stream.write(*pending.exchange.command(pending.until - now))
        pending.mark = self.stream.queued

    def takes_more(self):
        """Whether one more attempt may be written behind those that are out: not behind bytes that the host does not
        take, where it would wait unseen, nor at an address that the host has left."""
        return not (
            self.retiring
            or self.stream.unsent
            or self.stream.broken
            or self.address != self.pool.address
            or len(self.out) >= self.pool.upstream.limits.streams
        )

    def read(self):
        """Take the answers that have come whole."""
        buffer, limits = self.stream.buffer, self.pool.upstream.limits
        while not self.ended:
            if self.left:
                if not buffer:
                    return
                self.pass_on(buffer)
                continue
            if not self.passage and (found := resp.long_answer(buffer, limits)):
                self.begin(buffer, *found)
                continue
            found = resp.answer(buffer, 0, limits)
            if not found:
                return
            kind, content, end = found
            if not self.out:
                raise resp.Malformed("an answer to nothing")
            pending = self.out[0]
            outcome, value, figures = self.meaning(kind, content)
            del buffer[:end]
            self.out.popleft()
            if self.passage:
                passage, self.passage = self.passage, None
                passage.end()
            self.answered = self.pool.heard = self.pool.upstream.scheduler.now()
            self.pool.free(self)  # first, since what follows may be for this host as well
            self.pool.upstream.over(pending, outcome, value, figures)

    def begin(self, buffer, parts, length, start):
        """A long value begins: it goes to the client as it comes, or is passed over where nobody waits for it."""
        if not self.out:
            raise resp.Malformed("an answer to nothing")
        pending, self.left, self.parts = self.out[0], length, parts
        del buffer[:start]
        self.stream.bound(socket.SO_RCVBUF)
        self.passage = Passage(
            self.pool.upstream.account,
            self.pool.upstream.scheduler.now,
            self.stream.hold,
            self.unwanted,
        )
        if pending.given_up or not self.pool.upstream.begun(pending, self.passage, length):
            self.passage.drop()

    def pass_on(self, buffer):
        """Some of a long value has come; once all of it has, what follows reads like the rest of a short answer."""
        data = bytes(buffer[: self.left])
        del buffer[: len(data)]
        self.left -= len(data)
        if not self.left:
            buffer[:0] = b"*%d\r\n$0\r\n" % self.parts
        self.passage.push(data)

    def unwanted(self):
        """Nobody takes the long value: its connection ends, at once or when those behind it are given up as well."""
        self.out[0].given_up = self.out[0].given_up or api.CANCELLED
        if all(other.given_up for other in self.out):
            self.pool.upstream.scheduler.soon(self.end)

    def clean(self):
        """Whether nothing has come that belongs to no attempt: it would pass for the answer to the next one."""
        return not self.stream.buffer and self.stream.quiet()

    def meaning(self, kind, content):
        """What an answer says: the outcome, the value, and the figures on use and load that came with it."""

        def taken(span):
            return bytes(self.stream.buffer[slice(*span)]) if span else b""

        if kind == 0x2A and content and content[0]:
            value, used, report = (content + [None, None])[:3]
            return api.OK, taken(value), b",".join(filter(None, (taken(used), taken(report))))
        text = taken(content) if kind == 0x2D else b""
        if text == b"BUSY" or text.startswith(b"BUSY ") and b"=" in text.split(b" ")[-1]:
            return api.FULL, b"", b""
        if not text.startswith(b"ERR"):
            raise resp.Malformed("an answer out of form")
        return api.ERROR, b"", b",".join(word for word in text.split(b" ") if b"=" in word)

    def end(self):
        """The connection is over, and what is out on it with it."""
        if self.ended:
            return
        self.ended = True
        self.stream.close()
        if self.passage:
            self.passage.fail()
        out, self.out = self.out, deque()
        self.pool.drop(self)
        for pending in out:
            whole = pending.mark is not None and pending.mark <= self.stream.sent
            outcome = api.RESET if whole else api.UNREACHABLE
            if pending.given_up and (whole or pending.given_up == api.NEVER_SENT):
                outcome = pending.given_up
            self.pool.upstream.over(pending, outcome)

    def give_up(self, pending, outcome):
        """Stop waiting for an attempt without ending the others on the connection. Where the host has answered
        nothing since it was sent, idle connections from before may be as dead: none is to swallow the next one."""
        if self.pool.heard < pending.attempt.sent_at:
            self.pool.retire(pending.attempt.sent_at)
        self.call_off(pending, outcome)

    def call_off(self, pending, outcome):
        """The same, with no doubt about the host."""
        pending.given_up = outcome
        self.retiring = True
        if all(other.given_up for other in self.out):
            self.end()
        elif (
            outcome == api.LATE
        ):  # its time is over: nothing can be sent in its place, so this may be told
            self.pool.upstream.over(pending, outcome)


class Pool:
    """The connections to one host, and the attempts that wait for one."""

    def __init__(self, upstream, host, address):
        self.upstream, self.host, self.address = upstream, host, address
        self.idle, self.busy = deque(), {}  # the last one used is the next one used
        self.queue, self.dials, self.heard = deque(), 0, 0.0
        self.resting = None  # the timer for an idle connection to have rested

    def assign(self, pending):
        """Write an attempt to an idle connection, or let it wait for a new one, or pipeline it."""
        self.queue.append(pending)
        self.go_on()

    def go_on(self):
        """Serve what waits, the oldest first: by an idle connection that has rested, by a dial for each, else by any idle
        one, or behind others. An attempt that is not to be sent any more is handed back, whichever way its turn comes."""
        while self.waits():
            if connection := self.idle_one(self.upstream.limits.rest):
                self.write(connection)
            elif len(self.queue) <= self.dials:
                break
            elif not self.dial():
                if connection := self.idle_one(0.0):
                    self.write(connection)
                elif shared := [one for one in self.busy if one.takes_more()]:
                    min(shared, key=lambda one: len(one.out)).write(self.queue.popleft())
                else:
                    break
        if (
            self.queue and self.idle and not self.resting
        ):  # a dial may be late: one that has rested is as good
            self.resting = self.upstream.scheduler.after(self.upstream.limits.rest, self.rested)

    def rested(self):
        self.resting = None
        self.go_on()

    def write(self, connection):
        self.busy[connection] = None
        connection.write(self.queue.popleft())

    def waits(self):
        """Whether an attempt waits that is still to be sent; those in front of it that are not are handed back."""
        while self.queue and self.upstream.stale(self.queue[0]):
            self.upstream.scheduler.soon(self.upstream.over, self.queue.popleft(), api.NEVER_SENT)
        return bool(self.queue)

    def idle_one(self, rest):
        """The idle connection that was used last, of those that have rested for so long and are still good. A host may
        answer twice, some milliseconds apart: on a connection used again at once that would pass for the next answer."""
        before = self.upstream.scheduler.now() - rest
        for connection in reversed([one for one in self.idle if one.answered <= before]):
            self.idle.remove(connection)
            if connection.clean():
                return connection
            connection.end()
        return None

    def dial(self):
        """Begin a new connection; False where there is no room for one."""
        if self.dials + len(self.busy) + len(self.idle) >= self.upstream.limits.host_connections:
            return False
        if not self.upstream.make_room(1):
            return False
        self.dials += 1
        self.upstream.open += 1
        self.upstream.tally["dials"] += 1
        self.upstream.scheduler.spawn(Connection(self).run)
        return True

    def free(self, connection):
        """A connection has come up, or an answer has come on it: the next attempt, or idle."""
        if connection.stream.broken:
            return
        if not connection.out and not connection.clean():
            connection.end()
            return
        if (
            connection.retiring
            or self.host.state != api.READY
            or connection.address != self.address
        ):
            if all(other.given_up for other in connection.out):
                connection.end()
            return
        if not connection.out:
            self.busy.pop(connection, None)
            connection.idle_since = self.upstream.scheduler.now()
            self.idle.append(connection)
        if self.queue:
            self.go_on()

    def dial_failed(self, connection, trouble):
        """The attempt that has waited for longest fails, unless a connection is still to come for it."""
        self.dials -= 1
        if len(self.queue) > self.dials:
            self.upstream.over(self.queue.popleft(), api.UNREACHABLE)

    def drop(self, connection):
        """A connection has ended."""
        self.upstream.open -= 1
        self.busy.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.queue:  # one may wait that no dial will serve
            self.upstream.scheduler.soon(self.go_on)

    def withdraw(self):
        """The host wants nothing new: idle connections end, and what waits for one is handed back."""
        self.retire(float("inf"))
        while self.host.state != api.READY and self.queue:
            self.upstream.scheduler.soon(self.upstream.over, self.queue.popleft(), api.NEVER_SENT)

    def unused(self):
        """Whether it holds nothing: a new one would be the same."""
        return not (self.queue or self.dials or self.busy or self.idle or self.resting)

    def retire(self, before):
        """End idle connections that were last used before some time."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].end()


class Upstream:
    """The pools of hosts. A host has one while it holds anything, so that there are no more than connections and attempts,
    however many hosts are listed. `begun` hears of an attempt whose long answer begins, `ended` of each attempt's outcome,
    once."""

    def __init__(self, scheduler, limits, account, clients, begun, ended):
        self.scheduler, self.limits, self.account, self.clients = (
            scheduler,
            limits,
            account,
            clients,
        )
        self.told_begun, self.ended = begun, ended
        self.pools, self.open, self.tally = {}, 0, Counter()
        self.pending_attempts = {}  # call-out -> attempt, while its outcome is not told
        scheduler.after(limits.look, self.look)

    def listed(self, host, address):
        """A host is at this address, and ready or not."""
        pool = self.pools.get(host)
        if pool and (pool.address != address or host.state != api.READY):
            pool.address = address
            pool.withdraw()

    def gone(self, host):
        """A host is no longer listed; what it has begun it may still finish."""
        pool = self.pools.pop(host, None)
        if pool:
            pool.withdraw()

    def send(self, exchange, attempt):
        """Start an attempt."""
        pool = self.pool_of(attempt.endpoint)
        pending = PendingAttempt(exchange, attempt, pool, attempt.sent_at + attempt.timeout)
        self.pending_attempts[attempt] = pending
        if pool is None or self.stale(pending):
            self.scheduler.soon(self.over, pending, api.NEVER_SENT)
            return
        by = min(attempt.send_by, pending.until) - self.scheduler.now()
        pending.timer = self.scheduler.after(by, partial(self.by_now, pending))
        pool.assign(pending)

    def pool_of(self, host):
        """The pool of a host, from its first attempt on; None of one that is not ready and has none."""
        pool = self.pools.get(host)
        if pool is None and host.state == api.READY:
            name, _, port = host.address.rpartition(":")
            pool = self.pools[host] = Pool(self, host, (name, int(port)))
        return pool

    def by_now(self, pending):
        """The time of an attempt is over: all of it, or that in which it had to be sent, if it still waits."""
        if pending.attempt.send_by >= pending.until:
            self.give_up(pending, api.LATE)
        elif pending in pending.pool.queue:
            pending.pool.queue.remove(pending)
            self.over(pending, api.NEVER_SENT)
        else:
            pending.timer = self.scheduler.after(
                pending.until - self.scheduler.now(), partial(self.give_up, pending, api.LATE)
            )

    def stale(self, pending):
        """Whether an attempt is not to be sent any more: its RPC is over, its time, or its host's. Where its client may
        have left unseen for a while, its socket is asked: that costs little beside a turn that takes so long."""
        now = self.scheduler.now()
        return (
            pending.exchange.rpc.is_finished
            or pending.attempt.endpoint.state != api.READY
            or pending.until <= now
            or pending.attempt.send_by < now
            or self.scheduler.unseen()
            and pending.exchange.gone()
        )

    def cancel(self, attempt):
        """Stop waiting for an attempt; its outcome still comes."""
        pending = self.pending_attempts.get(attempt)
        if pending and not (pending.given_up or pending.passing):
            self.scheduler.soon(self.give_up, pending, api.CANCELLED)

    def left(self, attempts, may_cancel=True):
        """The client of these has gone: what waits is handed back, and what its host does not have whole never gets
        there. On a connection that the host has not answered on yet it may be late in coming up there, and the attempt still
        to begin: it is called off, where that is allowed."""
        for pending in filter(None, map(self.pending_attempts.get, attempts)):
            connection = pending.connection
            if not connection and pending.pool and pending in pending.pool.queue:
                pending.pool.queue.remove(pending)
                self.scheduler.soon(self.over, pending, api.NEVER_SENT)
            elif connection and pending.mark > connection.stream.sent and not pending.given_up:
                connection.stream.unsent.clear()  # nothing is written behind it: see takes_more
                connection.give_up(pending, api.NEVER_SENT)
            elif connection and may_cancel:
                self.scheduler.soon(self.call_off, pending)

    def call_off(self, pending):
        if pending.attempt in self.pending_attempts and not (
            pending.connection.answered or pending.given_up or pending.passing
        ):
            pending.connection.call_off(pending, api.CANCELLED)

    def run_out(self, attempts):
        """The time of these is over."""
        for pending in filter(None, [self.pending_attempts.get(attempt) for attempt in attempts]):
            self.give_up(pending, api.LATE)

    def give_up(self, pending, outcome):
        if (
            pending.attempt not in self.pending_attempts
            or pending.given_up
            and outcome != api.LATE
            or pending.passing
        ):
            return
        if pending.connection:
            pending.connection.give_up(pending, outcome)
            return
        if pending in pending.pool.queue:
            pending.pool.queue.remove(pending)
        self.over(pending, api.UNREACHABLE)

    def begun(self, pending, passage, length):
        """A long value has begun to come, which no deadline cuts off; whether somebody takes it."""
        if pending.timer:
            pending.timer.cancel()
        pending.passing = self.told_begun(pending, passage, length)
        return pending.passing

    def over(self, pending, outcome, value=b"", figures=b""):
        """Tell what became of an attempt, once."""
        if self.pending_attempts.pop(pending.attempt, None):
            if pending.timer:
                pending.timer.cancel()
            self.ended(pending, outcome, value, figures)

    def make_room(self, more):
        """Shed idle connections until so many more fit beside the clients; False when they do not."""
        room = self.limits.host_room(self.clients()) - more
        while self.open > room:
            idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
            if not idle:
                return False
            min(idle, key=lambda one: one.idle_since).end()
        return True

    def look(self):
        """Retire what has been idle for long; dial for what waits without a connection to come."""
        self.scheduler.after(self.limits.look, self.look)
        before = self.scheduler.now() - self.limits.host_idle_timeout
        still = self.scheduler.now() - self.limits.stall_timeout
        for passage in [passage for passage in self.account.passages if passage.moved < still]:
            self.tally["stood still"] += 1
            passage.expire()
        for host, pool in list(self.pools.items()):
            pool.retire(before)
            pool.go_on()
            if pool.unused():
                del self.pools[host]
