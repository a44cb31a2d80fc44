"""Runs one scenario: creates the simulated fleet, plays the run and returns the verdict."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, NamedTuple

from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.types import Effect, KeyScope, Method, Plan, Rpc
from petrellane.invariants import (
    HardLimit,
    InvariantChecker,
    MethodRule,
    Record,
    RuleParameters,
    StateRetained,
    Verdict,
)
from petrellane.simulation import scenario as scenarios
from petrellane.simulation.clients import CustomerClients
from petrellane.simulation.controllers import ControllerFactory, needs_gateway
from petrellane.simulation.counter import SimulatedCounter
from petrellane.simulation.discovery import SimulatedDiscovery
from petrellane.simulation.endpoints import KeyExpiries, KeyGroup, SimulatedEndpoint
from petrellane.simulation.event_queue import EventQueue, seeded_random
from petrellane.simulation.faults import FaultInjector
from petrellane.simulation.figures import FigureCollector, ServiceFigures
from petrellane.simulation.gateways import SimulatedGateway
from petrellane.simulation.network import Network
from petrellane.simulation.retained_state import count_retained
from petrellane.simulation.scenario import Scenario

ANSWER_SLACK_S = 0.05  # seconds after its deadline in which an RPC may still be answered
SETTLE_S = 4.0  # seconds after the last deadline in which pending work must finish
FAULT_SETTLE_S = 0.5  # seconds after a fault in which its target recovers

UNKNOWN_RPC = "unknown"

SECOND_PROCESS = "gateway twice"


class TraceLine(NamedTuple):
    """A trace event that is not a record; `component` is empty for an event of the run itself."""

    at: float
    component: str
    text: str


@dataclass
class Run:
    """The results of one run.

    Attributes:
        scenario: The scenario of the run.
        verdict: The verdict of the invariant checker.
        figures: The figures of the service that clients received.
        records: The records in chronological order; None unless the run kept them.
        trace: The trace in chronological order; None unless the run kept records.
    """

    scenario: Scenario
    verdict: Verdict
    figures: ServiceFigures
    records: list[Record] | None = None
    trace: list[TraceLine] | None = None

    @property
    def broken(self) -> list[str]:
        """The names of the violated rules, sorted."""
        return sorted(self.verdict.counts)


def make_method(settings: scenarios.Method, max_attempts: int) -> Method:
    """Convert a method of a scenario to a `Method` of the decisions."""
    return Method(
        settings.name,
        settings.latency_objective,
        settings.deadline,
        Effect(settings.effect),
        KeyScope.parse(settings.key_scope),
        settings.key_window,
        settings.priority_weight,
        settings.late_priority_weight,
        max_attempts=max_attempts,
    )


def make_plan(settings: scenarios.Plan) -> Plan:
    """Convert a plan of a scenario to a `Plan` of the decisions."""
    return Plan(
        settings.name,
        settings.rate,
        settings.burst,
        settings.hard_limit_rate,
        settings.hard_limit_burst,
        settings.hard_limit_slack,
        settings.max_in_flight,
        settings.price,
    )


class FleetSimulation:
    """One run: its simulated components and their shared state.

    The caller owns the simulation and plays it only once.

    Attributes:
        scenario: The scenario of the run.
        world: The `World` line of the scenario.
        controller_factory: The factory that creates the controller of each gateway process.
        controller_settings: The keyword arguments of the factory, except seed, zone and gateway.
        keeps_records: Whether the run keeps records and a trace for a timeline.
        events: The event queue and the simulated clock.
        network: The simulated network.
        methods: The methods of the decisions, by name.
        plans: The plans of the decisions, by name.
        answer_slack: The time after its deadline in which an RPC may still be answered, in seconds.
        lost_answer_rate: The fraction of endpoint answers that a fault drops.
        idempotency_keys: The idempotency keys that each group of endpoints shares.
        endpoints: The endpoints, by number.
        endpoints_by_name: The endpoints, by name.
        counter: The shared counter.
        discovery: The discovery service.
        gateways: The current process of each gateway, by number.
        other_processes: The further processes under the name of a gateway, by process name.
        figures: The collector of service figures.
        clients: The clients of each customer, in the order of the scenario.
        checker: The invariant checker, which observes every record.
    """

    def __init__(
        self,
        scenario: Scenario,
        controller_factory: ControllerFactory = AdmissionController,
        keep_records: bool = False,
    ) -> None:
        """Create the components of a run.

        Args:
            scenario: The scenario to play.
            controller_factory: The factory of controllers. The default creates the admission
                controller; baselines and tests with planted faults pass others.
            keep_records: Whether the run keeps records and a trace.
        """
        world = scenario.world
        self.scenario = scenario
        self.world = world
        self.controller_factory = controller_factory
        self.controller_settings = _controller_settings(world)
        self.keeps_records = keep_records
        self.events = EventQueue()
        self.network = Network(world)
        self.answer_slack = ANSWER_SLACK_S
        self.lost_answer_rate = 0.0
        self.methods = {
            method.name: make_method(method, world.max_attempts) for method in scenario.methods
        }
        self.plans = {plan.name: make_plan(plan) for plan in scenario.plans}
        self.idempotency_keys: dict[KeyGroup, KeyExpiries] = {}
        self._records: list[Record] = []
        self._trace: list[TraceLine] = []
        self._rpc_names: dict[Rpc, str] = {}
        self._rng = seeded_random(world.seed, "front")
        # The time at which the load balancer in front detects the death of each process.
        self._undetected_until: dict[SimulatedGateway, float] = {}
        self.other_processes: dict[str, SimulatedGateway] = {}
        self._create_components()

    def _create_components(self) -> None:
        """Create all components in an order that determines the order of simultaneous events."""
        world = self.world
        self.endpoints = [SimulatedEndpoint(self, number) for number in range(world.endpoints)]
        self.endpoints_by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        self.checker = InvariantChecker(self.terms())
        self.counter = SimulatedCounter(self)
        self.discovery = SimulatedDiscovery(self)
        self.gateways = [SimulatedGateway(self, number) for number in range(world.gateways)]
        self.figures = FigureCollector(self)
        self.clients = [CustomerClients(self, customer) for customer in self.scenario.customers]
        FaultInjector(self).schedule(self.scenario.faults)

    def terms(self) -> RuleParameters:
        """Return the parameters of the invariant rules for this scenario.

        While two processes run under one gateway name, the share of the second process refills the
        hard limit as well. The slack of each hard limit includes this refill, at a share of 1.
        """
        world = self.world
        second_process_s = sum(
            fault.length for fault in self.scenario.faults if fault.type == SECOND_PROCESS
        )
        return RuleParameters(
            methods={
                method.name: MethodRule(method.effect, method.key_scope, method.key_window)
                for method in self.scenario.methods
            },
            hard_limits={
                plan.name: HardLimit(
                    plan.hard_limit_rate,
                    plan.hard_limit_burst,
                    plan.hard_limit_slack + plan.hard_limit_rate * second_process_s,
                )
                for plan in self.scenario.plans
                if plan.hard_limit_rate
            },
            groups={endpoint.name: (endpoint.pod, endpoint.zone) for endpoint in self.endpoints},
            answer_slack=self.answer_slack,
            drain_grace=world.drain_grace,
            cold=world.slow_start,
            cold_from=world.slow_start_minimum,
            multiple=world.multiple,
            overload_for=world.overload_for,
            mean_work=self.scenario.mean_work(),
        )

    # Records and trace.

    def record(self, record: Record) -> None:
        """Pass a record to the invariant checker, and store it if the run keeps records."""
        self.checker.observe(record)
        if self.keeps_records:
            self._records.append(record)

    def trace(self, component: str, text: str) -> None:
        """Store a line of the trace if the run keeps records."""
        if self.keeps_records:
            self._trace.append(TraceLine(self.events.now, component, text))

    def remember_name(self, rpc: Rpc, name: str) -> None:
        """Store the name of an RPC that has ended if the run keeps records."""
        if self.keeps_records:
            self._rpc_names[rpc] = name

    def name_of(self, rpc: Rpc) -> str:
        """Return the name of an RPC that has ended, for the record of a later action on it."""
        return self._rpc_names.get(rpc, UNKNOWN_RPC)

    # The load balancer in front of the gateways.

    def live_gateways(self) -> list[SimulatedGateway]:
        """Return all running gateway processes, including paused ones."""
        processes = [*self.gateways, *self.other_processes.values()]
        return [process for process in processes if process.is_alive]

    def on_gateway_death(self, gateway: SimulatedGateway) -> None:
        """Schedule the time at which the load balancer in front detects the death of a process."""
        delay = self.world.detection_delay * self._rng.random()
        self._undetected_until[gateway] = self.events.now + delay

    def appears_alive(self, gateway: SimulatedGateway) -> bool:
        """Return whether the load balancer in front considers a process alive."""
        return gateway.is_alive or self.events.now < self._undetected_until.get(gateway, 0.0)

    def pick_process(self, gateway: SimulatedGateway, rng: random.Random) -> SimulatedGateway:
        """Draw one process uniformly: the gateway or another live process under its name."""
        others = [
            process
            for process in self.other_processes.values()
            if process.is_alive and process.number == gateway.number and not process.is_superseded
        ]
        if not others:
            return gateway
        return rng.choice([gateway, *others])

    # Second processes and hot restarts.

    def add_second_process(self, number: int) -> SimulatedGateway:
        """Start a second process under the name of a gateway."""
        process = SimulatedGateway(self, number, f"g{number}'{len(self.other_processes)}")
        self.other_processes[process.name] = process
        process.start()
        return process

    def hot_restart(self, predecessor: SimulatedGateway) -> SimulatedGateway:
        """Start a successor process, which takes over the leases of its predecessor.

        The predecessor still answers the RPCs that it has received.
        """
        successor = SimulatedGateway(self, predecessor.number, f"{predecessor.name}+")
        successor.clock_offset = predecessor.clock_offset
        successor.start()
        successor.import_leases(predecessor, predecessor.export_leases())
        predecessor.is_superseded = True
        self.other_processes[predecessor.name] = predecessor
        self.gateways[predecessor.number] = successor
        return successor

    def undo_hot_restart(self, predecessor: SimulatedGateway, successor: SimulatedGateway) -> None:
        """Replace a failed successor by its predecessor, which starts again if it has died."""
        self.other_processes[successor.name] = successor
        self.gateways[predecessor.number] = predecessor
        successor.is_superseded = True
        predecessor.is_superseded = False
        self.other_processes.pop(predecessor.name, None)
        if predecessor.is_alive:
            predecessor.resume_leases()
        else:
            predecessor.start()

    # The run.

    def play(self) -> Run:
        """Play the scenario, give pending work time to finish, and return the results."""
        for gateway in self.gateways:
            gateway.start()
        last_event = max(
            [
                self.world.length,
                *(fault.at + fault.length + FAULT_SETTLE_S for fault in self.scenario.faults),
            ]
        )
        longest_deadline = max(method.deadline for method in self.scenario.methods)
        end = last_event + longest_deadline + SETTLE_S
        self.events.run_until(end)
        # A controller with access to its gateway reaches every object of the simulation, so a count
        # of retained objects would say nothing.
        if not needs_gateway(self.controller_factory):
            self._record_retained(end)
        return Run(
            self.scenario,
            self.checker.close(end),
            self.figures.summary(),
            self._records if self.keeps_records else None,
            self._trace if self.keeps_records else None,
        )

    def _record_retained(self, end: float) -> None:
        for gateway in self.live_gateways():
            for kind, count in count_retained(gateway).items():
                self.record(StateRetained(end, gateway.name, kind, count))


def _controller_settings(world: scenarios.World) -> dict[str, Any]:
    """Return the keyword arguments of the controller factory."""
    return {
        "uses_counter": True,
        "counter_timeout": world.counter_timeout,
        "may_cancel": world.may_cancel,
        "max_retry_after": world.max_retry_after,
        "slow_start": world.slow_start,
        "slow_start_minimum": world.slow_start_minimum,
        "cross_zone_price": 0.0,
        "must_watch": False,
    }
