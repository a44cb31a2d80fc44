"""The endpoint side: the pools of all endpoints, and the attempts that are pending on them.

It sends an attempt when it is given one and reports its outcome once, exactly as the sockets prove
it. Which endpoint an attempt goes to, and for how long, is decided elsewhere.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Protocol

from petrellane.decisions.types import CANCELLED, LATE, NEVER_SENT, READY, UNREACHABLE
from petrellane.gateway.endpoint_connection import PendingAttempt
from petrellane.gateway.endpoint_pool import EndpointPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.decisions.actions import SendAttempt
    from petrellane.decisions.types import Endpoint, Outcome
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.response_relay import BufferBudget, ResponseRelay
    from petrellane.gateway.runtime import Address, Runtime


class AttemptEvents(Protocol):
    """What is called for the attempts that are pending."""

    def on_response_started(
        self, pending: PendingAttempt, relay: ResponseRelay, length: int
    ) -> bool:
        """Begin a long response; return False where nobody waits for it."""

    def on_attempt_ended(
        self, pending: PendingAttempt, outcome: Outcome, value: bytes, report: bytes
    ) -> None:
        """Take an attempt's outcome, once."""


class EndpointPools:
    """The pools of endpoints by endpoint, and all pending attempts.

    Made by `GatewayProcess` for the life of the process. An endpoint has a pool while that holds
    anything, so that there are no more pools than connections and attempts, however many endpoints
    are listed. Owns the pools, the attempts' timers, and a timer that retires what is idle.
    """

    def __init__(
        self,
        runtime: Runtime,
        buffer_budget: BufferBudget,
        client_count: Callable[[], int],
        events: AttemptEvents,
    ) -> None:
        """Begin with no pool.

        Args:
            runtime: Scheduler, limits and log.
            buffer_budget: The memory for long responses.
            client_count: Returns how many descriptors clients have.
            events: Called for the attempts.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.buffer_budget = buffer_budget
        self.client_count = client_count
        self.on_response_started = events.on_response_started
        self.on_attempt_ended = events.on_attempt_ended
        self.pools: dict[Endpoint, EndpointPool] = {}
        self.open_connections = 0
        self.counts: Counter[str] = Counter()  # figures since the last line of the log
        self.pending_attempts: dict[SendAttempt, PendingAttempt] = {}
        self.scheduler.call_later(self.limits.check_interval, self._run_periodic_checks)

    # Endpoints.

    def on_endpoint_changed(self, endpoint: Endpoint, address: Address | None) -> None:
        """Apply an endpoint's address, and whether it is ready."""
        pool = self.pools.get(endpoint)
        if pool and address and (pool.address != address or endpoint.state != READY):
            pool.address = address
            pool.withdraw()

    def on_endpoint_removed(self, endpoint: Endpoint) -> None:
        """Drop the pool of an endpoint that left the list; attempts in flight may complete."""
        pool = self.pools.pop(endpoint, None)
        if pool:
            pool.withdraw()

    def _pool_of(self, endpoint: Endpoint) -> EndpointPool | None:
        """Return an endpoint's pool; None where it is not ready and has none."""
        pool = self.pools.get(endpoint)
        if pool is None and endpoint.state == READY:
            name, _, port = endpoint.address.rpartition(":")
            pool = EndpointPool(self, endpoint, (name, int(port)))
            self.pools[endpoint] = pool
        return pool

    # Attempts.

    def send(self, request: ClientRequest, attempt: SendAttempt) -> None:
        """Start an attempt."""
        pool = self._pool_of(attempt.endpoint)
        pending = PendingAttempt(request, attempt, pool, attempt.sent_at + attempt.timeout)
        self.pending_attempts[attempt] = pending
        if pool is None or self.is_stale(pending):
            self.scheduler.call_soon(self.report, pending, NEVER_SENT)
            return
        timeout = min(attempt.send_by, pending.deadline) - self.scheduler.now()
        pending.timer = self.scheduler.call_later(timeout, partial(self._on_timer, pending))
        pool.assign(pending)

    def _on_timer(self, pending: PendingAttempt) -> None:
        """End an attempt whose time is over: all of it, or that to be sent, if it still waits."""
        if pending.attempt.send_by >= pending.deadline:
            self._give_up(pending, LATE)
        elif self._remove_from_queue(pending):
            self.report(pending, NEVER_SENT)
        else:
            time_left = pending.deadline - self.scheduler.now()
            pending.timer = self.scheduler.call_later(
                time_left, partial(self._give_up, pending, LATE)
            )

    @staticmethod
    def _remove_from_queue(pending: PendingAttempt) -> bool:
        """Take an attempt out of its pool's queue; return False where it is not in it."""
        pool = pending.pool
        if pool is None or pending not in pool.queue:
            return False
        pool.queue.remove(pending)
        return True

    def is_stale(self, pending: PendingAttempt) -> bool:
        """Return whether an attempt is not to be sent any more.

        Its RPC is over, its time, or its endpoint's. Where the client may have left unseen for a
        while, its socket is asked: that costs little beside a turn that takes so long.
        """
        now = self.scheduler.now()
        attempt = pending.attempt
        if (
            attempt.rpc.is_finished
            or attempt.endpoint.state != READY
            or pending.deadline <= now
            or attempt.send_by < now
        ):
            return True
        return (
            bool(self.scheduler.may_have_missed_events())
            and pending.request.owner.is_client_disconnected()
        )

    def cancel(self, attempt: SendAttempt) -> None:
        """Stop waiting for an attempt; its outcome is still reported."""
        pending = self.pending_attempts.get(attempt)
        if pending and not (pending.abandoned_as or pending.is_relaying):
            self.scheduler.call_soon(self._give_up, pending, CANCELLED)

    def on_client_disconnected(
        self, attempts: Iterable[SendAttempt], may_cancel: bool = True
    ) -> None:
        """Stop the attempts of a client that has gone.

        What waits is handed back, and what its endpoint does not have completely never gets there.
        On a connection that the endpoint has not answered on yet, the connection may be late in
        coming up there and the attempt still to begin: it is cancelled, where `may_cancel` allows.
        """
        for pending in filter(None, map(self.pending_attempts.get, attempts)):
            connection = pending.connection
            if connection is None:
                if self._remove_from_queue(pending):
                    self.scheduler.call_soon(self.report, pending, NEVER_SENT)
            elif (
                pending.end_offset is not None
                and pending.end_offset > connection.stream.bytes_sent
                and not pending.abandoned_as
            ):
                connection.stream.unsent.clear()  # nothing is written behind it: see can_pipeline
                connection.give_up(pending, NEVER_SENT)
            elif may_cancel:
                self.scheduler.call_soon(self._cancel_unanswered, pending)

    def _cancel_unanswered(self, pending: PendingAttempt) -> None:
        """Cancel an attempt on a connection that its endpoint has not answered on."""
        connection = pending.connection
        if (
            connection is not None
            and pending.attempt in self.pending_attempts
            and not (connection.last_answer_at or pending.abandoned_as or pending.is_relaying)
        ):
            connection.abandon(pending, CANCELLED)

    def expire(self, attempts: Iterable[SendAttempt]) -> None:
        """End the time of some attempts now."""
        for pending in list(filter(None, map(self.pending_attempts.get, attempts))):
            self._give_up(pending, LATE)

    def _give_up(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt, unless that has been done or its response is under way.

        Args:
            pending: The attempt.
            outcome: What is reported of an attempt that was written. One that still waits in its
                pool's queue is always UNREACHABLE, as nothing of it was sent.
        """
        if pending.attempt not in self.pending_attempts or pending.is_relaying:
            return
        if pending.abandoned_as and outcome != LATE:
            return
        if pending.connection:
            pending.connection.give_up(pending, outcome)
            return
        self._remove_from_queue(pending)
        self.report(pending, UNREACHABLE)

    def begin_response(self, pending: PendingAttempt, relay: ResponseRelay, length: int) -> bool:
        """Begin a long response, which no deadline cuts off; return whether somebody takes it."""
        if pending.timer:
            pending.timer.cancel()
        pending.is_relaying = self.on_response_started(pending, relay, length)
        return pending.is_relaying

    def report(
        self, pending: PendingAttempt, outcome: Outcome, value: bytes = b"", report: bytes = b""
    ) -> None:
        """Report what became of an attempt, once."""
        if self.pending_attempts.pop(pending.attempt, None):
            if pending.timer:
                pending.timer.cancel()
            self.on_attempt_ended(pending, outcome, value, report)

    # Room.

    def make_room(self, number: int) -> bool:
        """Close idle connections until `number` more fit beside the clients.

        Returns:
            Whether they fit.
        """
        room = self.limits.endpoint_capacity(self.client_count()) - number
        while self.open_connections > room:
            idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
            if not idle:
                return False
            oldest = min(idle, key=lambda connection: connection.idle_since)
            oldest.end()
        return True

    def _run_periodic_checks(self) -> None:
        """Retire what has been idle for long, and dial for what waits without a dial."""
        self.scheduler.call_later(self.limits.check_interval, self._run_periodic_checks)
        now = self.scheduler.now()
        stalled_before = now - self.limits.stall_timeout
        stalled = [
            relay for relay in self.buffer_budget.relays if relay.last_progress < stalled_before
        ]
        for relay in stalled:
            self.counts["stood still"] += 1
            relay.expire()
        for endpoint, pool in list(self.pools.items()):
            pool.retire(now - self.limits.endpoint_idle_timeout)
            pool.dispatch()
            if pool.is_unused():
                del self.pools[endpoint]
