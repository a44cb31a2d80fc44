"""One run of a scenario: everything put together, played to its end and judged."""

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
from petrellane.simulation.endpoints import KeyGroup, KeyMemory, SimulatedEndpoint
from petrellane.simulation.event_queue import EventQueue, seeded_random
from petrellane.simulation.faults import FaultInjector
from petrellane.simulation.figures import FigureCollector, ServiceFigures
from petrellane.simulation.gateways import SimulatedGateway
from petrellane.simulation.network import Network
from petrellane.simulation.retained_state import count_retained
from petrellane.simulation.scenario import Scenario

ANSWER_SLACK_S = 0.05  # seconds past a deadline that an answer may come
SETTLE_S = 4.0  # seconds after the last deadline in which everything has to come to rest
FAULT_SETTLE_S = 0.5  # seconds after a fault in which what it broke comes back

UNKNOWN_RPC = "unknown"

SECOND_PROCESS = "gateway twice"


class TraceLine(NamedTuple):
    """What somebody did that is no record; `party` is empty for the run itself."""

    at: float
    party: str
    text: str


@dataclass
class Run:
    """What came of a scenario.

    Attributes:
        scenario: What was played.
        verdict: By the rules.
        figures: What clients got.
        records: In the order of time; None unless they were kept.
        trace: In the order of time; None unless records were kept.
    """

    scenario: Scenario
    verdict: Verdict
    figures: ServiceFigures
    records: list[Record] | None = None
    trace: list[TraceLine] | None = None

    @property
    def broken(self) -> list[str]:
        """The rules that were broken."""
        return sorted(self.verdict.counts)


def make_method(settings: scenarios.Method, max_attempts: int) -> Method:
    """A method of a scenario as the decisions know it."""
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
    """A plan of a scenario as the decisions know it."""
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
    """One run: its parties, and what they share. It is played once.

    Attributes:
        scenario: What is played.
        world: Of the scenario.
        controller_factory: Makes the controller of each gateway process.
        controller_settings: What it is made with, beside seed and zone.
        keeps_records: Whether records and a trace are kept, for a person to read.
        events: Simulated time.
        network: The links.
        methods: By name, as the decisions know them.
        plans: By name, likewise.
        answer_slack: Seconds past a deadline that an answer may come.
        lost_answer_rate: The fraction of answers that faults lose.
        idempotency_keys: The keys that groups of endpoints remember.
        endpoints: By number.
        endpoints_by_name: The same by name.
        counter: The shared counter.
        discovery: The endpoint list.
        gateways: By number: the processes that have their places.
        other_processes: Further processes under the name of a gateway, by their own names.
        figures: What clients get.
        clients: Of each customer.
        checker: Judges the records.
    """

    def __init__(
        self,
        scenario: Scenario,
        controller_factory: ControllerFactory = AdmissionController,
        keep_records: bool = False,
    ) -> None:
        """Put a run together.

        Args:
            scenario: What to play.
            controller_factory: Makes controllers; the real one unless a test plants a fault.
            keep_records: Whether the run is to have records and a trace.
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
        self.idempotency_keys: dict[KeyGroup, KeyMemory] = {}
        self._records: list[Record] = []
        self._trace: list[TraceLine] = []
        self._rpc_names: dict[Rpc, str] = {}
        self._rng = seeded_random(world.seed, "front")
        # Until when the front does not know that a process has died.
        self._undetected_until: dict[SimulatedGateway, float] = {}
        self.other_processes: dict[str, SimulatedGateway] = {}
        self._make_parties()

    def _make_parties(self) -> None:
        """Make all parties; those that schedule events first have them first."""
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
        """The figures of the rules in this scenario.

        Two processes under one name may pass a hard limit by what the second one's share fills in
        while both serve: that much is allowed for, at a share of one, and no more.
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

    # What is seen of the run.

    def record(self, record: Record) -> None:
        """Hand a record to the checker, and keep it where records are kept."""
        self.checker.observe(record)
        if self.keeps_records:
            self._records.append(record)

    def trace(self, party: str, text: str) -> None:
        """Keep a line of the trace where records are kept."""
        if self.keeps_records:
            self._trace.append(TraceLine(self.events.now, party, text))

    def remember_name(self, rpc: Rpc, name: str) -> None:
        """Keep the name of an RPC that is over, where records are kept."""
        if self.keeps_records:
            self._rpc_names[rpc] = name

    def name_of(self, rpc: Rpc) -> str:
        """The name of an RPC that is over, for the record of an action on it."""
        return self._rpc_names.get(rpc, UNKNOWN_RPC)

    # Gateways as the front sees them.

    def living_gateways(self) -> list[SimulatedGateway]:
        """All gateway processes that run."""
        processes = [*self.gateways, *self.other_processes.values()]
        return [process for process in processes if process.is_alive]

    def on_gateway_death(self, gateway: SimulatedGateway) -> None:
        """A process has died; the front detects it later."""
        delay = self.world.detection_delay * self._rng.random()
        self._undetected_until[gateway] = self.events.now + delay

    def front_sees(self, gateway: SimulatedGateway) -> bool:
        """Whether the front believes that a process runs."""
        return gateway.is_alive or self.events.now < self._undetected_until.get(gateway, 0.0)

    def pick_process(self, gateway: SimulatedGateway, rng: random.Random) -> SimulatedGateway:
        """The gateway, or with even odds another process under its name."""
        others = [
            process
            for process in self.other_processes.values()
            if process.is_alive and process.number == gateway.number and not process.is_superseded
        ]
        if not others:
            return gateway
        return rng.choice([gateway, *others])

    # Further processes under the name of a gateway.

    def add_second_process(self, number: int) -> SimulatedGateway:
        """Start a second process under the name of a gateway."""
        process = SimulatedGateway(self, number, f"g{number}'{len(self.other_processes)}")
        self.other_processes[process.name] = process
        process.start()
        return process

    def hot_restart(self, predecessor: SimulatedGateway) -> SimulatedGateway:
        """Start a process that takes the place of another one.

        The predecessor hands over what it has, and still answers what it took.
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
        """The successor is gone: its predecessor takes its place again."""
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
        """Play the scenario until everything has come to rest, and judge it."""
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
        # A controller that sees the simulation reaches all of it.
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
        for gateway in self.living_gateways():
            for kind, count in count_retained(gateway).items():
                self.record(StateRetained(end, gateway.name, kind, count))


def _controller_settings(world: scenarios.World) -> dict[str, Any]:
    """What controllers are made with, by keyword."""
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
