"""Simulated gateways: each has an admission controller, a clock, an endpoint list and connections.

`SimulatedGateway` passes events to its controller, as a gateway process does, and `gateway_actions`
executes the actions that the controller returns. The controller makes every decision.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, cast

import orjson

from petrellane.decisions.actions import CounterAdd, PendingTopUp, TimerSubject
from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.types import (
    GONE,
    IDEMPOTENT,
    OK,
    Customer,
    Endpoint,
    EndpointEvent,
    EndpointState,
    Outcome,
    Rpc,
)
from petrellane.invariants import (
    AttemptEnded,
    ClientDisconnected,
    EndpointNotified,
    GatewayLifecycle,
    RpcReceived,
)
from petrellane.operation import hot_restart, hot_restart_messages
from petrellane.simulation.controllers import Controller, needs_gateway
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.gateway_actions import ActionExecutor

if TYPE_CHECKING:
    from petrellane.simulation.clients import ClientRpc
    from petrellane.simulation.discovery import EndpointRow
    from petrellane.simulation.endpoints import PendingAttempt
    from petrellane.simulation.fleet import FleetSimulation

CLOCK_EPOCH = 1000.0
"""The reading of an accurate clock at the start of the run, in seconds; 0 would mean long ago."""

MIN_DURATION = 1e-6  # seconds; the minimum duration of an attempt

DeferredEvent = tuple[Callable[..., None], tuple[Any, ...]]
"""An event that arrived while the process was paused: its handler and the arguments."""


class SimulatedGateway:
    """One gateway across its incarnations, or a further process under the name of a gateway.

    `FleetSimulation` owns the gateways of a run.

    Attributes:
        simulation: The simulation that the gateway belongs to.
        number: The number of the gateway.
        name: The name of the process.
        zone: The number of the zone that the process runs in.
        rng: The random stream of the process.
        clock_offset: The difference between the clock of the process and the time of the run, in
            seconds.
        incarnation: The number of starts and deaths of the process so far.
        is_alive: Whether the process is running; a paused process is running.
        is_paused: Whether the process is paused.
        is_superseded: Whether another process has replaced it, by a hot restart or its rollback.
        successor: The process that took over from it in a hot restart.
        endpoints: The endpoints that the process knows, by name.
        connected: The names of the endpoints that the process has opened a connection to.
        open_rpcs: The RPCs whose clients wait for an answer.
        pending_attempts: The attempts whose outcome the process does not know, oldest first.
        customers: The customers that the process knows, by name.
    """

    def __init__(self, simulation: FleetSimulation, number: int, name: str | None = None) -> None:
        world = simulation.world
        self.simulation = simulation
        self.number = number
        self.name = name or f"g{number}"
        self.zone = number % world.zones
        self.rng = seeded_random(world.seed, "gateway", self.name)
        self.clock_offset = CLOCK_EPOCH + world.clock_skew * (2 * self.rng.random() - 1)
        self.incarnation = 0
        self.is_alive = False
        self.is_paused = False
        self.is_superseded = False
        self._controller: Controller | None = None
        self._executor = ActionExecutor(self)
        self._handoff_receiver: hot_restart.HandoffReceiver[None] | None = None
        self._reset_state()

    def _reset_state(self) -> None:
        """Reset the state to that of a new process."""
        self.successor: SimulatedGateway | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.connected: set[str] = set()
        self.open_rpcs: dict[Rpc, ClientRpc] = {}
        self.pending_attempts: dict[PendingAttempt, None] = {}
        self.customers: dict[str, Customer] = {}
        self._deferred_events: list[DeferredEvent] = []
        # The clock reading at the pause, until the process has handled all deferred events.
        self._paused_at: float | None = None

    @property
    def controller(self) -> Controller:
        """The controller of the running process.

        Raises:
            RuntimeError: The process is not running.
        """
        if self._controller is None:
            raise RuntimeError(f"expected {self.name} to be running, found no running process")
        return self._controller

    def clock(self) -> float:
        """Return the reading of the clock of the gateway, in seconds."""
        return self.simulation.events.now + self.clock_offset

    # The process.

    def start(self) -> None:
        """Start a new process, whose only state is a stale copy of the endpoint list."""
        if self.is_alive:
            return
        self.incarnation += 1
        self.is_alive = True
        self.is_paused = False
        self._reset_state()
        self._controller = self._make_controller()
        self._record_lifecycle("started")
        self._executor.execute(self.controller.start(self.clock()))
        self.on_endpoint_list(True, self.simulation.discovery.stale_list())
        self.simulation.discovery.watch(self)

    def _make_controller(self) -> Controller:
        factory = self.simulation.controller_factory
        settings = dict(self.simulation.controller_settings)
        if needs_gateway(factory):
            settings["gateway"] = self
        return factory(seed=self.rng.getrandbits(60), zone=f"z{self.zone}", **settings)

    def kill(self) -> None:
        """Kill the process: client connections break, and endpoints continue to run attempts."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.incarnation += 1
        self._controller = None
        broken = list(self.open_rpcs.values())
        self.open_rpcs = {}
        deferred = self._deferred_events
        self._deferred_events = []
        self._record_lifecycle("killed")
        self.simulation.on_gateway_death(self)
        for pending in self.pending_attempts:
            pending.is_abandoned = True
        broken += [arguments[0] for function, arguments in deferred if function == self._admit]
        for rpc in broken:
            self.simulation.events.schedule_after(
                self.simulation.world.latency, rpc.on_connection_broken
            )

    def pause(self) -> None:
        """Pause the process and defer the events that arrive."""
        if self.is_alive and not self.is_paused:
            self.is_paused = True
            self._paused_at = self.clock()
            self._record_lifecycle("paused")

    def resume(self) -> None:
        """Resume the process and handle the deferred events in the order of their arrival."""
        if self.is_alive and self.is_paused:
            self.is_paused = False
            self._record_lifecycle("resumed")
            deferred = self._deferred_events
            self._deferred_events = []
            for function, arguments in deferred:
                function(*arguments)
            self._paused_at = None

    def deliver(self, incarnation: int, function: Callable[..., None], *arguments: object) -> None:
        """Deliver an event to one incarnation of the process.

        A paused process handles the event when it resumes; a process of another incarnation, or a
        dead one, never does.
        """
        if incarnation == self.incarnation and self.is_alive:
            if self.is_paused:
                self._deferred_events.append((function, arguments))
            else:
                function(*arguments)

    def _record_lifecycle(self, event: str) -> None:
        now = self.simulation.events.now
        self.simulation.record(GatewayLifecycle(now, self.name, event))

    # Hot restart.

    def export_leases(self) -> list[dict[str, Any]]:
        """Give up all leases and return the messages as the successor decodes them from JSON."""
        messages = hot_restart.export_leases(self._admission_controller(), self.clock())
        rows = [hot_restart_messages.encode(message) for message in messages]
        decoded: list[dict[str, Any]] = orjson.loads(orjson.dumps(rows))
        return decoded

    def resume_leases(self) -> None:
        """Resume the refill of hard limits after the handoff has failed."""
        hot_restart.resume_hard_limit_refill(self._admission_controller(), self.clock())

    def import_leases(
        self, predecessor: SimulatedGateway, messages: Iterable[dict[str, Any]]
    ) -> None:
        """Take over the leases that the predecessor gave up.

        RPCs in flight at the predecessor count here until the predecessor reports their end.
        """
        receiver: hot_restart.HandoffReceiver[None] = hot_restart.HandoffReceiver()
        for message in messages:
            receiver.on_message(hot_restart_messages.decode(message))
        self._handoff_receiver = receiver
        predecessor.successor = self
        hot_restart.import_leases(
            self._admission_controller(), self.clock(), receiver.lease_rows, self._find_customer
        )

    def on_predecessor_rpc_ended(self, customer: str) -> None:
        """Release the in-flight slot of an RPC that has ended at the predecessor."""
        receiver = self._handoff_receiver
        if self.is_alive and receiver and receiver.on_request_ended(customer):
            hot_restart.release_in_flight(
                self._admission_controller(), self.clock(), self.customers[customer], 1
            )

    def _admission_controller(self) -> AdmissionController:
        """Return the controller as an `AdmissionController`, or as a copy with a planted fault."""
        return cast(AdmissionController, self.controller)

    def _find_customer(
        self, name: str, plan: str, first_gateway: int, gateway_count: int
    ) -> Customer:
        customer = self.customers.get(name)
        if customer is None:
            settings = self.simulation.plans[plan]
            customer = Customer(name, settings, first_gateway, gateway_count)
            self.customers[name] = customer
        return customer

    # Events.

    def on_endpoint_list(self, is_full: bool, rows: Iterable[EndpointRow]) -> None:
        """Apply the endpoint list or changes to it; endpoints missing from a full list are gone."""
        now = self.simulation.events.now
        events = []
        listed = set()
        for row in rows:
            name = row.endpoint.name
            endpoint = self.endpoints.setdefault(name, Endpoint(name))
            listed.add(name)
            events.append(_endpoint_event(endpoint, row))
            started_at = row.started_at or 0.0
            self.simulation.record(EndpointNotified(now, self.name, name, row.state, started_at))
        if is_full:
            # Known issue: the iteration order of a set of strings, and therefore the order of these
            # simultaneous records, depends on PYTHONHASHSEED. No decision or verdict depends on
            # it.
            for name in self.endpoints.keys() - listed:
                self.simulation.record(EndpointNotified(now, self.name, name, GONE, 0.0))
        self._executor.execute(self.controller.on_endpoint_events(self.clock(), is_full, events))
        self.endpoints = {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if endpoint.state != GONE and (name in listed or not is_full)
        }

    def receive(self, rpc: ClientRpc) -> None:
        """Record the arrival of an RPC, also while the process is paused, and deliver it."""
        call = rpc.call
        self.simulation.record(
            RpcReceived(
                self.simulation.events.now,
                self.name,
                rpc.name,
                call.customer.name,
                call.customer.plan,
                call.method.name,
                float(call.units),
                rpc.deadline,
            )
        )
        self.deliver(self.incarnation, self._admit, rpc)

    def _admit(self, client_rpc: ClientRpc) -> None:
        """Pass an RPC to the controller.

        The patience of its client counts from now. After a pause it counts from the start of the
        pause, because the gateway does not know when a deferred RPC arrived.
        """
        call = client_rpc.call
        now = self.clock()
        arrived_at = now if self._paused_at is None else self._paused_at
        customer = self._find_customer(
            call.customer.name,
            call.customer.plan,
            call.customer.first_gateway,
            min(call.customer.gateway_count, self.simulation.world.gateways),
        )
        rpc = Rpc(
            call.method,
            customer,
            float(call.units),
            arrived_at + client_rpc.patience,
            arrived_at,
            is_client_retry=client_rpc.number > 0,
            is_write=call.method.effect != IDEMPOTENT,
        )
        self.open_rpcs[rpc] = client_rpc
        self._executor.execute(self.controller.admit(now, rpc))

    def on_client_disconnected(self, client_rpc: ClientRpc) -> None:
        """Handle the disconnection of the client of an RPC."""
        for rpc, other in self.open_rpcs.items():
            if other is client_rpc:
                now = self.simulation.events.now
                self.simulation.record(ClientDisconnected(now, self.name, client_rpc.name))
                del self.open_rpcs[rpc]
                self._executor.execute(self.controller.on_client_disconnected(self.clock(), rpc))
                return

    def report_outcome(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Report the outcome of an attempt to the incarnation that sent it."""
        self.deliver(pending.incarnation, self._on_attempt_ended, pending, outcome)

    def _on_attempt_ended(self, pending: PendingAttempt, outcome: Outcome) -> None:
        if pending.is_ended:
            return
        pending.is_ended = True
        pending.is_abandoned = True
        del self.pending_attempts[pending]
        rpc = pending.attempt.rpc
        now = self.clock()
        self.simulation.record(
            AttemptEnded(
                self.simulation.events.now, self.name, pending.rpc, pending.number, outcome
            )
        )
        if outcome == OK:
            self._executor.answer_ok(rpc)
        self._executor.execute(
            self.controller.on_attempt_ended(
                now,
                pending.attempt,
                outcome,
                is_final=rpc not in self.open_rpcs,
                duration=max(MIN_DURATION, now - pending.attempt.sent_at),
            )
        )

    def on_counter_reply(self, add: CounterAdd, outcome: Outcome, total: float) -> None:
        """Handle the outcome of an add: the reply of the counter, or a timeout."""
        if isinstance(add.purpose, PendingTopUp) and self.simulation.keeps_records:
            customer = add.purpose.lease.customer.name
            result = f"a total of {total:g}" if outcome == OK else outcome
            self.simulation.trace(
                self.name,
                f"asked for {add.amount:g} units of {customer} in window {add.purpose.window}: "
                f"{result}",
            )
        self._executor.execute(self.controller.on_counter_reply(self.clock(), add, outcome, total))

    def on_timer(self, subject: TimerSubject) -> None:
        """Handle the expiry of a timer that a `SetTimer` action started."""
        self._executor.execute(self.controller.on_timer(self.clock(), subject))


def _endpoint_event(endpoint: Endpoint, row: EndpointRow) -> EndpointEvent:
    started_at = 0.0
    if row.started_at is not None:
        started_at = row.started_at + CLOCK_EPOCH
    return EndpointEvent(
        endpoint,
        zone=f"z{row.endpoint.zone}",
        kind="",
        pod=row.endpoint.pod,
        state=EndpointState(row.state),
        weight=1.0,
        started_at=started_at,
    )
