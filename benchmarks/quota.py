"""Units let through beyond quotas over a whole fleet on a quiet day, beside a policy that sees the true stores late.

    python benchmarks/quota.py [--gateways 3,40,200] [--seeds 5] [--seconds 20] [--late 0.25] [--jobs N]

The definition is in docs/history/acceptance.md. A row for each fleet and plan: medians over seeds with the least and the most. One
JSON line last, with every run.
"""

import argparse
import concurrent.futures
import json
import os
import statistics
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane.decisions.controller import AdmissionController  # noqa: E402
from petrellane.simulation import VERSION, quotas  # noqa: E402
from petrellane.simulation.event_queue import seeded_random  # noqa: E402
from petrellane.simulation.fleet import FleetSimulation  # noqa: E402
from petrellane.simulation.scenario import Customer, Fault, Method, Plan, Scenario, World  # noqa: E402

RATES = {
    3: 110.0,
    40: 400.0,
    200: 2000.0,
}  # RPCs a second inside quotas over the whole fleet, about
PLANS = (
    Plan("small", 1.3, 6.0, price=0.8),
    Plan("middle", 5.5, 24.0, price=1.3),
    Plan("large", 22.0, 45.0, price=1.8),
)
SHARES = (0.32, 0.35, 0.33)  # of the use inside quotas, by plan
MEAN_UNITS = 1.5


def quiet(gateways, seed, length):
    """The scenario of one quiet day."""
    rng = seeded_random("quiet", seed)
    rate = RATES.get(gateways, 10.0 * gateways)
    customers, faults = [], []
    for plan, share in zip(PLANS, SHARES, strict=True):
        used, wanted = 0.0, rate * MEAN_UNITS * share
        while used < wanted:
            kind, quota = rng.random(), plan.rate
            heavy, spiky = kind < 0.09, 0.09 <= kind < 0.26
            part = (
                rng.uniform(2.0, 4.7)
                if heavy
                else rng.uniform(0.85, 1.0)
                if kind > 0.83
                else rng.uniform(0.17, 0.5)
            )
            if spiky:
                at = rng.uniform(1.0, length - 2.0)
                faults.append(
                    Fault(
                        "flood",
                        at,
                        rng.uniform(0.55, 5.0),
                        len(customers),
                        rng.uniform(3.4, 7.9) / part,
                    )
                )
            spread = min(8, gateways) if gateways > 8 else gateways
            customers.append(
                Customer(
                    f"{plan.name}{len(customers)}",
                    plan.name,
                    part * quota / MEAN_UNITS,
                    rng.randrange(gateways),
                    max(1, round(rng.uniform(0.5, 1.0) * spread)),
                    2,
                    rng.uniform(0.37, 1.0),
                    rng.uniform(7.8, 19.0),
                )
            )
            used += min(part, 1.0) * quota
    hosts = max(6, int(rate * 0.15 / 2 / 0.3))  # three tenths busy with what is inside
    world = World(
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
    method = Method("look", "idempotent", 1.0, 0.05, 1.0, 4.0)
    return Scenario(world, PLANS, (method,), tuple(customers), tuple(faults))


def play(who, gateways, seed, length, late):
    scenario = quiet(gateways, seed, length)
    run = FleetSimulation(
        scenario,
        quotas.delayed_quota_controller(late) if who == "late" else AdmissionController,
        keep_records=True,
    ).play()
    return {
        "who": who,
        "gateways": gateways,
        "seed": seed,
        "broken": run.broken,
        "ok": run.figures.ok_share,
        "plans": {
            name: use._asdict()
            for name, use in quotas.measure_quota_use(scenario, run.records).items()
        },
    }


def main():
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--gateways", default="3,40,200")
    asked.add_argument("--seeds", type=int, default=5)
    asked.add_argument("--seconds", type=float, default=20.0)
    asked.add_argument(
        "--late", type=float, default=0.25, help="seconds after which the other policy sees a store"
    )
    asked.add_argument("--jobs", type=int, default=0, help="processes; 0 is one a core")
    told = asked.parse_args()
    sizes = [int(size) for size in told.gateways.split(",")]
    jobs = [
        (who, size, seed, told.seconds, told.late)
        for size in sorted(sizes, reverse=True)
        for seed in range(1, told.seeds + 1)
        for who in ("module", "late")
    ]
    with concurrent.futures.ProcessPoolExecutor(told.jobs or None) as pool:
        runs = list(pool.map(play, *zip(*jobs, strict=True)))
    print(
        f"{'gateways':>8} {'plan':>7} {'units sent':>11} {'beyond':>24} {'late sees it':>24}",
        f"{'cost':>8} {'more':>8} {'most':>8}",
    )
    for size in sizes:
        for plan in (*(one.name for one in PLANS), "all"):
            rows = {
                who: [
                    run["plans"][plan]
                    for run in runs
                    if run["gateways"] == size and run["who"] == who
                ]
                for who in ("module", "late")
            }
            cost = [row["cost"] for row in rows["module"]]
            more = [
                ours["cost"] - other["cost"]
                for ours, other in zip(rows["module"], rows["late"], strict=True)
            ]
            print(
                f"{size:>8} {plan:>7} {statistics.median(row['sent'] for row in rows['module']):>11.0f}"
                f" {spread(rows['module']):>24} {spread(rows['late']):>24} {statistics.median(cost):>8.4f}"
                f" {statistics.median(more):>8.4f} {max(more):>8.4f}"
            )
    for who in ("module", "late"):
        print(
            who,
            "served inside quotas:",
            {
                size: round(
                    statistics.median(
                        run["ok"] for run in runs if run["gateways"] == size and run["who"] == who
                    ),
                    3,
                )
                for size in sizes
            },
        )
    print(json.dumps({"late": told.late, "seconds": told.seconds, "runs": runs}))


def spread(rows):
    shares = [row["beyond"] / row["sent"] if row["sent"] else 0.0 for row in rows]
    return f"{statistics.median(shares):.2%} ({min(shares):.2%}-{max(shares):.2%})"


if __name__ == "__main__":
    main()
