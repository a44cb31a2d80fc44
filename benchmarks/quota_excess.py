"""Measures the units that a whole fleet admits beyond its customers' quotas on a quiet day.

    python benchmarks/quota_excess.py [--gateways 3,40,200] [--seeds 5] [--seconds 20]
        [--late 0.25] [--jobs N]

Question: how much of what is sent lies beyond quotas, and how does that compare with a policy that
sees the true token buckets, but only after a delay?

Every run is a simulated fleet without faults but short floods of some customers; the definition of
the excess and its cost is in docs/history/acceptance.md. Both policies play the same scenarios.

Columns, for each fleet and plan over all seeds: median units sent; the share beyond quotas of the
module and of the delayed policy, as median (lowest-highest); median cost of the excess; cost over
that of the delayed policy, as median and highest. The share of RPCs served inside quotas follows
for each policy. The last line is a JSON object with every run.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import statistics
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from petrellane.decisions.controller import AdmissionController
from petrellane.simulation import VERSION, quotas
from petrellane.simulation.controllers import ControllerFactory
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario import Customer, Fault, Method, Plan, Scenario, World

MODULE = "module"
DELAYED = "late"
POLICIES = (MODULE, DELAYED)
# RPCs a second inside quotas over the whole fleet, about, by number of gateways.
FLEET_RATES = {3: 110.0, 40: 400.0, 200: 2000.0}
RATE_OF_A_GATEWAY = 10.0  # for numbers of gateways without a row above
PLANS = (
    Plan("small", 1.3, 6.0, price=0.8),
    Plan("middle", 5.5, 24.0, price=1.3),
    Plan("large", 22.0, 45.0, price=1.8),
)
ALL_PLANS = "all"
PLAN_SHARES = (0.32, 0.35, 0.33)  # of the use inside quotas
MEAN_UNITS = 1.5
WORK_S = 0.05
HEAVY_BELOW = 0.09  # draws below are customers that use more than their quota
FLOODING_BELOW = 0.26  # draws from there up to this are customers with one flood
FULL_ABOVE = 0.83  # draws above are customers that use about their whole quota
MAXIMUM_GATEWAYS_OF_A_CUSTOMER = 8
ENDPOINT_LOAD = 0.3  # of the endpoints' cores by what is inside quotas


class RunResult(NamedTuple):
    """Figures of one run."""

    who: str
    gateways: int
    seed: int
    broken: list[str]
    ok: float
    plans: dict[str, quotas.QuotaUse]

    def to_dict(self) -> dict[str, Any]:
        """Return the figures by the names that the JSON line gives them."""
        return self._asdict() | {"plans": {name: use._asdict() for name, use in self.plans.items()}}


def draw_demand(rng: random.Random, draw: float) -> float:
    """Return a customer's demand as a multiple of its quota."""
    if draw < HEAVY_BELOW:
        return rng.uniform(2.0, 4.7)
    if draw > FULL_ABOVE:
        return rng.uniform(0.85, 1.0)
    return rng.uniform(0.17, 0.5)


def draw_flood(rng: random.Random, length: float, customer: int, demand: float) -> Fault:
    """Return a customer's one flood, a multiple of its own rate."""
    at = rng.uniform(1.0, length - 2.0)
    return Fault("flood", at, rng.uniform(0.55, 5.0), customer, rng.uniform(3.4, 7.9) / demand)


def draw_customer(
    rng: random.Random, plan: Plan, number: int, demand: float, gateways: int
) -> Customer:
    """Return a customer whose RPCs come in at a part of the gateways."""
    reached = min(MAXIMUM_GATEWAYS_OF_A_CUSTOMER, gateways)
    return Customer(
        f"{plan.name}{number}",
        plan.name,
        demand * plan.rate / MEAN_UNITS,
        rng.randrange(gateways),
        max(1, round(rng.uniform(0.5, 1.0) * reached)),
        2,
        rng.uniform(0.37, 1.0),
        rng.uniform(7.8, 19.0),
    )


def build_world(gateways: int, seed: int, length: float, rate: float) -> World:
    """Return the sizes of the fleet and of what is around it."""
    hosts = max(6, int(rate * 0.15 / 2 / ENDPOINT_LOAD))
    return World(
        VERSION,
        seed,
        length,
        gateways,
        hosts,
        3,
        cores=4.0,
        slots=8,
        queue=64,
        retries=1,
        slow_start=0.0,
        slow_start_minimum=1.0,
        counter_parts=3,
        counter_per_s=max(850.0, 5.0 * rate),
        counter_timeout=0.08,
    )


def build_quiet_day(gateways: int, seed: int, length: float) -> Scenario:
    """Return the scenario of one quiet day: customers up to the fleet's rate, and their floods."""
    rng = seeded_random("quiet", seed)
    rate = FLEET_RATES.get(gateways, RATE_OF_A_GATEWAY * gateways)
    customers: list[Customer] = []
    faults: list[Fault] = []
    for plan, share in zip(PLANS, PLAN_SHARES, strict=True):
        units = 0.0
        wanted_units = rate * MEAN_UNITS * share
        while units < wanted_units:
            draw = rng.random()
            demand = draw_demand(rng, draw)
            if HEAVY_BELOW <= draw < FLOODING_BELOW:
                faults.append(draw_flood(rng, length, len(customers), demand))
            customers.append(draw_customer(rng, plan, len(customers), demand, gateways))
            units += min(demand, 1.0) * plan.rate
    world = build_world(gateways, seed, length, rate)
    method = Method("look", "idempotent", 1.0, WORK_S, 1.0, 4.0)
    return Scenario(world, PLANS, (method,), tuple(customers), tuple(faults))


def run_day(policy: str, gateways: int, seed: int, length: float, delay: float) -> RunResult:
    """Play one quiet day with one policy."""
    scenario = build_quiet_day(gateways, seed, length)
    module: ControllerFactory = AdmissionController
    if policy == DELAYED:
        module = quotas.delayed_quota_controller(delay)
    run = FleetSimulation(scenario, module, keep_records=True).play()
    plans = quotas.measure_quota_use(scenario, run.records or [])
    return RunResult(policy, gateways, seed, run.broken, run.figures.ok_share, plans)


def format_excess(rows: Sequence[quotas.QuotaUse]) -> str:
    """Return the shares beyond quotas as median (lowest-highest)."""
    shares = [row.beyond / row.sent if row.sent else 0.0 for row in rows]
    return f"{statistics.median(shares):.2%} ({min(shares):.2%}-{max(shares):.2%})"


def select(runs: Sequence[RunResult], policy: str, gateways: int) -> list[RunResult]:
    """Return the runs of a policy with this number of gateways."""
    return [run for run in runs if run.gateways == gateways and run.who == policy]


def print_plan(gateways: int, plan: str, runs: Sequence[RunResult]) -> None:
    """Print the row of one fleet and plan."""
    module = [run.plans[plan] for run in select(runs, MODULE, gateways)]
    delayed = [run.plans[plan] for run in select(runs, DELAYED, gateways)]
    cost = [row.cost for row in module]
    more = [ours.cost - other.cost for ours, other in zip(module, delayed, strict=True)]
    print(
        f"{gateways:>8} {plan:>7} {statistics.median(row.sent for row in module):>11.0f}"
        f" {format_excess(module):>24} {format_excess(delayed):>24}"
        f" {statistics.median(cost):>8.4f}"
        f" {statistics.median(more):>8.4f} {max(more):>8.4f}"
    )


def print_tables(sizes: Sequence[int], runs: Sequence[RunResult]) -> None:
    """Print a row for each fleet and plan, then the share served inside quotas."""
    print(
        f"{'gateways':>8} {'plan':>7} {'units sent':>11} {'beyond':>24} {'late sees it':>24}",
        f"{'cost':>8} {'more':>8} {'most':>8}",
    )
    for size in sizes:
        for plan in (*(plan.name for plan in PLANS), ALL_PLANS):
            print_plan(size, plan, runs)
    for policy in POLICIES:
        served = {
            size: round(statistics.median(run.ok for run in select(runs, policy, size)), 3)
            for size in sizes
        }
        print(policy, "served inside quotas:", served)


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", default="3,40,200")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--late", type=float, default=0.25, help="seconds after which the other policy sees a store"
    )
    parser.add_argument("--jobs", type=int, default=0, help="processes; 0 is one a core")
    return parser.parse_args()


def main() -> None:
    """Play all runs, the largest fleets first, and print the figures."""
    arguments = parse_arguments()
    sizes = [int(size) for size in arguments.gateways.split(",")]
    jobs: list[tuple[Any, ...]] = [
        (policy, size, seed, arguments.seconds, arguments.late)
        for size in sorted(sizes, reverse=True)
        for seed in range(1, arguments.seeds + 1)
        for policy in POLICIES
    ]
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs or None) as pool:
        runs = list(pool.map(run_day, *zip(*jobs, strict=True)))
    print_tables(sizes, runs)
    body = {
        "late": arguments.late,
        "seconds": arguments.seconds,
        "runs": [run.to_dict() for run in runs],
    }
    print(json.dumps(body))


if __name__ == "__main__":
    main()
