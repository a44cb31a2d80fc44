"""The management server: HTTP/1.1 with one request per connection, even when the gateway is busy.

The server owns the sockets. `management_requests` parses the requests, and `lifecycle` contains
their effects. The server limits the number and the duration of connections. At the limit of the
number, it closes the oldest connection with an answered request or, if there is none, the oldest
connection. Other modules register handlers for paths whose requests have a body.
"""

import select
import socket
from collections.abc import Callable, Mapping

from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Closed, Stream, accept_waiting, open_listener
from petrellane.operation import management_requests
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_requests import HttpResponse, RequestError

Headers = Mapping[bytes, bytes]
Handler = Callable[[Headers, bytes], HttpResponse]
"""Returns the response to a request, given its header fields and its body."""

_HEAD_END = b"\r\n\r\n"


class ManagementServer:
    """Serves management requests; the process owns one instance for its whole lifetime.

    Attributes:
        limits: The size limits and timeouts; a change of the configuration replaces them.
        handlers: The handlers of POST requests, by path.
        unanswered: The connections whose request has no response yet, oldest first.
        answered: The open connections whose request has a response, oldest first.
        listener: The listening socket; None while the server does not listen.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        lifecycle: Lifecycle,
        on_state_changed: Callable[[], None],
        free_descriptor: Callable[[OSError], bool | None],
    ) -> None:
        """Initialize the server without a listener.

        Args:
            scheduler: The scheduler that runs a greenlet for each request.
            limits: The size limits and timeouts.
            lifecycle: The lifecycle that requests report and change.
            on_state_changed: The callback for each request that has changed the state.
            free_descriptor: The function that the server calls when no file descriptor is left
                for a connection; it returns whether it has freed one.
        """
        self.limits = limits
        self.handlers: dict[bytes, Handler] = {}
        self.unanswered: dict[Stream, None] = {}
        self.answered: dict[Stream, None] = {}
        self.listener: socket.socket | None = None
        self._scheduler = scheduler
        self._lifecycle = lifecycle
        self._on_state_changed = on_state_changed
        self._free_descriptor = free_descriptor
        self._is_accepting = False

    def listen(self, address: tuple[str, int]) -> None:
        """Listen at an address.

        Raises:
            OSError: The address cannot be bound.
        """
        self.listener = open_listener(address, self.limits.backlog)
        self.resume_accepting()

    def resume_accepting(self) -> None:
        """Accept connections if the server listens."""
        if self.listener and not self._is_accepting:
            self._is_accepting = True
            self._scheduler.register(
                self.listener.fileno(), select.POLLIN, self._accept, urgent=True
            )

    def pause_accepting(self) -> None:
        """Leave new connections in the listener's backlog."""
        if self.listener and self._is_accepting:
            self._is_accepting = False
            self._scheduler.unregister(self.listener.fileno())

    def close(self) -> None:
        """Stop listening."""
        if self.listener:
            self.pause_accepting()
            self.listener.close()
            self.listener = None

    def _on_descriptor_shortage(self, error: OSError) -> None:
        """Pause accepting for `accept_retry_delay` if no descriptor can be freed.

        Otherwise every poll would report the listener as ready.
        """
        if not self._free_descriptor(error):
            self.pause_accepting()
            self._scheduler.call_later(self.limits.accept_retry_delay, self.resume_accepting)

    def _accept(self, _events: int = 0) -> None:
        if not self.listener:
            return
        for sock in accept_waiting(
            self.listener, self.limits.accepts_per_turn, self._on_descriptor_shortage
        ):
            self._evict_oldest()
            stream = Stream(self._scheduler, self.limits, sock, urgent=True)
            self.unanswered[stream] = None
            self._scheduler.spawn(self._serve, stream)

    def _evict_oldest(self) -> None:
        """Close the oldest connection if the limit is reached, preferably one with a response."""
        for streams in (self.answered, self.unanswered):
            if streams and len(self.unanswered) + len(self.answered) >= self.limits.max_requests:
                oldest = next(iter(streams))
                del streams[oldest]
                oldest.close()

    def _serve(self, stream: Stream) -> None:
        """Answer one request and close the connection; further input is read and discarded."""
        deadline = self._scheduler.now() + self.limits.request_timeout
        try:
            stream.write(self._answer(stream, deadline))
            self.unanswered.pop(stream, None)
            self.answered[stream] = None
            stream.write_eof()
            linger = self.limits.request_timeout if stream.unsent else self.limits.linger_timeout
            deadline = self._scheduler.now() + linger
            while (remaining := deadline - self._scheduler.now()) > 0:
                stream.buffer.clear()
                stream.fill(remaining)
        except (Closed, TimeoutError):
            pass
        finally:
            for streams in (self.unanswered, self.answered):
                streams.pop(stream, None)
            stream.close()

    def _answer(self, stream: Stream, deadline: float) -> bytes:
        """Read a request, execute it and return the bytes of the response."""
        try:
            head = self._read_head(stream, deadline)
            methods = management_requests.METHODS | dict.fromkeys(self.handlers, b"POST")
            path = management_requests.parse_path(head, methods)
            if path in self.handlers:
                return self._answer_by_handler(stream, path, head, deadline)
        except RequestError as error:
            status = error.status
        except TimeoutError:
            status = 408
        else:
            status = self._execute(path)
        return management_requests.encode_state(status, self._lifecycle.reported_state)

    def _read_head(self, stream: Stream, deadline: float) -> bytes:
        """Read up to the empty line and return the bytes before it; both stay in the buffer."""
        while (end := stream.buffer.find(_HEAD_END)) < 0:
            if len(stream.buffer) > self.limits.max_head_size:
                raise RequestError(431)
            stream.fill(max(0.0, deadline - self._scheduler.now()))
        return bytes(stream.buffer[:end])

    def _answer_by_handler(
        self, stream: Stream, path: bytes, head: bytes, deadline: float
    ) -> bytes:
        headers = management_requests.parse_headers(head)
        length = management_requests.parse_body_length(headers, self.limits.max_body_size)
        start = len(head) + len(_HEAD_END)
        while len(stream.buffer) < start + length:
            stream.fill(max(0.0, deadline - self._scheduler.now()))
        body = bytes(stream.buffer[start : start + length])
        return management_requests.encode_response(self.handlers[path](headers, body))

    def _execute(self, path: bytes) -> int:
        state_before = self._lifecycle.state
        status = management_requests.execute(self._lifecycle, path, self._scheduler.now())
        if self._lifecycle.state != state_before:
            self._on_state_changed()
        return status
