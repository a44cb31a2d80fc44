"""The connections to one endpoint, and the attempts that wait for a connection."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from petrellane.decisions.types import NEVER_SENT, READY, UNREACHABLE
from petrellane.gateway.endpoint_connection import EndpointConnection

if TYPE_CHECKING:
    from petrellane.decisions.types import Endpoint
    from petrellane.gateway.endpoint_connection import PendingAttempt
    from petrellane.gateway.endpoint_pools import EndpointPools
    from petrellane.gateway.runtime import Address
    from petrellane.net.scheduler import Timer


class EndpointPool:
    """The connections to one endpoint.

    `EndpointPools` creates it with the first attempt to the endpoint. It drops the pool when the
    pool holds nothing, or when the endpoint leaves the list; attempts in flight then still
    complete. The pool owns its connections, the queue of attempts, and the timer that dispatches
    the queue again after the reuse delay of idle connections.
    """

    def __init__(self, pools: EndpointPools, endpoint: Endpoint, address: Address) -> None:
        self.pools = pools
        self.endpoint = endpoint
        self.address = address
        self.started_at = endpoint.started_at
        self.idle: deque[EndpointConnection] = deque()  # most recently used last
        self.busy: dict[EndpointConnection, None] = {}
        self.queue: deque[PendingAttempt] = deque()
        self.dials = 0
        self.last_reply_at = 0.0
        self.reuse_timer: Timer | None = None

    def assign(self, pending: PendingAttempt) -> None:
        """Queue an attempt and dispatch the queue."""
        self.queue.append(pending)
        self.dispatch()

    def dispatch(self) -> None:
        """Send the queued attempts, the oldest first.

        An attempt goes to an idle connection whose reuse delay has passed. Otherwise it waits for a
        new connection. If none may be opened, it goes to any idle connection, or is pipelined
        behind other attempts. Stale attempts are reported as never sent.
        """
        while self._has_sendable_attempt():
            connection = self._take_idle(self.pools.limits.reuse_delay)
            if connection:
                self._write(connection)
            elif not self._dial_or_write():
                break
        self._set_reuse_timer()

    def _set_reuse_timer(self) -> None:
        """Schedule a dispatch, as an idle connection may become reusable before a dial succeeds."""
        if self.queue and self.idle and not self.reuse_timer:
            self.reuse_timer = self.pools.scheduler.call_later(
                self.pools.limits.reuse_delay, self._on_reuse_timer
            )

    def _on_reuse_timer(self) -> None:
        self.reuse_timer = None
        self.dispatch()

    def _write(self, connection: EndpointConnection) -> None:
        self.busy[connection] = None
        connection.write(self.queue.popleft())

    def _dial_or_write(self) -> bool:
        """Dial for the oldest attempt or write it without delay; return False if it must wait."""
        if len(self.queue) <= self.dials:
            return False
        return self._dial() or self._write_ignoring_reuse_delay()

    def _write_ignoring_reuse_delay(self) -> bool:
        """Write the oldest attempt without regard to the reuse delay.

        The pool uses any idle connection. If there is none, it pipelines the attempt on the
        connection with the fewest attempts in flight.

        Returns:
            Whether a connection took the attempt.
        """
        connection = self._take_idle(0.0)
        if connection:
            self._write(connection)
            return True
        if self.queue[0].attempt.send_by < math.inf:
            # Stopping it at `send_by` may reset its connection, and other responses with it.
            return False
        pipelinable = [connection for connection in self.busy if connection.can_pipeline()]
        if not pipelinable:
            return False
        min(pipelinable, key=_in_flight_count).write(self.queue.popleft())
        return True

    def _has_sendable_attempt(self) -> bool:
        """Return whether an attempt is queued; first report stale ones as never sent."""
        pools = self.pools
        while self.queue and pools.is_stale(self.queue[0]):
            pools.scheduler.call_soon(pools.report, self.queue.popleft(), NEVER_SENT)
        return bool(self.queue)

    def _take_idle(self, reuse_delay: float) -> EndpointConnection | None:
        """Take the most recently used idle connection that is reusable; None if there is none.

        Args:
            reuse_delay: The minimum time since the last reply, in seconds. An endpoint may reply
                twice to one attempt, some milliseconds apart. On a connection that is reused
                immediately, the gateway would take the second reply for the reply to the next
                attempt.
        """
        before = self.pools.scheduler.now() - reuse_delay
        reusable = [connection for connection in self.idle if connection.last_reply_at <= before]
        for connection in reversed(reusable):
            self.idle.remove(connection)
            if connection.is_reusable():
                return connection
            connection.end()
        return None

    def _dial(self) -> bool:
        """Start to open a connection; return False if a limit does not allow one more."""
        pools = self.pools
        connections = self.dials + len(self.busy) + len(self.idle)
        if connections >= pools.limits.connections_per_endpoint:
            return False
        if not pools.make_room(1):
            return False
        self.dials += 1
        pools.open_connections += 1
        pools.counts["dials"] += 1
        pools.scheduler.spawn(EndpointConnection(self).run)
        return True

    def on_connection_free(self, connection: EndpointConnection) -> None:
        """Handle a connection that is established or has carried a reply.

        The connection takes queued attempts or becomes idle. It ends if it holds unexpected bytes,
        or if it takes no further attempts and all those in flight are abandoned.
        """
        if connection.stream.broken:
            return
        if not connection.in_flight and not connection.is_reusable():
            connection.end()
            return
        if (
            connection.is_draining
            or self.endpoint.state != READY
            or connection.address != self.address
            or connection.started_at != self.started_at
        ):
            if connection.is_abandoned():
                connection.end()
            return
        if not connection.in_flight:
            self.busy.pop(connection, None)
            connection.idle_since = self.pools.scheduler.now()
            self.idle.append(connection)
        if self.queue:
            self.dispatch()

    def on_dial_failed(self) -> None:
        """Fail the oldest queued attempt, unless the remaining dials suffice for the queue."""
        self.dials -= 1
        if len(self.queue) > self.dials:
            self.pools.report(self.queue.popleft(), UNREACHABLE)

    def remove(self, connection: EndpointConnection) -> None:
        """Remove a connection that has ended."""
        self.pools.open_connections -= 1
        self.busy.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.queue:  # an attempt may be queued for which no dial is in progress
            self.pools.scheduler.call_soon(self.dispatch)

    def drain(self) -> None:
        """Close idle connections, and clear the queue if the endpoint is not ready.

        The queued attempts are then reported as never sent.
        """
        self.close_idle(math.inf)
        while self.endpoint.state != READY and self.queue:
            self.pools.scheduler.call_soon(self.pools.report, self.queue.popleft(), NEVER_SENT)

    def is_unused(self) -> bool:
        """Return whether the pool holds nothing, so that it can be dropped and created again."""
        return not (self.queue or self.dials or self.busy or self.idle or self.reuse_timer)

    def close_idle(self, before: float) -> None:
        """Close the idle connections that became idle before a given time.

        Args:
            before: The time, in Unix seconds.
        """
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].end()


def _in_flight_count(connection: EndpointConnection) -> int:
    return len(connection.in_flight)
