"""Whatever the decisions ask for can be executed, for every plan that the settings accept.

Guards against requests without an answer under a hard limit without a quota: the time to live of
an addition was infinite, so that the executor failed, and the answers behind it were lost.
"""

import math
import random
from collections.abc import Callable
from typing import Any

import pytest

from petrellane.config import Section, parse_settings
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.gateway import replies
from petrellane.gateway.counter_client import encode_add
from tests.unit.controller_settings import CONTROLLER_SETTINGS

MAX_AMOUNT = 1e9  # units that the counter takes at most in one addition
MIN_TTL_S = 0.001
MAX_TTL_S = 60.0  # for which the counter keeps a count at most
PATIENCE_S = 4.0
SPREADS = (1, 2, 2, 1000)
SEEDS = range(1500)
STEPS = 60
LIMIT_KEYS = ("quotaRate", "storeSize", "ceilingRate", "ceilingBurst", "ceilingSlack")
USUAL_VALUES = (0, 0, 1, 12, 45.0, 117)
EXTREME_VALUES = (0, 5e-324, 1e-300, 1e-9, 0.5, 12, 1e4, 3e9, 1e12, 1e300, 1.7e308)
UNITS = (1e-9, 1.0, 3.0, 20.0, 4e9, 1e300)
PAUSES_S = (0.0, 0.01, 0.05, 0.3, 2.0, 100.0, 1e6)
TOTALS = (0.0, -5.0, 5.0, 30.0, 1e10, 1e300, -1e300)
OUTCOMES = (api.FULL, api.LATE, api.ERROR, api.RESET, api.NEVER_SENT)
WEIGHTS = {"rpc": 8, "reply": 8, "wait": 4, "serve": 2, "plan": 1}


def draw_row(rng: random.Random) -> dict[str, Any]:
    """Return a plan of the settings: most have usual values, others the extremes of the range."""
    values = USUAL_VALUES if rng.random() < 0.6 else EXTREME_VALUES
    row = {key: rng.choice(values) for key in LIMIT_KEYS}
    return row | {"maxOut": rng.choice((0, 0, 0, 1, 40)), "name": "plan"}


def parse_plan(row: dict[str, Any]) -> api.Plan:
    """Return the plan that the settings define with this row."""
    content = {"classes": [], "contracts": [row]}
    return parse_settings(Section(content, "settings")).plans["plan"]


class Play:
    """One customer at one gateway, whose counter, clock and plan the steps move."""

    def __init__(self, row: dict[str, Any], spread: int) -> None:
        self.now = 1.8e9
        self.method = api.Method("look", 1.0, PATIENCE_S, api.IDEMPOTENT)
        self.customer = api.Customer("ann", parse_plan(row), 0, spread)
        self.controller = AdmissionController(seed=1, **CONTROLLER_SETTINGS)
        self.rpcs: list[api.Rpc] = []
        self.answered: set[api.Rpc] = set()
        self.attempts: list[actions.SendAttempt] = []
        self.totals: dict[int, float] = {}
        self.adds: list[actions.CounterAdd] = []
        self.timers: list[tuple[float, actions.TimerSubject]] = []
        self.execute(self.controller.start(self.now))
        row_of_host = api.EndpointEvent(api.Endpoint("h:1"), "z1", "", 0, api.READY, 1.0, 0.0)
        self.execute(self.controller.on_endpoint_events(self.now, True, [row_of_host]))

    def execute(self, returned: list[actions.Action]) -> None:
        """Check that each action can be executed, and record what follows from it."""
        for action in returned:
            if isinstance(action, actions.CounterAdd):
                assert abs(action.amount) <= MAX_AMOUNT
                assert MIN_TTL_S <= action.ttl <= MAX_TTL_S
                encode_add(action)
                self.adds.append(action)
            elif isinstance(action, actions.SetTimer):
                assert math.isfinite(action.delay)
                self.timers.append((self.now + action.delay, action.subject))
            elif isinstance(action, actions.SendAttempt):
                assert math.isfinite(action.timeout)
                self.attempts.append(action)
            elif isinstance(action, actions.Reject):
                replies.busy(action.retry_after)
                self.on_answered(action.rpc)
            elif isinstance(action, actions.Abort):
                self.on_answered(action.rpc)

    def on_answered(self, rpc: api.Rpc) -> None:
        """Record a final answer, which must be the only one."""
        assert rpc not in self.answered
        self.answered.add(rpc)

    def do_rpc(self, units: float) -> None:
        """Send an RPC."""
        rpc = api.Rpc(self.method, self.customer, units, self.now + PATIENCE_S, self.now)
        self.rpcs.append(rpc)
        self.execute(self.controller.admit(self.now, rpc))

    def do_reply(self, outcome: api.Outcome, total: float) -> None:
        """End the oldest addition with this outcome."""
        if self.adds:
            add = self.adds.pop(0)
            self.execute(self.controller.on_counter_reply(self.now, add, outcome, total))

    def answer_counter(self) -> None:
        """Answer the oldest addition as a counter does that only this gateway uses."""
        if self.adds:
            name = self.adds[0].name
            self.totals[name] = self.totals.get(name, 0.0) + self.adds[0].amount
            self.do_reply(api.OK, self.totals[name])

    def do_serve(self) -> None:
        """Serve the oldest attempt, which cost 2 units."""
        if self.attempts:
            attempt = self.attempts.pop(0)
            self.on_answered(attempt.rpc)
            self.execute(
                self.controller.on_attempt_ended(
                    self.now, attempt, api.OK, is_final=True, duration=0.01, units=2.0
                )
            )

    def do_plan(self, row: dict[str, Any]) -> None:
        """Change the plan; the lease learns of it with the next RPC."""
        self.customer.plan = parse_plan(row)

    def do_wait(self, seconds: float) -> None:
        """Let time pass; timers expire."""
        until = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= until]:
            timer = min(due, key=lambda entry: entry[0])
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            if isinstance(timer[1], actions.PeriodicCheck):
                continue  # not of interest here, and without end while an attempt is in flight
            self.execute(self.controller.on_timer(self.now, timer[1]))
        self.now = until

    def finish(self) -> None:
        """Answer the attempts and let the deadlines pass; each RPC must have its answer then."""
        self.do_wait(PATIENCE_S + 1.0)
        while self.attempts:
            self.do_serve()
        assert self.answered == set(self.rpcs)


def draw_step(rng: random.Random, play: Play) -> Callable[[], None]:
    """Return the next step of a play."""
    (verb,) = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
    if verb == "rpc":
        units = rng.choice(UNITS)
        return lambda: play.do_rpc(units)
    if verb == "reply":
        if rng.random() < 0.6:
            return play.answer_counter
        outcome = rng.choice((api.OK, rng.choice(OUTCOMES)))
        total = rng.choice(TOTALS)
        return lambda: play.do_reply(outcome, total)
    if verb == "wait":
        seconds = rng.choice(PAUSES_S)
        return lambda: play.do_wait(seconds)
    if verb == "plan":
        row = draw_row(rng)
        return lambda: play.do_plan(row)
    return play.do_serve


def play_seed(seed: int) -> None:
    """Play one seed to its end."""
    rng = random.Random(seed)
    play = Play(draw_row(rng), rng.choice(SPREADS))
    for _ in range(STEPS):
        draw_step(rng, play)()
    play.finish()


def test_every_action_can_be_executed_for_every_plan() -> None:
    for seed in SEEDS:
        try:
            play_seed(seed)
        except Exception as error:
            raise AssertionError(f"seed {seed}") from error


@pytest.mark.parametrize("quota", [0, 20])
def test_a_hard_limit_holds_with_and_without_a_quota(quota: int) -> None:
    row = {"name": "plan", "quotaRate": quota, "storeSize": 50}
    row |= {"ceilingRate": 45, "ceilingBurst": 117, "ceilingSlack": 12}
    play = Play(row, 2)
    play.do_wait(5.0)
    served = 0
    for _ in range(100):
        play.do_rpc(2.0)
        play.answer_counter()
        play.do_wait(0.01)
        served += len(play.attempts)
        play.do_serve()
    assert 0 < served < 100  # the rest is beyond the gateway's share
    play.finish()


def test_a_quota_without_a_store_covers_nothing_and_faults_nothing() -> None:
    play = Play({"name": "plan", "quotaRate": 20, "storeSize": 0}, 2)
    play.do_rpc(1.0)
    assert play.answered == set(play.rpcs)
    play.do_plan({"name": "plan", "quotaRate": 20, "storeSize": 50})  # control: with a store
    play.do_rpc(1.0)
    play.answer_counter()
    assert len(play.attempts) == 1
    play.finish()
