"""Where staff call: HTTP/1.1, one call a connection, answered however busy the gateway is.

What a call means is in `calls`, what it does in `states`; here are sockets alone. Callers that never finish are bounded
in number (the oldest half-way one makes room) and in time.
"""

import select

from petrellane.net.stream import Closed, Stream, accepted, listening
from petrellane.operation import calls


class Management:
    """Listens for callers; `changed` is told after each call that was carried out, `make_way` of a caller for whom no
    descriptor was left."""

    def __init__(self, scheduler, limits, service, changed, make_way):
        self.scheduler, self.limits, self.service = scheduler, limits, service
        self.changed, self.make_way = changed, make_way
        self.callers, self.listener = {}, None

    def listen(self, address):
        """Listen at an address; raises OSError where that can't be."""
        self.listener = listening(address, self.limits.backlog)
        self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept, urgent=True)

    def end(self):
        """Listen no longer."""
        if self.listener:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def accept(self, events=0):
        for sock in accepted(self.listener, self.limits.accepts, self.make_way):
            if len(self.callers) >= self.limits.callers:
                next(iter(self.callers)).close()
            stream = Stream(self.scheduler, self.limits, sock, urgent=True)
            self.callers[stream] = None
            self.scheduler.spawn(self.serve, stream)

    def serve(self, stream):
        """One call: its head, its answer, then the end; what follows a head is passed over."""
        until = self.scheduler.now() + self.limits.call
        try:
            status = self.heard(stream, until)
            stream.write(calls.answer(status, self.service.told))
            self.callers.pop(stream, None)    # it is no longer half way
            stream.finish()
            until = self.scheduler.now() + self.limits.linger
            while (left := until - self.scheduler.now()) > 0:
                stream.buffer.clear()
                stream.fill(left)
        except (Closed, TimeoutError):
            pass
        finally:
            self.callers.pop(stream, None)
            stream.close()

    def heard(self, stream, until):
        """Read a call's head and carry the call out; the status that answers it."""
        while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
            if len(stream.buffer) > self.limits.head:
                return 431
            try:
                stream.fill(max(0.0, until - self.scheduler.now()))
            except TimeoutError:
                return 408
        path, status = calls.understood(bytes(stream.buffer[:end]))
        if path:
            before = self.service.state
            status = calls.obeyed(self.service, path, self.scheduler.now())
            if self.service.state != before:
                self.changed()
        return status
