"""Where staff call: HTTP/1.1, one call a connection, answered however busy the gateway is.

What a call means is in `calls`, what it does in `states`; here are sockets alone. Callers that never finish are bounded
in number (the oldest half-way one makes room) and in time. Other parts may have a desk here: a path whose calls have a
body, and are answered by a call of theirs.
"""

import select

from petrellane.net.stream import Closed, Stream, accepted, listening
from petrellane.operation import management_calls


class Management:
    """Listens for callers; `changed` is told after each call that was carried out, `make_way` of a caller for whom no
    descriptor was left, and tells whether it has freed one."""

    def __init__(self, scheduler, limits, service, changed, make_way):
        self.scheduler, self.limits, self.service = scheduler, limits, service
        self.changed, self.make_way = changed, make_way
        self.callers, self.answered, self.listener = {}, {}, None
        self.attending = False
        self.handlers = {}  # path -> what answers (fields, body) with a status, a body and fields

    def listen(self, address):
        """Listen at an address; raises OSError where that can't be."""
        self.listener = listening(address, self.limits.backlog)
        self.attend()

    def attend(self):
        if self.listener and not self.attending:
            self.attending = True
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self.accept, urgent=True)

    def rest(self):
        if self.attending:
            self.attending = False
            self.scheduler.unregister(self.listener.fileno())

    def short(self, trouble):
        """No descriptor is left. Where none can be freed, accept again soon: the listener would be ready at every poll."""
        if not self.make_way(trouble):
            self.rest()
            self.scheduler.after(self.limits.out_of_descriptors, self.attend)

    def end(self):
        """Listen no longer."""
        if self.listener:
            self.rest()
            self.listener.close()
            self.listener = None

    def accept(self, events=0):
        for sock in accepted(self.listener, self.limits.accepts, self.short):
            for streams in (
                self.answered,
                self.callers,
            ):  # whoever has its answer makes room before one that is half way
                if streams and len(self.callers) + len(self.answered) >= self.limits.callers:
                    first = next(iter(streams))
                    del streams[first]
                    first.close()
            stream = Stream(self.scheduler, self.limits, sock, urgent=True)
            self.callers[stream] = None
            self.scheduler.spawn(self.serve, stream)

    def serve(self, stream):
        """One call: its head, its answer, then the end; what follows a head is passed over."""
        until = self.scheduler.now() + self.limits.call
        try:
            stream.write(self.heard(stream, until))
            self.callers.pop(stream, None)  # it is no longer half way
            self.answered[stream] = None
            stream.finish()
            until = self.scheduler.now() + (
                self.limits.call if stream.unsent else self.limits.linger
            )
            while (left := until - self.scheduler.now()) > 0:
                stream.buffer.clear()
                stream.fill(left)
        except (Closed, TimeoutError):
            pass
        finally:
            for streams in (self.callers, self.answered):
                streams.pop(stream, None)
            stream.close()

    def heard(self, stream, until):
        """Read a call and carry it out; the bytes that answer it."""
        try:
            while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
                if len(stream.buffer) > self.limits.head:
                    return management_calls.answer(431, self.service.told)
                stream.fill(max(0.0, until - self.scheduler.now()))
            head = bytes(stream.buffer[:end])
            path, status = management_calls.understood(
                head, management_calls.PATHS | dict.fromkeys(self.handlers, b"POST")
            )
            if path in self.handlers:
                return self.at_desk(stream, path, management_calls.fields_of(head), end + 4, until)
        except TimeoutError:
            return management_calls.answer(408, self.service.told)
        if path:
            before = self.service.state
            status = management_calls.obeyed(self.service, path, self.scheduler.now())
            if self.service.state != before:
                self.changed()
        return management_calls.answer(status, self.service.told)

    def at_desk(self, stream, path, fields, start, until):
        """Read a body that begins there, and have it answered."""
        length, status = management_calls.length_of(fields, self.limits.body)
        if status:
            return management_calls.answer(status, self.service.told)
        while len(stream.buffer) < start + length:
            stream.fill(max(0.0, until - self.scheduler.now()))
        return management_calls.whole(
            *self.handlers[path](fields, bytes(stream.buffer[start : start + length]))
        )
