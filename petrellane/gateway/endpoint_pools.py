"""The pools of all endpoints, and the attempts that are pending on them.

`EndpointPools` sends each attempt that it is given, and reports its outcome exactly once, as it
follows from the state of the sockets. The decisions choose the endpoint and the timeout of an
attempt.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Protocol

from petrellane.decisions.types import CANCELLED, LATE, NEVER_SENT, READY, UNREACHABLE
from petrellane.gateway.endpoint_connection import FINAL_WHEN_ABANDONED, PendingAttempt
from petrellane.gateway.endpoint_pool import EndpointPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.decisions.actions import SendAttempt
    from petrellane.decisions.types import Endpoint, Outcome
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.memory_account import MemoryAccount
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.gateway.runtime import Address, Runtime
    from petrellane.net.buffers import HeldBytes


class AttemptCallbacks(Protocol):
    """Callbacks for pending attempts."""

    def on_response_started(
        self, pending: PendingAttempt, relay: ResponseRelay, length: int
    ) -> bool:
        """Start a long response; return False if no client waits for it."""

    def on_response_held(self, pending: PendingAttempt) -> None:
        """Handle a response that has begun, and that the gateway has no memory to read on."""

    def on_attempt_ended(
        self, pending: PendingAttempt, outcome: Outcome, value: HeldBytes, report: bytes
    ) -> None:
        """Handle the outcome of an attempt; called once per attempt."""


class EndpointPools:
    """The pool of each endpoint, and all pending attempts.

    `GatewayProcess` creates it and keeps it until the process ends. An endpoint has a pool only
    while the pool holds connections or attempts, so the number of pools does not grow with the
    endpoint list. `EndpointPools` owns the pools, the timers of the attempts, and a timer for
    periodic checks.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: MemoryAccount,
        client_count: Callable[[], int],
        events: AttemptCallbacks,
    ) -> None:
        """Start without pools.

        Args:
            runtime: The scheduler, the limits and the log.
            memory: The account of the memory that responses hold.
            client_count: Returns the number of descriptors that clients hold.
            events: Callbacks for the attempts.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.memory = memory
        self.client_count = client_count
        self.on_response_started = events.on_response_started
        self.on_response_held = events.on_response_held
        self.on_attempt_ended = events.on_attempt_ended
        self.pools: dict[Endpoint, EndpointPool] = {}
        self.open_connections = 0
        self.counts: Counter[str] = Counter()  # events since the last `figures` log line
        self.pending_attempts: dict[SendAttempt, PendingAttempt] = {}
        self.scheduler.call_later(self.limits.check_interval, self._run_periodic_checks)

    # Endpoints.

    def on_endpoint_changed(self, endpoint: Endpoint, address: Address | None) -> None:
        """Apply the address, the state and the start of an endpoint that has changed.

        Connections to an earlier process of the endpoint take no further attempts.
        """
        pool = self.pools.get(endpoint)
        if pool is None or address is None:
            return
        has_restarted = pool.started_at != endpoint.started_at
        if pool.address != address or endpoint.state != READY or has_restarted:
            pool.address = address
            pool.started_at = endpoint.started_at
            pool.drain()

    def on_endpoint_removed(self, endpoint: Endpoint) -> None:
        """Drop the pool of an endpoint that has left the list; attempts in flight may complete."""
        pool = self.pools.pop(endpoint, None)
        if pool:
            pool.drain()

    def _pool_for(self, endpoint: Endpoint) -> EndpointPool | None:
        """Return the pool of an endpoint; None if it has none and is not ready.

        A ready endpoint that has no pool gets one.
        """
        pool = self.pools.get(endpoint)
        if pool is None and endpoint.state == READY:
            name, _, port = endpoint.address.rpartition(":")
            pool = EndpointPool(self, endpoint, (name, int(port)))
            self.pools[endpoint] = pool
        return pool

    # Attempts.

    def send(self, request: ClientRequest, attempt: SendAttempt) -> None:
        """Start an attempt."""
        pending = PendingAttempt(request, attempt, None, attempt.sent_at + attempt.timeout)
        self.pending_attempts[attempt] = pending
        pool = pending.pool = self._pool_for(attempt.endpoint)
        if pool is None or self.is_stale(pending):
            self.scheduler.call_soon(self.report, pending, NEVER_SENT)
            return
        timeout = min(attempt.send_by, pending.deadline) - self.scheduler.now()
        pending.timer = self.scheduler.call_later(timeout, partial(self._on_timer, pending))
        pool.assign(pending)

    def withdraw(self, attempt: SendAttempt) -> None:
        """Stop an attempt whose start raised an exception; its outcome is still reported."""
        pending = self.pending_attempts.get(attempt)
        if pending is None:
            return
        connection = pending.connection
        # A connection with other attempts stays open, unless this one is among those in flight.
        if connection and (pending in connection.in_flight or not connection.in_flight):
            connection.end()
        self._remove_from_queue(pending)
        self.scheduler.call_soon(self.report, pending, NEVER_SENT)

    def _on_timer(self, pending: PendingAttempt) -> None:
        """Handle the expiry of an attempt's deadline or of its `send_by` time.

        At the deadline, the attempt is given up as `LATE`. An attempt that is not written
        completely at an earlier `send_by` ends `NEVER_SENT`.
        """
        if pending.attempt.send_by >= pending.deadline:
            self._give_up(pending, LATE)
        elif self._remove_from_queue(pending):
            self.report(pending, NEVER_SENT)
        elif pending.connection and pending.connection.is_partly_written(pending):
            self._give_up(pending, NEVER_SENT)
        else:
            pending.timer = self.scheduler.call_later(
                self.limits.acknowledgement_delay, partial(self._check_delivery, pending)
            )

    def _check_delivery(self, pending: PendingAttempt) -> None:
        """Stop a written attempt that its endpoint has not acknowledged soon after `send_by`.

        The kernel would deliver it later, perhaps after the idempotency key has expired. As the
        endpoint may have received it all the same, it ends `CANCELLED`.
        """
        connection = pending.connection
        if connection and not connection.is_delivered(pending):
            self._give_up(pending, CANCELLED)
            connection.end()
            return
        time_left = pending.deadline - self.scheduler.now()
        pending.timer = self.scheduler.call_later(time_left, partial(self._give_up, pending, LATE))

    def check_transfer(self, pending: PendingAttempt) -> None:
        """Stop a long command that its endpoint has not received in the time for the transfer.

        Otherwise the endpoint would begin it later, with more time than its client has left.
        """
        connection = pending.connection
        if (
            connection is None
            or pending.attempt not in self.pending_attempts
            or pending.abandoned_as
            or pending.is_relaying
            or connection.is_delivered(pending)
        ):
            return
        if connection.is_partly_written(pending):
            self._give_up(pending, NEVER_SENT)
        else:
            self._give_up(pending, CANCELLED)
            connection.end()

    @staticmethod
    def _remove_from_queue(pending: PendingAttempt) -> bool:
        """Remove an attempt from the queue of its pool; return False if it is not queued."""
        pool = pending.pool
        if pool is None or pending not in pool.queue:
            return False
        pool.queue.remove(pending)
        return True

    def is_stale(self, pending: PendingAttempt) -> bool:
        """Return whether an attempt must not be sent any more.

        An attempt is stale if its RPC has finished, its endpoint is not ready, its deadline or
        `send_by` time has passed, or its client may have disconnected behind bytes that the gateway
        does not read at the moment. If the process has stalled or this turn takes long, the client
        may have disconnected without a poll event, so the gateway also checks the socket of the
        client. The cost of this check is small compared with the stall.
        """
        now = self.scheduler.now()
        attempt = pending.attempt
        if (
            attempt.rpc.is_finished
            or attempt.endpoint.state != READY
            or pending.deadline <= now
            or attempt.send_by < now
            or pending.request.owner.may_have_hidden_close()
        ):
            return True
        return (
            bool(self.scheduler.may_have_missed_events())
            and pending.request.owner.is_client_disconnected()
        )

    def cancel(self, attempt: SendAttempt) -> None:
        """Cancel an attempt; its outcome is still reported."""
        pending = self.pending_attempts.get(attempt)
        if pending and not (pending.abandoned_as or pending.is_relaying):
            self.scheduler.call_soon(self._give_up, pending, CANCELLED)

    def on_client_disconnected(
        self, attempts: Iterable[SendAttempt], may_cancel: bool = True
    ) -> None:
        """Stop the attempts of a client that has disconnected.

        A queued attempt is reported as never sent. The unsent rest of a partly sent attempt is
        dropped, so the endpoint never receives it completely. If the connection of an attempt has
        carried no reply yet, the endpoint may not have accepted that connection, and may start the
        attempt later; the gateway cancels the attempt.

        Args:
            attempts: The attempts of the client.
            may_cancel: Whether attempts that were sent completely may be cancelled.
        """
        for pending in filter(None, map(self.pending_attempts.get, attempts)):
            connection = pending.connection
            if connection is None:
                if self._remove_from_queue(pending):
                    self.scheduler.call_soon(self.report, pending, NEVER_SENT)
            elif connection.is_partly_written(pending) and not pending.abandoned_as:
                connection.give_up(pending, NEVER_SENT)
            elif may_cancel:
                self.scheduler.call_soon(self._cancel_without_reply, pending)

    def _cancel_without_reply(self, pending: PendingAttempt) -> None:
        """Cancel a pending attempt if its connection has carried no reply."""
        connection = pending.connection
        if (
            connection is not None
            and pending.attempt in self.pending_attempts
            and not (connection.last_reply_at or pending.abandoned_as or pending.is_relaying)
        ):
            connection.abandon(pending, CANCELLED)

    def expire(self, attempts: Iterable[SendAttempt]) -> None:
        """Expire attempts now, before their deadlines."""
        for pending in list(filter(None, map(self.pending_attempts.get, attempts))):
            self._give_up(pending, LATE)

    def _give_up(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Give up an attempt, unless its response is being relayed.

        An attempt that has been given up already gets the new outcome if that is final.

        Args:
            pending: The attempt.
            outcome: The outcome of an attempt that has been written. An attempt that is still
                queued always ends `UNREACHABLE`, because no byte of it was sent.
        """
        if pending.attempt not in self.pending_attempts or pending.is_relaying:
            return
        if pending.abandoned_as and outcome not in FINAL_WHEN_ABANDONED:
            return
        if pending.connection:
            pending.connection.give_up(pending, outcome)
            return
        self._remove_from_queue(pending)
        self.report(pending, UNREACHABLE)

    def begin_response(self, pending: PendingAttempt, relay: ResponseRelay, length: int) -> bool:
        """Start a long response; return whether a client takes it.

        The timer of the attempt is cancelled, so no deadline cuts the response off.
        """
        if pending.timer:
            pending.timer.cancel()
        pending.is_relaying = self.on_response_started(pending, relay, length)
        return pending.is_relaying

    def report(
        self,
        pending: PendingAttempt,
        outcome: Outcome,
        value: HeldBytes = b"",
        report: bytes = b"",
    ) -> None:
        """Report the outcome of an attempt, once."""
        if self.pending_attempts.pop(pending.attempt, None):
            pending.cancel_timers()
            self.on_attempt_ended(pending, outcome, value, report)

    # Descriptors.

    def make_room(self, number: int) -> bool:
        """Close the longest idle connections until `number` more descriptors are free.

        Returns:
            Whether so many are free.
        """
        while self.open_connections > self._capacity() - number:
            idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
            if not idle:
                self.memory.peers.refresh()
                return self.open_connections <= self._capacity() - number
            oldest = min(idle, key=lambda connection: connection.idle_since)
            oldest.end()
        return True

    def _capacity(self) -> int:
        """Return the maximum number of connections now."""
        return self.limits.endpoint_capacity(self.memory.descriptor_limit, self.client_count())

    def _run_periodic_checks(self) -> None:
        """Expire stalled relays, close idle connections, dispatch queues and drop unused pools."""
        self.scheduler.call_later(self.limits.check_interval, self._run_periodic_checks)
        now = self.scheduler.now()
        stalled_before = now - self.limits.stall_timeout
        stalled = [relay for relay in self.memory.relays if relay.last_progress < stalled_before]
        for relay in stalled:
            self.counts["stood still"] += 1
            relay.expire()
        for endpoint, pool in list(self.pools.items()):
            pool.close_idle(now - self.limits.endpoint_idle_timeout)
            pool.dispatch()
            if pool.is_unused():
                del self.pools[endpoint]
