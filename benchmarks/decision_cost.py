"""What one decision costs with 8, 60 and 200 hosts: CPU time per RPC of the module alone, and of place and again apart.

The module is driven as the network drives it: RPCs of many customers, each answered after a while, with the counter
granting at once. Run it on two checkouts one after the other on an idle machine to compare builds:

    .venv/bin/python -m benchmarks.decision_cost [--rpcs N] [--plays N]

Prints a table (microseconds, the median of the plays and their spread) and one JSON line last.
"""

import heapq
import itertools
import json
import random
import statistics
import time
from typing import Annotated

import typer

from petrellane.config import Section, parse_settings
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

HOSTS = (8, 60, 200)
RATE = 200.0  # RPCs a second of the clock that the module is told
SETTINGS = {
    "classes": [
        {"name": "look", "effect": "pure", "goalTime": 1000000, "giveUp": 4000000, "worth": 1.0}
    ],
    "contracts": [{"name": "plan", "quotaRate": 50, "storeSize": 200, "pays": 1.0}],
    "familyInfo": {"mayCount": True, "counterTimeout": 80000},
    "limits": {"maxAttempts": 4, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 500000},
}


def play(hosts: int, rpcs: int, seed: int) -> float:
    """CPU microseconds per RPC."""
    told, rng = parse_settings(Section(SETTINGS, "settings")), random.Random(seed)
    gateway = AdmissionController(
        seed=seed,
        uses_counter=told.uses_counter,
        must_watch=told.must_watch,
        **told.controller_options,
    )
    now, due, order = 1000.0, [], itertools.count()
    customers = [api.Customer(f"c{number}", told.plans["plan"], 0, 4) for number in range(200)]

    def carry(steps):
        for step in steps:
            if isinstance(step, actions.SendAttempt):
                took = rng.uniform(0.01, 0.1)
                heapq.heappush(due, (now + took, next(order), "again", step, took))
            elif isinstance(step, actions.CounterAdd):
                heapq.heappush(due, (now + 0.001, next(order), "counted", step, 0.0))
            elif isinstance(step, actions.SetTimer):
                heapq.heappush(due, (now + step.delay, next(order), "woken", step.subject, 0.0))

    carry(gateway.start(now))
    carry(
        gateway.on_endpoint_events(
            now,
            True,
            [
                api.EndpointEvent(api.Endpoint(f"h{at}"), "", "", 0, api.READY, 1.0, 0.0)
                for at in range(hosts)
            ],
        )
    )
    began = time.process_time()
    for _ in range(rpcs):
        now += rng.expovariate(RATE)
        while due and due[0][0] <= now:
            at, _, what, about, took = heapq.heappop(due)
            if what == "again":
                carry(gateway.on_attempt_ended(at, about, api.OK, over=True, took=took))
            elif what == "counted":
                carry(gateway.on_counter_reply(at, about, api.OK, max(0.0, about.amount)))
            else:
                carry(gateway.on_timer(at, about))
        rpc = api.Rpc(told.methods["look"], rng.choice(customers), 1.0, now + 4.0, now)
        carry(gateway.admit(now, rpc))
    return (time.process_time() - began) / rpcs * 1e6


def main(
    rpcs: Annotated[int, typer.Option(min=100, help="RPCs of a play.")] = 4000,
    plays: Annotated[int, typer.Option(min=1, help="Plays for each number of hosts.")] = 5,
):
    """Measure the module's CPU time per RPC by number of hosts."""
    found = {hosts: sorted(play(hosts, rpcs, seed) for seed in range(plays)) for hosts in HOSTS}
    print(f"{'hosts':>6} {'median us':>10} {'least':>8} {'most':>8}")
    for hosts, costs in found.items():
        print(f"{hosts:>6} {statistics.median(costs):>10.0f} {costs[0]:>8.0f} {costs[-1]:>8.0f}")
    print(
        json.dumps(
            {
                "rpcs": rpcs,
                "plays": plays,
                "us": {hosts: [round(cost, 1) for cost in costs] for hosts, costs in found.items()},
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
