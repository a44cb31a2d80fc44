"""Measures the CPU time of one RPC in the decisions, by number of endpoints.

Question: what does one RPC cost in the admission controller, and how does that grow with the
size of the endpoint list?

The controller is driven as the gateway drives it: RPCs of many customers arrive at random times,
each attempt is answered after a while, and the counter grants at once. Nothing but the controller
and this loop takes CPU time. Run it on two checkouts, one after the other on an idle machine, to
compare builds:

    .venv/bin/python -m benchmarks.decision_cost [--rpcs N] [--plays N]

Columns: the number of endpoints, then CPU microseconds per RPC: the median of the runs, the
lowest and the highest. The last line is a JSON object with the cost of every run.
"""

import heapq
import itertools
import json
import random
import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import Annotated, NamedTuple

import typer

from petrellane.config import Section, Settings, parse_settings
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

ENDPOINT_COUNTS = (8, 60, 200)
CUSTOMERS = 200
GATEWAYS_OF_A_CUSTOMER = 4
RATE = 200.0  # RPCs a second of the simulated clock
FASTEST_ANSWER_S = 0.01
SLOWEST_ANSWER_S = 0.1
COUNTER_DELAY_S = 0.001
DEADLINE_S = 4.0
START_TIME_S = 1000.0
SETTINGS = {
    "classes": [
        {"name": "look", "effect": "pure", "goalTime": 1000000, "giveUp": 4000000, "worth": 1.0}
    ],
    "contracts": [{"name": "plan", "quotaRate": 50, "storeSize": 200, "pays": 1.0}],
    "familyInfo": {"mayCount": True, "counterTimeout": 80000},
    "limits": {"maxAttempts": 4, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 500000},
}


class ScheduledEvent(NamedTuple):
    """One event of the simulated network; events sort by time, then by order of scheduling."""

    at: float
    order: int
    report: Callable[[float], list[actions.Action]]  # tells the controller, given the time


class SimulatedNetwork:
    """Executes the controller's actions and reports their outcomes; lives for one run."""

    def __init__(self, controller: AdmissionController, rng: random.Random) -> None:
        self.controller = controller
        self.rng = rng
        self.now = START_TIME_S
        self.events: list[ScheduledEvent] = []
        self.order = itertools.count()

    def execute(self, due_actions: list[actions.Action]) -> None:
        """Schedule the outcome of each action."""
        for action in due_actions:
            if isinstance(action, actions.SendAttempt):
                duration_s = self.rng.uniform(FASTEST_ANSWER_S, SLOWEST_ANSWER_S)
                self._schedule(duration_s, partial(self._end_attempt, action, duration_s))
            elif isinstance(action, actions.CounterAdd):
                self._schedule(COUNTER_DELAY_S, partial(self._reply, action))
            elif isinstance(action, actions.SetTimer):
                self._schedule(action.delay, partial(self._fire_timer, action.subject))

    def advance(self, now: float) -> None:
        """Report all events that are due by `now`, in order."""
        self.now = now
        while self.events and self.events[0].at <= now:
            event = heapq.heappop(self.events)
            self.execute(event.report(event.at))

    def _schedule(self, delay_s: float, report: Callable[[float], list[actions.Action]]) -> None:
        heapq.heappush(self.events, ScheduledEvent(self.now + delay_s, next(self.order), report))

    def _end_attempt(
        self, attempt: actions.SendAttempt, duration_s: float, at: float
    ) -> list[actions.Action]:
        return self.controller.on_attempt_ended(
            at, attempt, api.OK, is_final=True, duration=duration_s
        )

    def _reply(self, request: actions.CounterAdd, at: float) -> list[actions.Action]:
        total = max(0.0, request.amount)
        return self.controller.on_counter_reply(at, request, api.OK, total)

    def _fire_timer(self, subject: actions.TimerSubject, at: float) -> list[actions.Action]:
        return self.controller.on_timer(at, subject)


def start_network(
    settings: Settings, seed: int, endpoint_count: int, rng: random.Random
) -> SimulatedNetwork:
    """Return a network whose controller has started and has its endpoint list."""
    controller = AdmissionController(
        seed=seed,
        uses_counter=settings.uses_counter,
        must_watch=settings.must_watch,
        **settings.controller_options,
    )
    network = SimulatedNetwork(controller, rng)
    network.execute(controller.start(network.now))
    endpoint_list = [
        api.EndpointEvent(api.Endpoint(f"h{number}"), "", "", 0, api.READY, 1.0, 0.0)
        for number in range(endpoint_count)
    ]
    network.execute(controller.on_endpoint_events(network.now, True, endpoint_list))
    return network


def measure_run(endpoint_count: int, rpcs: int, seed: int) -> float:
    """Return the CPU microseconds per RPC of one run."""
    rng = random.Random(seed)
    settings = parse_settings(Section(SETTINGS, "settings"))
    network = start_network(settings, seed, endpoint_count, rng)
    customers = [
        api.Customer(f"c{number}", settings.plans["plan"], 0, GATEWAYS_OF_A_CUSTOMER)
        for number in range(CUSTOMERS)
    ]
    method = settings.methods["look"]
    cpu_start = time.process_time()
    for _ in range(rpcs):
        network.advance(network.now + rng.expovariate(RATE))
        now = network.now
        rpc = api.Rpc(method, rng.choice(customers), 1.0, now + DEADLINE_S, now)
        network.execute(network.controller.admit(now, rpc))
    return (time.process_time() - cpu_start) / rpcs * 1e6


def main(
    rpcs: Annotated[int, typer.Option(min=100, help="RPCs of a play.")] = 4000,
    plays: Annotated[int, typer.Option(min=1, help="Plays for each number of hosts.")] = 5,
) -> None:
    """Measure the module's CPU time per RPC by number of hosts."""
    costs_by_count = {
        count: sorted(measure_run(count, rpcs, seed) for seed in range(plays))
        for count in ENDPOINT_COUNTS
    }
    print(f"{'hosts':>6} {'median us':>10} {'least':>8} {'most':>8}")
    for count, costs in costs_by_count.items():
        print(f"{count:>6} {statistics.median(costs):>10.0f} {costs[0]:>8.0f} {costs[-1]:>8.0f}")
    rounded = {count: [round(cost, 1) for cost in costs] for count, costs in costs_by_count.items()}
    print(json.dumps({"rpcs": rpcs, "plays": plays, "us": rounded}))


if __name__ == "__main__":
    typer.run(main)
