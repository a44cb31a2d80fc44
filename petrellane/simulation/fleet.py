"""One run of a scenario: everything put together, played to its end and judged."""

import gc
from dataclasses import dataclass
from typing import Any

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.invariants import (
    HardLimit,
    InvariantChecker,
    MethodRule,
    StateRetained,
    Terms,
    Verdict,
)
from petrellane.simulation.clients import Figures, Source
from petrellane.simulation.counter import Counter
from petrellane.simulation.discovery import Discovery
from petrellane.simulation.event_queue import Heap, chance
from petrellane.simulation.faults import Faults
from petrellane.simulation.gateways import Node
from petrellane.simulation.hosts import Machine
from petrellane.simulation.network import Network
from petrellane.simulation.scenario import Scenario

ANSWER_SLACK = 0.05  # seconds past a deadline that an answer may come
OVER = 4.0  # seconds after the last deadline in which all has to come to rest


@dataclass
class Run:
    """What came of a scenario: the verdict, the clients' figures, and the records when they were kept."""

    scenario: Scenario
    verdict: Verdict
    figures: dict
    records: list | None = None
    trace: list | None = None

    @property
    def broken(self) -> list[str]:
        """The rules that were broken."""
        return sorted(self.verdict.counts)


def api_method(told, attempts: int) -> api.Method:
    return api.Method(
        told.name,
        told.soft_deadline,
        told.deadline,
        told.effect,
        told.scope,
        told.window,
        told.utility,
        told.late_utility,
        max_attempts=attempts,
    )


def api_plan(told) -> api.Plan:
    return api.Plan(
        told.name,
        told.rate,
        told.store,
        told.ceiling_rate,
        told.ceiling_burst,
        told.ceiling_slack,
        told.max_out,
        told.price,
    )


class Fleet:
    """The parties and what they share. `module` makes a gateway's decisions; the real one unless a test plants a fault."""

    def __init__(self, scenario: Scenario, module: Any = AdmissionController, keep: bool = False):
        world = self.world = scenario.world
        self.scenario, self.module, self.heap, self.network = (
            scenario,
            module,
            Heap(),
            Network(world),
        )
        self.answer_slack, self.answers_lost, self.worked = ANSWER_SLACK, 0.0, 0.0
        self.methods_told = scenario.methods
        self.methods = {one.name: api_method(one, world.max_call_outs) for one in scenario.methods}
        self.plans = {one.name: api_plan(one) for one in scenario.plans}
        self.records, self.trace, self.ids = ([], [], {}) if keep else (None, None, {})
        self.keys, self.rng = {}, chance(world.seed, "front")
        self.settings = dict(
            uses_counter=True,
            counter_timeout=world.counter_timeout,
            may_cancel=world.may_cancel,
            max_retry_after=world.max_wait,
            slow_start=world.cold,
            slow_start_minimum=world.cold_from,
            cross_zone_price=0.0,
            must_watch=False,
        )
        self.machines = [Machine(self, number) for number in range(world.hosts)]
        self.machines_by_name = {machine.name: machine for machine in self.machines}
        self.checker = InvariantChecker(self.terms())
        self.counter, self.discovery = Counter(self), Discovery(self)
        self.nodes = [Node(self, number) for number in range(world.gateways)]
        self.twins, self.down_at = {}, {}
        self.figures = Figures(self)
        self.sources = [Source(self, customer) for customer in scenario.customers]
        Faults(self, scenario.faults)

    def terms(self) -> Terms:
        """The rules of this scenario. Two processes under one name may pass a ceiling by what the second one's share
        fills in while both serve: that much is allowed for, at a share of one, and no more."""
        world = self.world
        beside = sum(
            fault.length for fault in self.scenario.faults if fault.what == "gateway twice"
        )
        return Terms(
            methods={
                one.name: MethodRule(one.effect, one.scope, one.window) for one in self.methods_told
            },
            hard_limits={
                one.name: HardLimit(
                    one.ceiling_rate,
                    one.ceiling_burst,
                    one.ceiling_slack + one.ceiling_rate * beside,
                )
                for one in self.scenario.plans
                if one.ceiling_rate
            },
            groups={machine.name: (machine.pod, machine.zone) for machine in self.machines},
            answer_slack=self.answer_slack,
            drain_grace=world.drain_grace,
            cold=world.cold,
            cold_from=world.cold_from,
            multiple=world.multiple,
            overload_for=world.overload_for,
            mean_work=self.scenario.mean_work(),
        )

    def note(self, record):
        """Hand a record to the invariant checker, and keep it where a person will read the run."""
        self.checker.observe(record)
        if self.records is not None:
            self.records.append(record)

    def mark(self, text):
        if self.trace is not None:
            self.trace.append((self.heap.now, "", text))

    # gateways as the front sees them

    def living(self):
        return [node for node in [*self.nodes, *self.twins.values()] if node.alive]

    def died(self, node):
        self.down_at[node] = self.heap.now + self.world.notice * self.rng.random()

    def front_sees(self, node):
        return node.alive or self.heap.now < self.down_at.get(node, 0.0)

    def add_twin(self, number):
        """A second process under the name of a gateway."""
        twin = Node(self, number, f"g{number}'{len(self.twins)}")
        self.twins[twin.name] = twin
        twin.start()
        return twin

    def follow(self, old):
        """Another process takes the place of one, which passes on what it has and answers what it took."""
        new = Node(self, old.number, f"{old.name}+")
        new.offset = old.offset
        new.start()
        new.taken_over(old, old.given())
        old.leaving, self.twins[old.name], self.nodes[old.number] = True, old, new
        return new

    def unfollow(self, old, new):
        """It is gone again: the one before takes its place."""
        self.twins[new.name], self.nodes[old.number], new.leaving, old.leaving = (
            new,
            old,
            True,
            False,
        )
        self.twins.pop(old.name, None)
        if old.alive:
            old.resumed()
        else:
            old.start()

    def twin(self, node, rng):
        """The gateway, or with even odds a second process under its name."""
        twins = [
            twin
            for twin in self.twins.values()
            if twin.alive and twin.number == node.number and not twin.leaving
        ]
        return rng.choice([node, *twins]) if twins else node

    # the run

    def play(self) -> Run:
        """Play the scenario to its end, until all has come to rest, and judge it."""
        for node in self.nodes:
            node.start()
        last = max(
            [self.world.length, *(fault.at + fault.length + 0.5 for fault in self.scenario.faults)]
        )
        end = last + max(method.deadline for method in self.scenario.methods) + OVER
        self.heap.run(end)
        for node in self.living() if not getattr(self.module, "sees_node", False) else ():
            for kind, count in remains(node).items():
                self.note(StateRetained(end, node.name, kind, count))
        return Run(
            self.scenario, self.checker.close(end), self.figures.summary(), self.records, self.trace
        )


def remains(node) -> dict[str, int]:
    """How many RPCs and call-outs a gateway still reaches, from the module down, and its open ones."""
    found, seen, look = (
        {"open RPCs": len(node.open), "attempts": len(node.pending_attempts)},
        set(),
        [node.gateway],
    )
    while look:
        thing = look.pop()
        if (
            id(thing) in seen
            or isinstance(thing, (type, str, float, int))
            or type(thing).__name__ == "module"
        ):
            continue
        seen.add(id(thing))
        if isinstance(thing, (api.Rpc, actions.SendAttempt)):
            name = "RPCs" if isinstance(thing, api.Rpc) else "call-outs"
            found[name] = found.get(name, 0) + 1
        elif callable(thing) and not hasattr(thing, "__self__"):
            continue
        look += [
            one for one in gc.get_referents(thing) if not isinstance(one, (float, int, str, type))
        ]
    return found
