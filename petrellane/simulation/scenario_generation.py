"""Generates scenarios from seeds, biased toward rare conditions.

Examples are overlapping faults, faults at the start of a quota window and faults during recovery.
The order of the random draws determines the scenario of a seed: an added or moved draw changes the
scenarios of all seeds.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT
from petrellane.simulation import VERSION
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.scenario import (
    FAULT_TYPES,
    Customer,
    Fault,
    Method,
    Plan,
    Scenario,
    World,
)


class Range(NamedTuple):
    """The bounds of a uniform distribution."""

    minimum: float
    maximum: float


class Theme(NamedTuple):
    """A bias of generated scenarios toward related faults.

    Attributes:
        fault_types: The fault types to draw from; a repeated type is drawn more often.
        counts: The numbers of faults to draw from.
    """

    fault_types: Sequence[str]
    counts: Sequence[int]


HOT_RESTART = "gateway followed"

MAGNITUDES = {
    "gateways killed": Range(0.3, 1.0),
    "host slow": Range(2.0, 12.0),
    "host fails": Range(0.3, 1.0),
    "hosts drain": Range(0.3, 0.99),
    "answers lost": Range(0.1, 0.9),
    "messages late": Range(0.02, 0.5),
    "counter slow": Range(2.0, 40.0),
    "counter forgets": Range(0.3, 1.0),
    "counter rolled back": Range(0.2, 4.0),
    "list late": Range(0.5, 3.0),
    "flood": Range(2.0, 8.0),
    HOT_RESTART: Range(0.0, 1.0),
}
NO_MAGNITUDE = Range(0.0, 0.0)

# Drawing the excluded types would change the scenarios of existing seeds; `with_hot_restarts` adds
# hot restarts to a generated scenario.
GENERATED_FAULTS = tuple(
    name for name in FAULT_TYPES if name != HOT_RESTART and not name.startswith("discovery")
)

# A fault type that is listed twice is drawn twice as often.
HARD_LIMIT_FAULTS = (
    "counter forgets",
    "counter replaced",
    "counter replaced",
    "counter rolled back",
    "counter split",
    "counter silent",
    "counter refuses",
    "counter cut",
    "counter slow",
    "zone cut",
    "gateway killed",
    "gateways killed",
    "gateway paused",
    "gateway twice",
    "flood",
)
INCARNATION_FAULTS = (
    "gateways killed",
    "gateways killed",
    "gateway twice",
    "gateway killed",
    "counter replaced",
    "counter cut",
)
COLD_START_FAULTS = (
    "host killed",
    "hosts drain",
    "host drains",
    "zone restarts",
    "host hangs",
    "flood",
    "gateways killed",
    "list late",
    "zone cut",
)
EFFECT_FAULTS = (
    "answers lost",
    "messages late",
    "host hangs",
    "host vanished",
    "host killed",
    "zone deaf",
    "zone cut",
    "host slow",
    "gateway paused",
    "list late",
)

COLD_START = "cold starts"
THEMES = {
    "any": Theme(GENERATED_FAULTS, (1, 2, 2, 3, 3, 4)),
    "hard limits": Theme(HARD_LIMIT_FAULTS, (2, 3, 4)),
    "incarnations": Theme(INCARNATION_FAULTS, (3, 4, 5)),
    COLD_START: Theme(COLD_START_FAULTS, (1, 2, 3)),
    "effects": Theme(EFFECT_FAULTS, (1, 2, 3)),
}
HOT_THEMES = ("hard limits", "incarnations")
"""Themes in which the customer with the hard limit requests more units than the limit allows."""

MIN_ENDPOINT_RPCS_PER_S = 10.0
"""The minimum capacity of an endpoint, in RPCs per second.

Fractions of RPCs cannot be measured on a few large ones.
"""

MAX_RATE_PER_S = 40.0  # RPCs per second of one customer
MAX_FAULTS = 6  # a mutation adds no fault to a scenario with this many
MAX_FAULT_LENGTH_S = 10.0  # maximum after a mutation
TARGET_COUNT = 64  # targets are drawn below this; a run takes them modulo the number of objects


def generate_scenario(seed: int) -> Scenario:
    """Generate the scenario of a seed, which is the same on every machine."""
    rng = seeded_random("scenario", seed)
    theme = rng.choice(list(THEMES))
    is_hot = theme in HOT_THEMES
    gateways = rng.choice((3, 5, 6) if is_hot else (2, 2, 3, 3, 4, 5, 6))
    endpoints = rng.choice((2, 3, 4) if theme == COLD_START else (3, 4, 5, 6, 8, 10))
    work = rng.uniform(0.01, 0.06)
    plans = _generate_plans(rng)
    customers = _generate_customers(rng, theme, plans, gateways)
    methods = _generate_methods(rng, work)
    busy_cores = 1.5 * work * 1.5 * sum(customer.rate for customer in customers)
    load = rng.choice((0.2, 0.4) if is_hot else (0.3, 0.6, 0.8, 1.2))
    cores = max(MIN_ENDPOINT_RPCS_PER_S * work, busy_cores / endpoints / load)
    world = _generate_world(rng, gateways, endpoints, round(cores, 4), is_hot)
    scenario = Scenario(world, plans, methods, customers)
    faults: list[Fault] = []
    for _ in range(rng.choice(THEMES[theme].counts)):
        fault_type = rng.choice(THEMES[theme].fault_types)
        faults.append(_generate_fault(rng, scenario, faults, fault_type))
    return scenario.replace(faults=tuple(faults))


def _generate_plans(rng: random.Random) -> tuple[Plan, ...]:
    """Generate three plans: one with a small quota, one with a hard limit, one without a quota."""
    rate = rng.uniform(3.0, 8.0)
    burst = rate * rng.uniform(0.5, 2.5)
    hard_limit = rng.uniform(1.1, 2.2)
    hard_limit_burst = burst * hard_limit
    return (
        Plan("small", round(rng.uniform(1.0, 4.0), 2), round(rng.uniform(3.0, 9.0), 2), price=0.8),
        Plan(
            "chain",
            round(rate, 2),
            round(burst, 2),
            round(rate * hard_limit, 2),
            round(hard_limit_burst, 2),
            round(max(3.0, 0.1 * hard_limit_burst), 2),
            price=1.8,
        ),
        Plan("open", 0.0, 0.0, max_in_flight=rng.choice((0, 0, 3))),
    )


def _generate_customers(
    rng: random.Random, theme: str, plans: tuple[Plan, ...], gateways: int
) -> tuple[Customer, ...]:
    """Generate one to four customers.

    The first one has a hard limit. In a hot theme its RPCs per second are 0.7, 1.5 or 3 times the
    units per second of the limit.
    """
    is_hot = theme in HOT_THEMES
    customers = []
    for number in range(rng.choice((1, 2) if is_hot else (2, 3, 4))):
        plan = plans[1] if number == 0 else rng.choice(plans)
        if is_hot and number == 0:
            rate = plan.hard_limit_rate * rng.choice((0.7, 1.5, 3.0))
        elif theme == COLD_START and number == 1:
            plan = plans[2]
            rate = rng.uniform(20.0, 40.0)
        else:
            rate = (plan.rate or 5.0) * rng.choice((0.4, 0.8, 1.5))
        customers.append(
            Customer(
                f"c{number}",
                plan.name,
                round(min(MAX_RATE_PER_S, max(0.5, rate)), 2),
                rng.randrange(gateways),
                rng.randint(1, gateways) if number else gateways,
                3 if plan.hard_limit_rate else rng.choice((1, 2)),
                rng.choice((0.0, 0.0, 0.7) if is_hot else (0.0, 0.5, 0.95)),
                rng.choice((0.0, 0.3, 1.0) if is_hot else (0.0, 0.0, 1.0, 2.0)),
            )
        )
    return tuple(customers)


def _generate_methods(rng: random.Random, work: float) -> tuple[Method, ...]:
    """Generate one method of each effect."""
    return (
        Method("look", IDEMPOTENT, 0.5, round(work, 4), 0.5, rng.choice((1.0, 2.0))),
        Method(
            "lodge",
            DEDUPLICATED,
            0.3,
            round(2 * work, 4),
            0.8,
            2.0,
            rng.choice(("all", "zone", "cell")),
            rng.choice((0.8, 1.5, 2.5)),
            3.0,
            0.2,
        ),
        Method(
            "post",
            NON_IDEMPOTENT,
            0.2,
            round(2 * work, 4),
            0.8,
            2.0,
            priority_weight=3.0,
            late_priority_weight=0.5,
        ),
    )


def _generate_world(
    rng: random.Random, gateways: int, endpoints: int, cores: float, is_hot: bool
) -> World:
    return World(
        VERSION,
        rng.getrandbits(32),
        round(rng.uniform(5.0, 9.0), 2),
        gateways,
        endpoints,
        rng.choice((1, 2, 3)),
        rng.choice((1, 2, 3)),
        cores=cores,
        slots=rng.choice((4, 8)),
        queue=rng.choice((4, 16, 40)),
        cancel=rng.random() < 0.5,
        latency=rng.choice((0.0005, 0.002, 0.005)),
        clock_skew=rng.choice((0.0, 0.05, 0.5)),
        detection_delay=rng.uniform(0.2, 2.5),
        retries=rng.choice((0, 1, 2)),
        patience=1.0 if is_hot else rng.choice((0.02, 0.4, 1.0, 1.0)),
        counter_parts=rng.choice((1, 2)),
        counter_per_s=rng.choice((150.0, 1500.0)),
        counter_timeout=rng.choice((0.03, 0.08)),
        slow_start=rng.uniform(3.0, 8.0),
        slow_start_minimum=rng.uniform(0.15, 0.5),
        max_attempts=rng.choice((2, 4)),
        may_cancel=rng.random() < 0.7,
    )


def _generate_fault(
    rng: random.Random, scenario: Scenario, earlier: Sequence[Fault], name: str
) -> Fault:
    """Generate a fault of a type, often close in time to one of the earlier faults."""
    fault_type = FAULT_TYPES[name]
    magnitude = 0.0
    if name in MAGNITUDES:
        magnitude = rng.uniform(*MAGNITUDES[name])
    return Fault(
        name,
        round(_generate_fault_time(rng, scenario, earlier), 3),
        round(rng.uniform(fault_type.min_length, fault_type.max_length), 3),
        rng.randrange(TARGET_COUNT),
        round(magnitude, 3),
    )


def _generate_fault_time(rng: random.Random, scenario: Scenario, earlier: Sequence[Fault]) -> float:
    """Generate the start of a fault, in seconds of the run.

    The start is near the start, middle or end of an earlier fault, near the start of a quota window
    of some plan, or uniform over the run.
    """
    length = scenario.world.length
    kind = rng.random()
    if earlier and kind < 0.45:
        other = rng.choice(earlier)
        offset = rng.choice((0.0, 0.5, 1.0)) * other.length
        return max(0.0, other.at + offset + rng.uniform(-0.3, 0.3))
    if kind < 0.65:
        plan = rng.choice(scenario.plans)
        window = plan.burst / plan.rate if plan.rate else 1.0
        window_start = window * rng.randint(0, int(length / window))
        return max(0.0, window_start + rng.uniform(-0.05, 0.05))
    return rng.uniform(0.2, 0.9) * length


def with_hot_restarts(scenario: Scenario, seed: int) -> Scenario:
    """Add one to three hot restarts to a scenario, often close in time to its faults.

    Their magnitudes decide whether the hot restart completes or fails, and how.
    """
    rng = seeded_random("followed", seed)
    faults = list(scenario.faults)
    for _ in range(rng.choice((1, 2, 3))):
        faults.append(_generate_fault(rng, scenario, faults, HOT_RESTART))
    return scenario.replace(faults=tuple(faults))


def mutate(scenario: Scenario, seed: int) -> Scenario:
    """Return the scenario with another seed of its random numbers and one random change.

    The change adds, replaces or shifts a fault, or raises the rate of a customer.
    """
    rng = seeded_random("neighbour", seed)
    faults = list(scenario.faults)
    customers = list(scenario.customers)
    kind = rng.random()
    if (kind < 0.25 and len(faults) < MAX_FAULTS) or not faults:
        faults.append(_generate_fault(rng, scenario, faults, rng.choice(GENERATED_FAULTS)))
    elif kind < 0.4:
        index = rng.randrange(len(faults))
        others = faults[:index] + faults[index + 1 :]
        faults[index] = _generate_fault(rng, scenario, others, rng.choice(GENERATED_FAULTS))
    elif kind < 0.8:
        index = rng.randrange(len(faults))
        faults[index] = _perturb_fault(rng, faults[index])
    else:
        index = rng.randrange(len(customers))
        rate = round(min(MAX_RATE_PER_S, customers[index].rate * 1.5), 2)
        customers[index] = msgspec.structs.replace(customers[index], rate=rate)
    world = msgspec.structs.replace(scenario.world, seed=rng.getrandbits(32))
    return scenario.replace(world=world, customers=tuple(customers), faults=tuple(faults))


def _perturb_fault(rng: random.Random, fault: Fault) -> Fault:
    """Return the fault with small random changes of its start, length and magnitude."""
    at = max(0.0, fault.at + rng.gauss(0.0, 0.4))
    length = min(MAX_FAULT_LENGTH_S, fault.length * rng.uniform(0.6, 1.6))
    largest = MAGNITUDES.get(fault.type, NO_MAGNITUDE).maximum
    magnitude = min(largest, fault.magnitude * rng.uniform(0.8, 1.25))
    return msgspec.structs.replace(
        fault, at=round(at, 3), length=round(length, 3), magnitude=round(magnitude, 3)
    )
