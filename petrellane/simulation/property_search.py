"""Looks through scenarios for a broken rule, over all cores, and cuts down what it finds.

A hunt goes in rounds: one part of a round is drawn afresh from seeds, the other consists of neighbours of the scenarios
that came nearest to a rule so far. What a round plays hangs on the hunt's first seed and the rounds before it alone, so
a hunt gives the same verdict on any number of cores.
"""

import heapq
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import msgspec

from petrellane.invariants import RULES
from petrellane.simulation.fleet import Fleet, Run
from petrellane.simulation.scenario import Expect, Fault, Scenario, World, check
from petrellane.simulation.scenario_generation import draw, mutate

ROUND = 256  # scenarios of a round
FRESH = 0.6  # share of a round that is drawn afresh
KEPT = 6  # nearest scenarios that are kept for each rule
BINS = 20  # of a histogram of nearest distances, from 0 to 1


@dataclass
class Found:
    """A scenario that broke rules, by which name it is known, and how often it broke each."""

    name: str
    scenario: Scenario
    counts: dict


@dataclass
class Tally:
    """What a hunt has seen so far: runs, breaks, the nearest distance to each rule and how runs are spread over it."""

    runs: int = 0
    found: list[Found] = field(default_factory=list)
    nearest: dict = field(default_factory=lambda: dict.fromkeys(RULES, 0.0))
    spread: dict = field(default_factory=lambda: {rule: [0] * (BINS + 1) for rule in RULES})
    ok: float = 0.0

    def take(self, name, scenario, counts, nearest, figures):
        self.runs += 1
        self.ok += figures["ok share"]
        if counts:
            self.found.append(Found(name, scenario, counts))
        for rule, near in nearest.items():
            self.nearest[rule] = max(self.nearest[rule], near)
            self.spread[rule][min(BINS, int(near * BINS))] += 1


def measure(job):
    """One run for a worker: plain values alone go back."""
    name, scenario = job
    run = Fleet(scenario).play()
    return name, scenario, run.verdict.counts, run.verdict.nearest, run.figures


class Pool:
    """The scenarios that came nearest to each rule without breaking it."""

    def __init__(self):
        self.kept, self.count = {rule: [] for rule in RULES}, 0

    def offer(self, scenario, nearest):
        for rule, near in nearest.items():
            if 0.0 < near < 1.0:
                self.count += 1
                heapq.heappush(self.kept[rule], (near, -self.count, scenario))
                if len(self.kept[rule]) > KEPT:
                    heapq.heappop(self.kept[rule])

    def parents(self):
        return [
            entry[2]
            for rule in RULES
            for entry in sorted(self.kept[rule], key=lambda entry: entry[:2])
        ]


def jobs(first, done, size, pool):
    """The scenarios of the next round, each with a name that tells where it comes from."""
    parents = pool.parents()
    fresh = size if not parents else max(1, round(size * FRESH))
    for at in range(fresh):
        yield f"seed {first + done + at}", draw(first + done + at)
    for at in range(size - fresh):
        number = first + done + fresh + at
        yield f"neighbour {number}", mutate(parents[at % len(parents)], number)


def hunt(
    first: int,
    runs: int,
    workers: int = 0,
    enough: int = 1,
    told: Callable[[Tally], None] = lambda tally: None,
) -> Tally:
    """Play so many scenarios, from a first seed, until `enough` have broken a rule; `told` hears of progress."""
    tally, pool = Tally(), Pool()
    with ProcessPoolExecutor(workers or os.cpu_count() or 1) as workers_pool:
        while tally.runs < runs and len(tally.found) < enough:
            size = min(ROUND, runs - tally.runs)
            for result in workers_pool.map(
                measure, list(jobs(first, tally.runs, size, pool)), chunksize=4
            ):
                tally.take(*result)
                if not result[2]:
                    pool.offer(result[1], result[3])
                if tally.runs % 16 == 0 or tally.runs == runs:
                    told(tally)
    return tally


# cutting down


def smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Scenarios that differ from this one by something less, the largest cuts first."""
    world, faults, customers = scenario.world, scenario.faults, scenario.customers
    for at in range(len(faults)):
        yield scenario.but(faults=faults[:at] + faults[at + 1 :])
    for at in range(len(customers) if len(customers) > 1 else 0):
        yield scenario.but(customers=customers[:at] + customers[at + 1 :])
    for gateways in {1, world.gateways // 2, world.gateways - 1} - {0, world.gateways}:
        yield scenario.but(world=msgspec.structs.replace(world, gateways=gateways))
    for hosts in {1, world.hosts // 2, world.hosts - 1} - {0, world.hosts}:
        yield scenario.but(world=msgspec.structs.replace(world, hosts=hosts))
    for change in (
        dict(zones=1),
        dict(retries=0),
        dict(skew=0.0),
        dict(counter_parts=1),
        dict(patience=1.0),
    ):
        yield scenario.but(world=msgspec.structs.replace(world, **change))
    for at, customer in enumerate(customers):
        for change in (
            dict(rate=round(customer.rate / 2, 2)),
            dict(units=1),
            dict(moves=0.0),
            dict(skew=0.0),
        ):
            yield scenario.but(
                customers=replaced(customers, at, msgspec.structs.replace(customer, **change))
            )
    for at, fault in enumerate(faults):
        if fault.length > 0.2:
            yield scenario.but(
                faults=replaced(
                    faults, at, msgspec.structs.replace(fault, length=round(fault.length / 2, 3))
                )
            )
    used = {customer.plan for customer in customers}
    if len(used) < len(scenario.plans):
        yield scenario.but(plans=tuple(plan for plan in scenario.plans if plan.name in used))
    for at in range(len(scenario.methods) if len(scenario.methods) > 1 else 0):
        yield scenario.but(methods=scenario.methods[:at] + scenario.methods[at + 1 :])


def replaced(parts, at, part):
    return parts[:at] + (part,) + parts[at + 1 :]


def sound(scenario):
    return not any(
        check(part, {plan.name for plan in scenario.plans})
        for part in (scenario.world, *scenario.customers, *scenario.faults)
    )


def breaks(scenario: Scenario, rule: str, module=None) -> Run | None:
    """The run, when it breaks the rule."""
    run = (Fleet(scenario, module) if module else Fleet(scenario)).play()
    return run if rule in run.verdict.counts else None


def cut_down(scenario: Scenario, rule: str, most: int = 400, module=None) -> Scenario:
    """The smallest scenario found, in so many runs at the most, that still breaks the rule."""
    run, tries = breaks(scenario, rule, module), 0
    if run is None:
        return scenario
    while tries < most:
        for less in [shorter(scenario, run, rule), *smaller(scenario)]:
            if less == scenario or not sound(less):
                continue
            tries += 1
            if tries >= most:
                break
            if now := breaks(less, rule, module):
                scenario, run = less, now
                break
        else:
            break
    return scenario.but(expect=Expect(sorted(run.verdict.counts)))


def shorter(scenario, run, rule):
    """The same up to the first break of the rule, without the faults that come after it."""
    first = min(
        (one.at for one in run.verdict.violations if one.rule == rule),
        default=scenario.world.length,
    )
    world: World = scenario.world
    if first + 0.1 < world.length:
        world = msgspec.structs.replace(world, length=round(first + 0.1, 3))
    faults: tuple[Fault, ...] = tuple(fault for fault in scenario.faults if fault.at <= first)
    return scenario.but(world=world, faults=faults)
