"""Scenarios from a seed, biased toward what is rare: faults in pairs and threes, at window turns, during recovery."""

import msgspec

from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT
from petrellane.simulation import VERSION
from petrellane.simulation.event_queue import chance
from petrellane.simulation.scenario import FAULTS, Customer, Fault, Method, Plan, Scenario, World

SIZES = {
    "gateways killed": (0.3, 1.0),
    "host slow": (2.0, 12.0),
    "host fails": (0.3, 1.0),
    "hosts drain": (0.3, 0.99),
    "answers lost": (0.1, 0.9),
    "messages late": (0.02, 0.5),
    "counter slow": (2.0, 40.0),
    "counter forgets": (0.3, 1.0),
    "counter rolled back": (0.2, 4.0),
    "list late": (0.5, 3.0),
    "flood": (2.0, 8.0),
    "gateway followed": (0.0, 1.0),
}


def fault_at(rng, scenario, earlier):
    """When: anywhere, at a window's turn of some plan, or as an earlier fault begins or ends."""
    length = scenario.world.length
    kind = rng.random()
    if earlier and kind < 0.45:
        other = rng.choice(earlier)
        return max(
            0.0, other.at + rng.choice((0.0, 0.5, 1.0)) * other.length + rng.uniform(-0.3, 0.3)
        )
    if kind < 0.65:
        plan = rng.choice(scenario.plans)
        window = plan.store / plan.rate if plan.rate else 1.0
        turn = window * rng.randint(0, int(length / window))
        return max(0.0, turn + rng.uniform(-0.05, 0.05))
    return rng.uniform(0.2, 0.9) * length


def draw_fault(rng, scenario, earlier, what):
    """One fault, near the others as often as not."""
    least, most = FAULTS[what][2]
    size = rng.uniform(*SIZES[what]) if what in SIZES else 0.0
    return Fault(
        what,
        round(fault_at(rng, scenario, earlier), 3),
        round(rng.uniform(least, most), 3),
        rng.randrange(64),
        round(size, 3),
    )


DRAWN = tuple(
    what for what in FAULTS if what != "gateway followed" and not what.startswith("discovery")
)
# by `draw`, whose seeds stay what they were; a gateway that is followed is added by `followed`
THEMES = {  # what a scenario is mostly about: (faults that it draws from, or all; how many)
    "any": (DRAWN, (1, 2, 2, 3, 3, 4)),
    "ceilings": (
        (
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
        ),
        (2, 3, 4),
    ),
    "lives": (
        (
            "gateways killed",
            "gateways killed",
            "gateway twice",
            "gateway killed",
            "counter replaced",
            "counter cut",
        ),
        (3, 4, 5),
    ),
    "cold": (
        (
            "host killed",
            "hosts drain",
            "host drains",
            "zone restarts",
            "host hangs",
            "flood",
            "gateways killed",
            "list late",
            "zone cut",
        ),
        (1, 2, 3),
    ),
    "effects": (
        (
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
        ),
        (1, 2, 3),
    ),
}

HOT = ("ceilings", "lives")  # themes in which the customer with the ceiling asks for more than it

LEAST = 10.0  # work of one RPC that a host does in a second at least: of a few large ones no share can be told


def draw_plans(rng):
    """Three plans: one of small customers, one with a ceiling, one without a quota."""
    rate = rng.uniform(3.0, 8.0)
    store, ceiling = rate * rng.uniform(0.5, 2.5), rng.uniform(1.1, 2.2)
    burst = store * ceiling
    return (
        Plan("small", round(rng.uniform(1.0, 4.0), 2), round(rng.uniform(3.0, 9.0), 2), price=0.8),
        Plan(
            "chain",
            round(rate, 2),
            round(store, 2),
            round(rate * ceiling, 2),
            round(burst, 2),
            round(max(3.0, 0.1 * burst), 2),
            price=1.8,
        ),
        Plan("open", 0.0, 0.0, max_out=rng.choice((0, 0, 3))),
    )


def draw_customers(rng, theme, plans, gateways):
    """Two to four customers; the first has the ceiling, and is hot where that is what the scenario is about."""
    customers = []
    for number in range(rng.choice((2, 3, 4)) if theme not in HOT else rng.choice((1, 2))):
        plan = plans[1] if number == 0 else rng.choice(plans)
        if theme in HOT and number == 0:
            rate = plan.ceiling_rate * rng.choice((0.7, 1.5, 3.0))
        elif theme == "cold" and number == 1:
            plan, rate = plans[2], rng.uniform(20.0, 40.0)
        else:
            rate = (plan.rate or 5.0) * rng.choice((0.4, 0.8, 1.5))
        customers.append(
            Customer(
                f"c{number}",
                plan.name,
                round(min(40.0, max(0.5, rate)), 2),
                rng.randrange(gateways),
                rng.randint(1, gateways) if number else gateways,
                3 if plan.ceiling_rate else rng.choice((1, 2)),
                rng.choice((0.0, 0.5, 0.95) if theme not in HOT else (0.0, 0.0, 0.7)),
                rng.choice((0.0, 0.0, 1.0, 2.0) if theme not in HOT else (0.0, 0.3, 1.0)),
            )
        )
    return tuple(customers)


def draw(seed) -> Scenario:
    """The scenario of a seed, the same on every machine."""
    rng = chance("scenario", seed)
    theme = rng.choice(list(THEMES))
    gateways = rng.choice((2, 2, 3, 3, 4, 5, 6) if theme not in HOT else (3, 5, 6))
    hosts = rng.choice((3, 4, 5, 6, 8, 10)) if theme != "cold" else rng.choice((2, 3, 4))
    work = rng.uniform(0.01, 0.06)
    plans = draw_plans(rng)
    customers = draw_customers(rng, theme, plans, gateways)
    methods = (
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
            "post", NON_IDEMPOTENT, 0.2, round(2 * work, 4), 0.8, 2.0, utility=3.0, late_utility=0.5
        ),
    )
    busy = (
        1.5 * work * 1.5 * sum(customer.rate for customer in customers)
    )  # cores, all that is asked being served
    load = rng.choice((0.3, 0.6, 0.8, 1.2) if theme not in HOT else (0.2, 0.4))
    world = World(
        VERSION,
        rng.getrandbits(32),
        round(rng.uniform(5.0, 9.0), 2),
        gateways,
        hosts,
        rng.choice((1, 2, 3)),
        rng.choice((1, 2, 3)),
        cores=round(max(LEAST * work, busy / hosts / load), 4),
        slots=rng.choice((4, 8)),
        queue=rng.choice((4, 16, 40)),
        cancel=rng.random() < 0.5,
        latency=rng.choice((0.0005, 0.002, 0.005)),
        skew=rng.choice((0.0, 0.05, 0.5)),
        notice=rng.uniform(0.2, 2.5),
        retries=rng.choice((0, 1, 2)),
        patience=rng.choice((0.02, 0.4, 1.0, 1.0)) if theme not in HOT else 1.0,
        counter_parts=rng.choice((1, 2)),
        counter_per_s=rng.choice((150.0, 1500.0)),
        counter_timeout=rng.choice((0.03, 0.08)),
        cold=rng.uniform(3.0, 8.0),
        cold_from=rng.uniform(0.15, 0.5),
        max_call_outs=rng.choice((2, 4)),
        may_cancel=rng.random() < 0.7,
    )
    scenario = Scenario(world, plans, methods, customers)
    among, numbers = THEMES[theme]
    faults = []
    for _ in range(rng.choice(numbers)):
        faults.append(draw_fault(rng, scenario, faults, rng.choice(among)))
    return scenario.but(faults=tuple(faults))


def followed(scenario: Scenario, seed) -> Scenario:
    """The scenario with one to three processes that follow others, each cut somewhere, near its faults as often as not."""
    rng, faults = chance("followed", seed), list(scenario.faults)
    for _ in range(rng.choice((1, 2, 3))):
        faults.append(draw_fault(rng, scenario, faults, "gateway followed"))
    return scenario.but(faults=tuple(faults))


def mutate(scenario: Scenario, seed) -> Scenario:
    """A neighbour of a scenario that came near a rule: other chance, one fault moved, swapped, added or stretched."""
    rng = chance("neighbour", seed)
    faults = list(scenario.faults)
    kind = rng.random()
    if kind < 0.25 and len(faults) < 6 or not faults:
        faults.append(draw_fault(rng, scenario, faults, rng.choice(DRAWN)))
    elif kind < 0.4:
        at = rng.randrange(len(faults))
        faults[at] = draw_fault(rng, scenario, faults[:at] + faults[at + 1 :], rng.choice(DRAWN))
    elif kind < 0.8:
        at = rng.randrange(len(faults))
        faults[at] = msgspec.structs.replace(
            faults[at],
            at=round(max(0.0, faults[at].at + rng.gauss(0.0, 0.4)), 3),
            length=round(min(10.0, faults[at].length * rng.uniform(0.6, 1.6)), 3),
            size=round(
                min(
                    SIZES.get(faults[at].what, (0.0, 0.0))[1],
                    faults[at].size * rng.uniform(0.8, 1.25),
                ),
                3,
            ),
        )
    else:
        at = rng.randrange(len(scenario.customers))
        customers = list(scenario.customers)
        customers[at] = msgspec.structs.replace(
            customers[at], rate=round(min(40.0, customers[at].rate * 1.5), 2)
        )
        scenario = scenario.but(customers=tuple(customers))
    world = msgspec.structs.replace(scenario.world, seed=rng.getrandbits(32))
    return scenario.but(world=world, faults=tuple(faults))
