"""Executes the actions of the controller of a simulated gateway.

The counterpart in simulated time of `petrellane.gateway.action_executor`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.decisions.action_dispatcher import ActionDispatcher
from petrellane.decisions.types import CANCELLED, LATE, UNREACHABLE, Rpc
from petrellane.invariants import ABORTED, OK, REJECTED, AttemptSent, RpcAnswered
from petrellane.simulation.endpoints import PendingAttempt

if TYPE_CHECKING:
    from petrellane.decisions.actions import (
        Abort,
        CancelAttempt,
        CounterAdd,
        Reject,
        SendAttempt,
        SetTimer,
        WatchEndpoints,
        WriteLog,
    )
    from petrellane.simulation.gateways import SimulatedGateway

CONNECT_TIMEOUT = 0.25  # seconds until an unanswered connection attempt fails
MIN_TIMEOUT = 1e-6  # seconds; the minimum timeout of an attempt
SLOW_CANCEL_RATE = 0.1  # fraction of cancellations that wait behind others on their connection
SLOW_CANCEL_DELAY = 0.05  # seconds that such a cancellation waits


class ActionExecutor(ActionDispatcher):
    """Executes the actions of one gateway; the gateway owns it."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        super().__init__()
        self._gateway = gateway
        self._simulation = gateway.simulation

    def answer_ok(self, rpc: Rpc) -> None:
        """Relay the answer of an endpoint to the client if the client still waits."""
        if rpc in self._gateway.open_rpcs:
            self._answer(rpc, OK)

    def _reject(self, action: Reject) -> None:
        self._answer(action.rpc, REJECTED, action.retry_after)

    def _abort(self, action: Abort) -> None:
        self._answer(action.rpc, ABORTED)

    def _answer(self, rpc: Rpc, answer: str, retry_after: float = 0.0) -> None:
        """Answer an RPC.

        An answer to an RPC that has ended is only recorded, for the invariant checker.
        """
        gateway = self._gateway
        simulation = self._simulation
        now = simulation.events.now
        client_rpc = gateway.open_rpcs.pop(rpc, None)
        if client_rpc is None:
            simulation.record(RpcAnswered(now, gateway.name, simulation.name_of(rpc), answer))
            return
        simulation.record(RpcAnswered(now, gateway.name, client_rpc.name, answer))
        if gateway.successor:
            gateway.successor.on_predecessor_rpc_ended(rpc.customer.name)
        simulation.remember_name(rpc, client_rpc.name)
        simulation.events.schedule_after(
            simulation.world.latency, client_rpc.on_answer, answer, retry_after
        )

    def _send_attempt(self, action: SendAttempt) -> None:
        """Send an attempt to its endpoint, over an open connection or a new one."""
        gateway = self._gateway
        simulation = self._simulation
        now = simulation.events.now
        client_rpc = gateway.open_rpcs.get(action.rpc)
        endpoint = simulation.endpoints_by_name[action.endpoint.address]
        if client_rpc is None:
            name = simulation.name_of(action.rpc)
            simulation.record(AttemptSent(now, gateway.name, name, action.number, endpoint.name))
            return
        pending = PendingAttempt(gateway, action, client_rpc.call, client_rpc.name, endpoint)
        gateway.pending_attempts[pending] = None
        simulation.record(
            AttemptSent(now, gateway.name, client_rpc.name, action.number, endpoint.name)
        )
        self._deliver_attempt(pending)

    def _deliver_attempt(self, pending: PendingAttempt) -> None:
        gateway = self._gateway
        simulation = self._simulation
        events = simulation.events
        endpoint = pending.endpoint
        outbound = simulation.network.delay(gateway.zone, endpoint.zone, gateway.rng)
        inbound = simulation.network.delay(endpoint.zone, gateway.zone, gateway.rng)
        timeout = max(MIN_TIMEOUT, pending.attempt.timeout)
        events.schedule_after(timeout, gateway.report_outcome, pending, LATE)
        if self._has_connection(pending) and endpoint.is_alive:
            if outbound is not None:
                events.schedule_after(outbound, endpoint.receive, pending)
        elif outbound is None or inbound is None or endpoint.is_unreachable:
            events.schedule_after(CONNECT_TIMEOUT, gateway.report_outcome, pending, UNREACHABLE)
        elif not endpoint.is_alive:
            events.schedule_after(outbound + inbound, gateway.report_outcome, pending, UNREACHABLE)
        else:
            gateway.connected.add(endpoint.name)
            arrives_at = events.now + outbound + inbound + outbound
            events.schedule_at(arrives_at, self._arrive_on_new_connection, pending)

    def _has_connection(self, pending: PendingAttempt) -> bool:
        """Return whether an open connection is available for the attempt.

        The method draws a random number only for an endpoint that had a connection before.
        """
        gateway = self._gateway
        reuse = self._simulation.world.connection_reuse
        return pending.endpoint.name in gateway.connected and gateway.rng.random() < reuse

    @staticmethod
    def _arrive_on_new_connection(pending: PendingAttempt) -> None:
        """Deliver an attempt over its new connection, unless the attempt has already ended."""
        if not pending.is_ended:
            pending.endpoint.receive(pending)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt; some cancellations wait behind others on their connection."""
        gateway = self._gateway
        for pending in gateway.pending_attempts:
            if pending.attempt is action.attempt:
                pending.is_abandoned = True
                is_slow = gateway.rng.random() < SLOW_CANCEL_RATE
                delay = SLOW_CANCEL_DELAY if is_slow else 0.0
                self._simulation.events.schedule_after(
                    delay, gateway.report_outcome, pending, CANCELLED
                )

    def _add_to_counter(self, action: CounterAdd) -> None:
        self._simulation.counter.send(self._gateway, action)

    def _set_timer(self, action: SetTimer) -> None:
        gateway = self._gateway
        self._simulation.events.schedule_after(
            action.delay, gateway.deliver, gateway.incarnation, gateway.on_timer, action.subject
        )

    def _write_log(self, action: WriteLog) -> None:
        self._simulation.trace(self._gateway.name, action.text)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Do nothing: the gateway watches the endpoint list from its start."""
