"""The gateway's part in a hot restart, as predecessor and as successor.

This module is imported only if the configuration names an inherited listening socket. A gateway
without one starts faster without the module and its imports. The rules are in
`petrellane.operation.hot_restart`, the transport is in
`petrellane.operation.hot_restart_transport`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from petrellane.operation import hot_restart
from petrellane.operation.hot_restart_messages import AttemptedIds
from petrellane.operation.hot_restart_transport import HotRestartHandlers, HotRestartTransport

if TYPE_CHECKING:
    from petrellane.decisions.types import Customer
    from petrellane.gateway.process import GatewayProcess
    from petrellane.operation.hot_restart_messages import Message


IDS_PER_MESSAGE = 1024


class GatewayHotRestart:
    """Handles the steps of a hot restart; its transport owns it until the process ends."""

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process
        self.executor = process.executor
        self.scheduler = process.scheduler

    def make_transport(self) -> HotRestartTransport:
        """Return a transport that calls the methods of this object; it opens no socket yet."""
        return HotRestartTransport(
            self.scheduler,
            self.process.limits,
            self.process.log,
            self.process.config.name,
            HotRestartHandlers(
                export_state=self.export_state,
                on_successor=self.on_successor,
                import_leases=self.import_leases,
                adopt_connection=self.process.client_listener.adopt,
                release_in_flight=self.on_predecessor_requests_ended,
                import_attempted_ids=self.executor.attempted_ids.add_digests,
                on_predecessor_still_running=self.on_predecessor_still_running,
            ),
        )

    def export_state(self) -> list[Message]:
        """Give up the state that goes to the successor, and return the messages that carry it.

        Idle connections to endpoints are closed, and the participant stops taking part in
        consensus.
        """
        for pool in self.process.endpoint_pools.pools.values():
            pool.close_idle(math.inf)
        consensus_state = None
        participant = self.process.participant
        if participant:
            participant.suspend()
            consensus_state = participant.state.to_dict()
        digests = list(self.executor.attempted_ids.digests)
        attempted = [
            AttemptedIds(digests[start : start + IDS_PER_MESSAGE])
            for start in range(0, len(digests), IDS_PER_MESSAGE)
        ]
        return attempted + hot_restart.export_leases(
            self.executor.controller, self.scheduler.now(), consensus_state
        )

    def on_successor(self, successor: HotRestartTransport | None) -> None:
        """Hand over to a successor, or resume if the successor is gone (None)."""
        self.process.lifecycle.has_successor = bool(successor)
        self.process.client_listener.set_successor(successor)
        if successor:
            return
        hot_restart.resume_hard_limit_refill(self.executor.controller, self.scheduler.now())
        if self.process.participant:
            self.process.participant.resume()

    def import_leases(self, rows: list[dict[str, Any]]) -> int:
        """Import the leases that the predecessor has given up; return their number."""
        plans = self.executor.settings.plans
        customers = self.executor.customers
        now = self.scheduler.now()

        def customer_of(name: str, plan: str, first: int, count: int) -> Customer | None:
            if plan not in plans:
                return None
            return customers.get_or_create(name, plans[plan], first, count, now)

        return hot_restart.import_leases(self.executor.controller, now, rows, customer_of)

    def on_predecessor_requests_ended(self, name: str, number: int) -> None:
        """Release requests in flight that have ended at the predecessor.

        Args:
            name: The name of the customer.
            number: The number of its requests that have ended.
        """
        controller = self.executor.controller
        for customer in self.executor.customers.find_by_name(name):
            now = self.scheduler.now()
            number -= hot_restart.release_in_flight(controller, now, customer, number)

    def on_predecessor_still_running(self) -> None:
        """Handle a predecessor that has exported no state and may still be serving."""
        hot_restart.withhold_hard_limits(self.executor.controller, self.scheduler.now())
