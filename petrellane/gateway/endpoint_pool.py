"""The connections to one endpoint, and the attempts that wait for one of them."""

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
    """One endpoint's connections.

    Made by `EndpointPools` with the endpoint's first attempt, dropped when it holds nothing or the
    endpoint leaves the list; attempts in flight then still complete. Owns its connections, the
    queue, and the timer until an idle connection may be used again.
    """

    def __init__(self, pools: EndpointPools, endpoint: Endpoint, address: Address) -> None:
        self.pools = pools
        self.endpoint = endpoint
        self.address = address
        self.idle: deque[EndpointConnection] = deque()  # the last one used is the next one used
        self.busy: dict[EndpointConnection, None] = {}
        self.queue: deque[PendingAttempt] = deque()
        self.dials = 0
        self.last_answer_at = 0.0
        self.reuse_timer: Timer | None = None

    def assign(self, pending: PendingAttempt) -> None:
        """Write an attempt to an idle connection, let it wait for a new one, or pipeline it."""
        self.queue.append(pending)
        self.dispatch()

    def dispatch(self) -> None:
        """Serve the queue, the oldest attempt first.

        An attempt goes to an idle connection that may be used again, else waits for a dial of its
        own, else goes to any idle connection, else behind others. One that is not to be sent any
        more is handed back, whichever way its turn comes.
        """
        while self._has_waiting():
            connection = self._take_idle(self.pools.limits.reuse_delay)
            if connection:
                self._write(connection)
            elif not self._dial_or_write():
                break
        self._set_reuse_timer()

    def _set_reuse_timer(self) -> None:
        """Dispatch again once idle connections may be used, as they may be ready before a dial."""
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
        """Dial for the first attempt, or write it without delay; return False if it must wait."""
        if len(self.queue) <= self.dials:
            return False
        return self._dial() or self._write_without_delay()

    def _write_without_delay(self) -> bool:
        """Write to any idle connection, or behind the fewest attempts; False if none takes it."""
        connection = self._take_idle(0.0)
        if connection:
            self._write(connection)
            return True
        shared = [connection for connection in self.busy if connection.can_pipeline()]
        if not shared:
            return False
        min(shared, key=_in_flight).write(self.queue.popleft())
        return True

    def _has_waiting(self) -> bool:
        """Return whether an attempt waits that is still to be sent; hand back stale ones first."""
        pools = self.pools
        while self.queue and pools.is_stale(self.queue[0]):
            pools.scheduler.call_soon(pools.report, self.queue.popleft(), NEVER_SENT)
        return bool(self.queue)

    def _take_idle(self, reuse_delay: float) -> EndpointConnection | None:
        """Take the idle connection that was used last, of those that are still good.

        Args:
            reuse_delay: Seconds since its last answer, at least. An endpoint may answer twice, some
                milliseconds apart: on a connection used again at once the second answer would pass
                for that to the next attempt.
        """
        before = self.pools.scheduler.now() - reuse_delay
        reusable = [connection for connection in self.idle if connection.last_answer_at <= before]
        for connection in reversed(reusable):
            self.idle.remove(connection)
            if connection.is_clean():
                return connection
            connection.end()
        return None

    def _dial(self) -> bool:
        """Begin a new connection; return False where there is no room for one."""
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
        """Give a connection that has come up or been answered on the next attempt, or idle it."""
        if connection.stream.broken:
            return
        if not connection.in_flight and not connection.is_clean():
            connection.end()
            return
        if (
            connection.is_retiring
            or self.endpoint.state != READY
            or connection.address != self.address
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
        """Fail the attempt that has waited longest, unless a connection is to come for it."""
        self.dials -= 1
        if len(self.queue) > self.dials:
            self.pools.report(self.queue.popleft(), UNREACHABLE)

    def remove(self, connection: EndpointConnection) -> None:
        """Forget a connection that has ended."""
        self.pools.open_connections -= 1
        self.busy.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.queue:  # an attempt may wait that no dial will serve
            self.pools.scheduler.call_soon(self.dispatch)

    def withdraw(self) -> None:
        """End idle connections and hand back the queue, as the endpoint wants nothing new."""
        self.retire(math.inf)
        while self.endpoint.state != READY and self.queue:
            self.pools.scheduler.call_soon(self.pools.report, self.queue.popleft(), NEVER_SENT)

    def is_unused(self) -> bool:
        """Return whether it holds nothing: a new one would be the same."""
        return not (self.queue or self.dials or self.busy or self.idle or self.reuse_timer)

    def retire(self, before: float) -> None:
        """End idle connections that were last used before a time."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].end()


def _in_flight(connection: EndpointConnection) -> int:
    return len(connection.in_flight)
