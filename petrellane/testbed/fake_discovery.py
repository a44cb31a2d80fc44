"""A fake of discovery: the endpoint list, and watches that are answered when it changes.

Each gateway has a separate listener, so that a fault can be injected for one gateway alone. A
change counts as received only when the gateway polls from the change's index or a later one,
because the response that carried it may be lost.
"""

import enum
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import orjson

from petrellane import invariants
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Stream, accept_waiting, open_listener
from petrellane.testbed.addresses import ANY_PORT
from petrellane.testbed.endpoint_rows import IN_SERVICE, EndpointRow, build_endpoint_row
from petrellane.testbed.fake_server import BACKLOG, FakeServer, ignore_exhaustion
from petrellane.testbed.records import Records

MAXIMUM_CHANGES = 1000  # changes kept for gateways that have not acknowledged them by a poll
MAXIMUM_HOLD_S = 60.0  # the longest time for which a watch is held
WATCH_CHECK_S = 0.02  # the interval at which a held watch is checked
QUEUE_FILL_CONNECTIONS = 2  # connections that fill an accept queue of length 0
END_OF_HEAD = b"\r\n\r\n"
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HALF_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"index":'


class DiscoveryFault(enum.Enum):
    """Faults of discovery as one gateway sees it."""

    NONE = ""
    REFUSED = "refused"  # connections are refused: nothing listens
    REJECTED = "turned away"  # requests are answered with status 503
    SILENT = "silent"  # requests are read but never answered
    UNACCEPTED = "unaccepted"  # connections are established but never accepted
    FULL = "full"  # the accept queue is full: no connection is established
    CUT = "cut"  # the connection closes after half a response


class Watch(NamedTuple):
    """A gateway's pending request for changes that are newer than an index of the list."""

    list_index: int
    gateway: str


class Change(NamedTuple):
    """A change of a host's status; `since` is the Unix time of its start, 0 if long past."""

    list_index: int
    host: str
    status: str
    since: float


def read_request(stream: Stream) -> dict[str, str]:
    """Read an HTTP request; return the parameters of its query string."""
    while (end := stream.buffer.find(END_OF_HEAD)) < 0:
        stream.fill()
    target = bytes(stream.buffer[:end]).split(b" ")[1].decode()
    stream.buffer.consume(end + len(END_OF_HEAD))
    query = target.partition("?")[2]
    return dict(part.split("=", 1) for part in query.split("&") if "=" in part)


class DiscoveryListener(FakeServer):
    """The listener at which one gateway reaches discovery; owned by `FakeDiscovery`."""

    def __init__(self, discovery: "FakeDiscovery", gateway: str, address: Address) -> None:
        """Listen at an address."""
        super().__init__(discovery.scheduler, address)
        self.gateway = gateway
        self.fault = DiscoveryFault.NONE
        self._discovery = discovery
        self._held_sockets: list[socket.socket] = []

    def serve(self, stream: Stream) -> None:
        """Answer polls and watches from the endpoint list."""
        self._discovery.serve(stream, self)

    def inject(self, fault: DiscoveryFault) -> None:
        """Apply a fault until `heal`; watches held at this point are never answered."""
        self.fault = fault
        watches = self._discovery.watches
        for stream in [stream for stream in self.streams if stream in watches]:
            del watches[stream]
            if fault in (DiscoveryFault.REJECTED, DiscoveryFault.CUT):
                stream.close()
        if fault in (DiscoveryFault.REFUSED, DiscoveryFault.FULL):
            self.crash()
        if fault is DiscoveryFault.UNACCEPTED and self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
        if fault is DiscoveryFault.FULL:
            self._fill_queue()

    def heal(self) -> None:
        """End the fault; requests made during the fault stay unanswered."""
        for sock in self._held_sockets:
            sock.close()
        if self._is_unwatched() and self.listener is not None:
            # Connections made during the fault stay open and unanswered, as before.
            self._held_sockets += accept_waiting(self.listener, BACKLOG, ignore_exhaustion)
            if self.fault is DiscoveryFault.FULL:
                self.listener.listen(BACKLOG)
            self._watch_listener(self.listener)
        self.fault = DiscoveryFault.NONE
        self.listen_again()

    def close(self) -> None:
        """Close the listener and all connections permanently."""
        for sock in self._held_sockets:
            sock.close()
        if self._is_unwatched() and self.listener is not None:
            self.listener.close()
            self.listener = None
        super().close()

    def on_disconnected(self, stream: Stream) -> None:
        """Drop the watch of a closed connection."""
        self._discovery.forget_connection(stream)

    def _is_unwatched(self) -> bool:
        """Return whether the fault has unregistered the listener from the scheduler."""
        return self.fault in (DiscoveryFault.UNACCEPTED, DiscoveryFault.FULL)

    def _fill_queue(self) -> None:
        """Listen with a full accept queue, so that no further connection is established."""
        self.listener = open_listener(self.address, 0)
        for _ in range(QUEUE_FILL_CONNECTIONS):
            sock = socket.socket()
            self._held_sockets.append(sock)
            sock.setblocking(False)
            sock.connect_ex(self.address)


def _same_row(_: str, row: EndpointRow) -> EndpointRow:
    """Return the row unchanged, so that all gateways see the same host."""
    return row


class FakeDiscovery:
    """The fake discovery service of a run, owned by its fleet.

    Attributes:
        index: The version of the endpoint list.
        rows: The endpoint list, by host name.
        watches: The held watches, by connection.
        listeners: The listeners, by gateway.
        notification_delay_s: The delay from a change to its notification, in seconds.
        unresponsive: Whether discovery leaves polls and watches unanswered.
        rate: The requests served in any one second; further requests are rejected.
        calls: The number of requests received so far.
        refused: The number of requests rejected so far.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        records: Records | None,
        row_seen_by: Callable[[str, EndpointRow], EndpointRow] = _same_row,
    ) -> None:
        """Initialize discovery with an empty endpoint list.

        Args:
            scheduler: The scheduler of the run.
            records: The records that notifications are added to; None to record none.
            row_seen_by: Returns a row as the given gateway should see it.
        """
        self.scheduler = scheduler
        self.index = 1
        self.rows: dict[str, EndpointRow] = {}
        self.watches: dict[Stream, Watch] = {}
        self.listeners: dict[str, DiscoveryListener] = {}
        self.notification_delay_s = 0.0
        self.unresponsive = False
        self.rate = float("inf")
        self.calls = 0
        self.refused = 0
        self._records = records
        self._row_seen_by = row_seen_by
        self._changed_at: dict[str, int] = {}  # index of the last change, by host
        self._changes: deque[Change] = deque(maxlen=MAXIMUM_CHANGES)
        self._notified: dict[str, int] = {}  # highest acknowledged index, by gateway
        self._served_at: deque[float] = deque()  # times of the requests of the last second

    def listener_for(self, gateway: str, address: Address = ANY_PORT) -> DiscoveryListener:
        """Return the listener of a gateway; create it at the address if it does not exist."""
        if gateway not in self.listeners:
            self.listeners[gateway] = DiscoveryListener(self, gateway, address)
        return self.listeners[gateway]

    def put(self, name: str, address: str, state: str = IN_SERVICE, since: float = 0.0) -> None:
        """Add a host to the list, or replace its row.

        Args:
            name: The host's name.
            address: The host's address, as host:port.
            state: The host's status, as spelled on the wire.
            since: The Unix time of the host's start, in seconds; 0 if it is long past.
        """
        self.index += 1
        self.rows[name] = build_endpoint_row(name, address, state, since)
        self._changed_at[name] = self.index
        self._changes.append(Change(self.index, name, state, since))
        self.scheduler.call_later(self.notification_delay_s, self.notify)

    def serve(self, stream: Stream, listener: DiscoveryListener) -> None:
        """Answer the requests of one connection until it ends."""
        while True:
            query = read_request(stream)
            self.calls += 1
            if listener.fault is DiscoveryFault.SILENT:
                continue
            if listener.fault is DiscoveryFault.CUT:
                stream.write(HALF_RESPONSE)
                return
            if listener.fault is DiscoveryFault.REJECTED or self.is_overloaded():
                self.refused += 1
                stream.write(BUSY_RESPONSE)
                return
            if "from" not in query:
                self._answer(stream, listener.gateway, True, self.rows.values())
                continue
            hold_s = min(MAXIMUM_HOLD_S, int(query.get("hold_ms", 0)) / 1e3)
            self._hold_watch(stream, Watch(int(query["from"]), listener.gateway), hold_s)

    def is_overloaded(self) -> bool:
        """Return whether the last second has reached the rate limit; if not, count a request."""
        now = self.scheduler.monotonic()
        while self._served_at and self._served_at[0] <= now - 1.0:
            self._served_at.popleft()
        if len(self._served_at) >= self.rate:
            return True
        if self.rate < float("inf"):
            self._served_at.append(now)
        return False

    def notify(self) -> None:
        """Answer every held watch for which the list has newer changes."""
        if self.unresponsive:
            return
        for stream, (index, gateway) in list(self.watches.items()):
            rows = [row for name, row in self.rows.items() if self._changed_at[name] > index]
            if rows:
                del self.watches[stream]
                self._answer(stream, gateway, False, rows)

    def forget(self, gateway: str) -> None:
        """Drop a gateway's acknowledged index: its next process starts without a list."""
        self._notified.pop(gateway, None)

    def forget_connection(self, stream: Stream) -> None:
        """Drop the watch of a closed connection."""
        self.watches.pop(stream, None)

    def rows_seen_by(self, gateway: str) -> list[EndpointRow]:
        """Return the endpoint list as a gateway sees it."""
        return [self._row_seen_by(gateway, row) for row in self.rows.values()]

    def close(self) -> None:
        """Close all listeners."""
        for listener in self.listeners.values():
            listener.close()

    def _hold_watch(self, stream: Stream, watch: Watch, hold_s: float) -> None:
        """Hold a watch until the list changes, or answer it without changes after `hold_s`."""
        self._on_polled_from(watch.gateway, watch.list_index)
        self.watches[stream] = watch
        until = self.scheduler.monotonic() + hold_s
        self.notify()
        while stream in self.watches and self.scheduler.monotonic() < until:
            self.scheduler.wait(WATCH_CHECK_S)
        if self.watches.pop(stream, None) is not None:
            self._answer(stream, watch.gateway, False, ())

    def _on_polled_from(self, gateway: str, index: int) -> None:
        """Record the changes up to the index that a gateway polls from, which acknowledges them."""
        before = self._notified.get(gateway, 0)
        self._notified[gateway] = max(index, before)
        if self._records is None:
            return
        for change in self._changes:
            if before < change.list_index <= index:
                state = invariants.READY if change.status == IN_SERVICE else change.status
                since = change.since and change.since - self._records.began
                self._records.add(
                    invariants.EndpointNotified(
                        self._records.now(), gateway, change.host, state, since
                    )
                )

    def _answer(
        self, stream: Stream, gateway: str, is_snapshot: bool, rows: Iterable[EndpointRow]
    ) -> None:
        if self.unresponsive:
            return
        seen = [self._row_seen_by(gateway, row) for row in rows]
        body = orjson.dumps({"index": self.index, "snapshot": is_snapshot, "endpoints": seen})
        stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % len(body),
            body,
        )
