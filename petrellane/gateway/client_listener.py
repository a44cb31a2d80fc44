"""The client side: accepts connections, reads commands, writes the answers in the order of the commands."""

import math
import select
import socket
from collections import deque

import greenlet

from petrellane.gateway import idle_eviction
from petrellane.gateway.client_request import BadField, Exchange, Reply
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream, accepted, listening
from petrellane.operation.lifecycle import LifecycleState

QUERY = b"SVC.QUERY"
SERVED = {QUERY, b"SVC.SUBMIT"}
PING, PONG, UNWELCOME = b"PING", b"+PONG\r\n", b"-ERR draining\r\n"
REFUSED = b"-BUSY\r\n"  # not taken: we go, and another gateway may
AT_ONCE = {PING: PONG, b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


def error(text):
    return b"-ERR %b\r\n" % text.encode("ascii", "replace")


class Server:
    """Hands what clients ask for to `place`, and tells `left` of those who went away before their answer."""

    def __init__(self, scheduler, limits, log, service, place, left, make_room, account):
        self.scheduler, self.limits, self.log, self.service = scheduler, limits, log, service
        self.place, self.left, self.make_room, self.account = place, left, make_room, account
        self.clients = {}  # connected ones, in the order of their last command
        self.silent, self.once = (
            {},
            {},
        )  # those that have said nothing yet, or one thing, the oldest first
        self.halves = {}  # those found in the midst of a command when room was sought, and since when
        self.listener, self.attending, self.starved = None, False, 0.0
        self.unread = {}  # those that don't take what is written to them: bytes taken so far, and since when no more
        scheduler.after(limits.look, self.look)
        self.shut, self.told = (
            0,
            0.0,
        )  # connections for which there was no room, and when the log was told
        self.bound = False  # the address is ours, and whoever comes is refused
        self.ended, self.until, self.draining = None, 0.0, False
        self.heir = None  # what passes connections on to the process that follows, while it does

    def listen(self, address, now=True):
        """Listen at an address; callers are heard from `attend` on. Or only take the address for now: who comes is refused,
        as what is taken must be answered."""
        self.listener = listening(address, self.limits.backlog if now else None)
        self.bound = not now

    def inherit(self, descriptor):
        """The same with a listening socket that others hold as well, and that outlives us."""
        self.listener = socket.socket(fileno=descriptor)
        self.listener.setblocking(False)

    def attend(self):
        if self.listener and not self.heir and not self.attending:
            self.attending = True
            if self.bound:
                self.listener.listen(self.limits.backlog)
                self.bound = False
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept)

    def accept(self, events=0):
        """Take new clients. Where nobody makes room for them they are shut at once, as what hosts, the counter, discovery
        and staff need is never a client's; where it is busy connections to hosts that take the room, they wait."""
        full = False
        if not self.make_room(1):
            self.make_way("connections to hosts are all busy")
            return
        for sock in accepted(self.listener, self.limits.accepts, self.make_way):
            if full or not self.admits():
                full = True  # for the rest of this turn
                self.turn_away(sock)
                continue
            client = Client(self, Stream(self.scheduler, self.limits, sock, leaves=True))
            self.clients[client] = self.silent[client] = None
            self.scheduler.spawn(client.run)
            if not self.make_room(1):
                return

    def adopt(self, sock, data, asked):
        """A connection from the process before, with what it read of the next command."""
        if not self.admits():
            self.turn_away(sock)
            return
        client = Client(self, Stream(self.scheduler, self.limits, sock, leaves=True))
        client.stream.buffer += data
        client.asked = asked
        self.clients[client] = None
        self.make_room(0)
        self.scheduler.spawn(client.run)

    def admits(self):
        """Whether there is room for one more client, which an idle one may make."""
        if len(self.clients) >= self.limits.client_room:
            return self.shed()
        if len(self.once) > self.limits.once_room:
            self.shed_one(self.once)
        return True

    def turn_away(self, sock):
        """Shut a new connection, with a line a second at most."""
        sock.close()
        self.shut += 1
        now = self.scheduler.now()
        if now - self.told >= self.limits.look:
            self.log.event(
                "no_room", clients=len(self.clients), halves=len(self.halves), shut=self.shut
            )
            self.told, self.shut = now, 0

    def hand(self, heir):
        """Take no more clients, and pass on those that are here as each is owed nothing; None: take them again."""
        self.heir = heir
        if heir and self.attending:
            self.attending = False
            self.scheduler.unregister(self.listener.fileno())
        elif not heir and not self.ended:
            self.attend()
        for client in self.clients:
            self.scheduler.soon(client.nudge)

    def make_way(self, trouble):
        """No descriptor is left: free some and accept again soon, with a line a second at most. Tells if a client went."""
        now = self.scheduler.now()
        if now - self.starved >= self.limits.look:
            self.starved = now
            self.log.event("no_descriptor", clients=len(self.clients), error=str(trouble))
        freed = self.shed()
        self.make_room(self.limits.reserve)
        if self.attending:
            self.attending = False
            self.scheduler.unregister(self.listener.fileno())
            self.scheduler.after(self.limits.out_of_descriptors, self.attend)
        return freed

    def shed(self):
        """Close the connection that is to make room first; False where there is none."""
        now = self.scheduler.now()
        for client in self.clients:
            if client.stream.buffer and not client.offered:
                self.halves.setdefault(client, now)
        return self.shed_one(
            idle_eviction.spare(now, self.limits, self.silent, self.once, self.halves, self.clients)
        )

    def shed_one(self, clients):
        for client in clients:
            if client.idle() or self.stuck(client):
                client.stream.close()
                self.forget(client)
                return True
        return False

    def look(self):
        """Let go of clients that are owed nothing more and take nothing of their answers for too long."""
        self.scheduler.after(self.limits.look, self.look)
        now, before, self.unread = self.scheduler.now(), self.unread, {}
        for client in [
            client for client in self.clients if client.stream.unsent and not client.owed
        ]:
            taken, since = before.get(client, (None, now))
            self.unread[client] = client.stream.sent, since if taken == client.stream.sent else now
            if now - self.unread[client][1] >= self.limits.stall_timeout:
                client.stream.close()

    def stuck(self, client):
        """Whether it is owed nothing, and has been in the midst of a command for too long now that room is short."""
        since = self.halves.get(client, math.inf)
        return self.scheduler.now() - since >= self.limits.command_timeout_crowded and not (
            client.owed or client.offered
        )

    def heard(self, client):
        """A client has said something: the order of clients is that of their last commands."""
        if client in self.silent:
            self.once[client] = None
        else:
            self.once.pop(client, None)
        for clients in (self.silent, self.halves, self.clients):
            clients.pop(client, None)
        self.clients[client] = None

    def forget(self, client):
        for clients in (self.clients, self.silent, self.once, self.halves):
            clients.pop(client, None)

    def end(self, ended):
        """Let clients go as soon as each has all its answers, then tell `ended`."""
        self.ended, self.until = ended, self.scheduler.now() + self.limits.shutdown_timeout
        self.let_go()

    def drain(self):
        """Look after clients that are to go, for as long as a drain lasts."""
        if not self.draining:
            self.draining = True
            self.look_after()

    def look_after(self):
        self.draining = not self.service.passes_health_check
        if self.draining:
            for client in list(self.clients):
                client.let_go()
            if self.service.complete_drain(len(self.clients)):
                self.log.event(self.service.state)
            self.scheduler.after(self.limits.let_go, self.look_after)

    def let_go(self):
        for client in list(self.clients):
            client.let_go()
        if not self.clients and not self.heir:
            self.accept()  # whoever came in the meantime is served
        if self.clients and self.scheduler.now() < self.until:
            self.scheduler.after(self.limits.let_go, self.let_go)
            return
        if self.attending:
            self.attending = False
            self.scheduler.unregister(self.listener.fileno())
        self.listener.close()
        self.listener = None
        self.ended()


class Client:
    """One connection of a client."""

    def __init__(self, server, stream):
        self.server, self.stream = server, stream
        stream.deserted = self.desert
        self.owed = deque()  # replies in the order of their commands
        self.came = self.since = server.scheduler.now()  # since when nothing is owed to it
        self.closing, self.finished = (
            False,
            0.0,
        )  # the connection ends once all is written; and since when it has
        self.asked = False  # it has sent an RPC
        self.parked, self.stays = (
            None,
            0.0,
        )  # waits until nothing is owed; is not passed on before then
        self.offered, self.passed = (
            False,
            None,
        )  # to the process that follows; and whether it is its now
        self.half = None  # when a command that has begun must have come whole

    def run(self):
        """Read commands until the client goes away, or is idle or in the middle of a command for too long."""
        try:
            while True:
                while (
                    not self.closing and not self.passing() and self.read()
                ):  # others have their turn
                    self.server.scheduler.wait(0)
                self.here()
                self.let_go()
                if self.closing:
                    self.pass_over()
                    return
                if self.passing():
                    if self.pass_on():
                        return
                    continue
                try:
                    self.stream.fill(self.idle_timeout())
                    self.weigh()
                except TimeoutError:
                    if self.passing():
                        continue
                    if self.half:
                        raise resp.Malformed("command not whole in time") from None
                    if self.idle() and self.idle_timeout() <= self.server.limits.let_go:
                        self.closing = True
        except resp.Malformed as trouble:
            self.closing = True
            self.reply(error(str(trouble)))
            self.pass_over()
        except Closed:
            pass
        finally:
            self.stream.release() if self.passed else self.stream.close()
            self.server.forget(self)
            self.server.account.keep(self, 0)
            for reply in self.owed:
                self.server.account.keep(reply, 0)
                if reply.answer is None:
                    self.server.left(reply)
                elif reply.passage:
                    reply.passage.drop()
            self.owed.clear()

    def here(self):
        """Raise Closed where the client has left meanwhile."""
        if self.stream.broken:
            raise self.stream.broken

    def gone(self):
        """Whether the client has left, though no poll has told so yet."""
        if not self.stream.broken and self.stream.left():
            self.stream.sock_failed()
        return bool(self.stream.broken)

    def desert(self):
        """It has left while we wait for room, our turn or an heir: what it asked for is over now, not once we look."""
        for reply in self.owed:
            if reply.answer is None:
                self.server.left(reply)

    def weigh(self):
        """A long command takes its time as long as it comes on, and is read while there is room for it."""
        server = self.server
        if len(self.stream.buffer) <= server.limits.value:
            return
        self.half = None
        server.account.keep(self, len(self.stream.buffer))
        until = server.scheduler.now() + server.limits.stall_timeout
        while not server.account.room(self):
            if server.scheduler.now() > until:
                raise resp.Malformed("no room for a command of this length")
            server.scheduler.wait(server.limits.let_go)
            self.here()

    def passing(self):
        """Whether the process that follows is to have this connection; not in the midst of a long command."""
        server = self.server
        return (
            server.heir
            and len(self.stream.buffer) <= server.limits.passed
            and server.scheduler.now() >= self.stays
        )

    def pass_on(self):
        """Wait until nothing is owed, then pass the connection on; False when it stays here."""
        server = self.server
        self.stream.hold()
        while (
            (self.owed or self.stream.unsent)
            and not self.stream.broken
            and not self.closing
            and server.heir
        ):
            self.park(server.limits.let_go)
        self.here()
        if server.heir and not self.closing:
            self.stream.detach()
            self.offered, self.passed = True, None
            server.heir.offer_connection(
                self.stream.sock, self.stream.buffer, self.asked, self.judged
            )
            while self.passed is None:
                self.park()
            if self.passed:
                return True
            self.offered, self.stays = False, server.scheduler.now() + server.limits.take_back
            self.stream.attach()
        self.stream.hold(False)
        return False

    def judged(self, passed):
        self.passed = passed
        self.server.scheduler.soon(self.nudge)

    def park(self, seconds=None):
        self.parked = greenlet.getcurrent()
        self.server.scheduler.wait(seconds)
        self.parked = None

    def nudge(self):
        """Something has changed that this connection may wait for."""
        if self.parked:
            self.parked.switch()
        elif self.stream.reader:
            self.stream.reader.switch(False)

    def idle_timeout(self):
        """How long to wait for what comes next."""
        limits, now = self.server.limits, self.server.scheduler.now()
        if self.stream.buffer:
            self.half = self.half or now + limits.command_timeout
            return max(0.0, self.half - now)
        self.half = None
        once = self in self.server.silent or self in self.server.once
        most = limits.client_once if once else limits.client_idle_timeout
        return most if self.owed else max(limits.let_go, self.since + most - now)

    def pass_over(self):
        """Read what follows our end or a frame of no form, for a while, and answer none of it: a close over bytes that
        are not read would be a reset, which takes our answers with it."""
        until = math.inf
        try:
            self.server.account.keep(self, 0)
            while (now := self.server.scheduler.now()) < until:
                if not self.owed:  # what a slow client has not got yet has the time of a long value
                    most = (
                        self.server.limits.stall_timeout
                        if self.stream.unsent
                        else self.server.limits.linger
                    )
                    until = min(until, now + most)
                self.stream.buffer.clear()
                try:
                    self.stream.fill(self.server.limits.linger)
                except TimeoutError:
                    pass
        except Closed:
            pass

    def read(self):
        """Take commands that have come whole, a share of a turn; True when there may be more."""
        buffer, at, limits, taken = self.stream.buffer, 0, self.server.limits, 0
        self.here()
        waited = (
            self in self.server.silent or self.server.scheduler.stood_still()
        )  # to be accepted, or for us
        if buffer and waited and self.stream.left():
            raise Closed("left before it was read")
        try:
            while taken < limits.commands and (found := resp.command(buffer, at, limits)):
                spans, end = found
                self.half = None
                self.take(buffer, at, spans, end)
                at, taken = end, taken + 1
        finally:
            del buffer[:at]
            if self in self.server.account.bodies:
                self.server.account.keep(self, len(buffer) if len(buffer) > limits.value else 0)
        if taken:
            self.server.heard(self)
        return taken == limits.commands

    def take(self, buffer, start, spans, end):
        verb, service = bytes(buffer[slice(*spans[0])]).upper(), self.server.service
        if verb in SERVED and not service.accepts_command(
            self.server.scheduler.now(), self.came, bool(self.owed)
        ):
            self.reply(REFUSED)
        elif verb in SERVED:
            self.asked = True
            try:
                exchange = Exchange(verb == QUERY, buffer, start, spans, end, self.flush, self.gone)
            except BadField as trouble:
                self.reply(error(str(trouble)))
                return
            self.owed.append(exchange)
            if end - start > self.server.limits.frame:
                self.server.account.keep(exchange, end - start)
            try:
                self.server.place(exchange)
            except BadField as trouble:
                exchange.finish(error(str(trouble)))
        else:
            unwelcome = verb == PING and not service.passes_health_check
            self.reply(UNWELCOME if unwelcome else AT_ONCE.get(verb) or error("unknown command"))

    def reply(self, answer):
        self.owed.append(Reply(answer))
        self.flush()

    def flush(self):
        """Write the answers that are next in order."""
        pieces = []
        while self.owed and (reply := self.owed[0]).answer is not None:
            pieces += reply.answer
            if passage := reply.passage:
                reply.answer = ()  # its head is told
                pieces += passage.take(self.stream)
                if not passage.whole:
                    break
                self.stream.relief = None
            if self.server.account.bodies:
                self.server.account.keep(reply, 0)
            self.owed.popleft()
        if pieces:
            self.since = self.server.scheduler.now()
            self.stream.write(*pieces)
        if self.owed and self.owed[0].passage and self.owed[0].passage.broken:
            self.cut(
                self.owed[0].passage.moved
                + self.server.limits.stall_timeout
                - self.server.scheduler.now()
            )
        elif pieces:
            if not self.owed and self.parked:
                self.server.scheduler.soon(self.nudge)
            self.let_go()

    def cut(self, most=0.0):
        """The long value that is next never comes whole, which its client can tell by our end. What is in front of it has
        come whole and goes out before, for as long as a value may stand still."""
        stream = self.stream
        if not stream.unsent or most <= 0 and stream.relief != self.cut:
            stream.close()
        elif stream.relief != self.cut:
            stream.relief = self.cut
            self.server.scheduler.after(most, stream.close)

    def idle(self):
        """Whether it is owed nothing and has sent nothing that we have not read."""
        stream = self.stream
        return (
            not self.offered
            and not self.owed
            and not stream.buffer
            and not stream.unsent
            and stream.quiet()
        )

    def let_go(self):
        """End our side of a connection that is to end, when nothing is owed on it; its client is read for a while more."""
        now = self.server.scheduler.now()
        if self.closing and not self.owed and not self.stream.unsent:
            self.finished = self.finished or now
            self.stream.finish()
            if now - self.finished > self.server.limits.linger:
                self.stream.close()
        elif self.offered or self.server.heir and not self.closing:
            pass  # it goes to another process
        elif (
            self.server.service.closes_idle_connections(now)
            and self.goes(now)
            and self.idle()
            or not (
                self.closing
                or self.owed
                or self.stream.unsent
                or self.stream.buffer
                and not self.half
                or self.server.service.accepts_command(now, self.came)
            )
        ):
            self.closing = True  # it has all its answers, and our end tells that what it sends from now on is not taken
            self.let_go()

    def goes(self, now):
        """Whether it is to end when idle. One that pings alone, to learn when we are back, may go on while we drain."""
        limits = self.server.limits
        return (
            self.asked
            or self.server.service.state == LifecycleState.ENDING
            or now - self.since >= limits.drain_idle
        )
