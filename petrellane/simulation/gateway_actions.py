"""Executes the actions of a simulated gateway's controller.

The counterpart of `petrellane.gateway.action_executor` in simulated time.
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

CONNECT_TIMEOUT = 0.25  # seconds until an endpoint without an answer counts as unreachable
MIN_TIMEOUT = 1e-6  # seconds that an attempt has at least
SLOW_CANCEL_RATE = 0.1  # fraction of cancels that wait for others on their connection
SLOW_CANCEL_DELAY = 0.05  # seconds that these take


class ActionExecutor(ActionDispatcher):
    """Executes the actions of one gateway, which owns it."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        super().__init__()
        self._gateway = gateway
        self._simulation = gateway.simulation

    def answer_ok(self, rpc: Rpc) -> None:
        """Relay the answer of an endpoint to the client, if it still waits."""
        if rpc in self._gateway.open_rpcs:
            self._answer(rpc, OK)

    def _reject(self, action: Reject) -> None:
        self._answer(action.rpc, REJECTED, action.retry_after)

    def _abort(self, action: Abort) -> None:
        self._answer(action.rpc, ABORTED)

    def _answer(self, rpc: Rpc, answer: str, retry_after: float = 0.0) -> None:
        """Answer an RPC; an answer after the end of the RPC is recorded, and judged."""
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
        """Send an attempt to its endpoint, on an open connection or on a new one."""
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
        there = simulation.network.delay(gateway.zone, endpoint.zone, gateway.rng)
        back = simulation.network.delay(endpoint.zone, gateway.zone, gateway.rng)
        timeout = max(MIN_TIMEOUT, pending.attempt.timeout)
        events.schedule_after(timeout, gateway.report_outcome, pending, LATE)
        if self._has_connection(pending) and endpoint.is_alive:
            if there is not None:
                events.schedule_after(there, endpoint.receive, pending)
        elif there is None or back is None or endpoint.is_unreachable:
            events.schedule_after(CONNECT_TIMEOUT, gateway.report_outcome, pending, UNREACHABLE)
        elif not endpoint.is_alive:
            events.schedule_after(there + back, gateway.report_outcome, pending, UNREACHABLE)
        else:
            gateway.connected.add(endpoint.name)
            arrives_at = events.now + there + back + there
            events.schedule_at(arrives_at, self._arrive_on_new_connection, pending)

    def _has_connection(self, pending: PendingAttempt) -> bool:
        """Whether the attempt finds an open connection; only a known endpoint takes a draw."""
        gateway = self._gateway
        reuse = self._simulation.world.connection_reuse
        return pending.endpoint.name in gateway.connected and gateway.rng.random() < reuse

    @staticmethod
    def _arrive_on_new_connection(pending: PendingAttempt) -> None:
        """The connection is open and the attempt written, unless it was given up before."""
        if not pending.is_ended:
            pending.endpoint.receive(pending)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        """Stop waiting for an attempt; at times others wait on its connection, which delays it."""
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
        """Do nothing: the watch is on from the start."""
