"""RPCs, attempts and a counter in simulated time for the runs of `scale.py`."""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, ParamSpec

from benchmarks.scale_measures import CallCosts
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

ATTEMPT_DURATION_S = (0.01, 0.1)  # drawn evenly
FULL_SHARE = 0.01  # share of attempts that their endpoint is too full for
COUNTER_DELAY_S = 0.002
COUNT_LIFETIME_S = 20.0  # for which the counter keeps a count, and up to as much longer

Parameters = ParamSpec("Parameters")


class SimulatedCounter:
    """A counter without faults, which forgets counts that nobody has added to for a while."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._previous: dict[int, float] = {}
        self._rotated_at = 0.0

    def add(self, now: float, name: int, amount: float) -> float:
        """Add to a count and return its total."""
        if now - self._rotated_at > COUNT_LIFETIME_S:
            self._previous = self._counts
            self._counts = {}
            self._rotated_at = now
        if name not in self._counts:
            self._counts[name] = self._previous.get(name, 0.0)
        self._counts[name] += amount
        return self._counts[name]


class TimedActions(NamedTuple):
    """The actions of a call of the decisions, and its CPU milliseconds."""

    actions: list[actions.Action]
    milliseconds: float


class SimulatedTraffic:
    """RPCs for one controller, or for several that share a counter; lives for one run.

    The cost of a decision is that of `admit`, with that of the call that settles the RPC where it
    waits for credit. `on_attempt_ended` is counted apart.
    """

    def __init__(self, seed: int, now: float = 1000.0) -> None:
        self.random = random.Random(seed)
        self.counter = SimulatedCounter()
        self.now = now
        self.costs = CallCosts(now)
        self.units = 0.0  # sent in first attempts
        self.admitted = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._unsettled: dict[api.Rpc, float] = {}  # CPU milliseconds so far

    def call(
        self,
        controller: AdmissionController,
        method: Callable[Parameters, list[actions.Action]],
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> TimedActions:
        """Make a call of the decisions, measure it and execute its actions."""
        started = time.thread_time()
        due_actions = method(*args, **kwargs)
        milliseconds = (time.thread_time() - started) * 1e3
        self.costs.add_call(milliseconds)
        self.execute(controller, due_actions)
        return TimedActions(due_actions, milliseconds)

    def execute(self, controller: AdmissionController, due_actions: list[actions.Action]) -> None:
        """Schedule the outcome of each action."""
        for action in due_actions:
            if isinstance(action, actions.SendAttempt):
                self.units += action.rpc.units * (action.number == 0)
                duration_s = self.random.uniform(*ATTEMPT_DURATION_S)
                self._schedule(duration_s, partial(self._end_attempt, controller, action))
            elif isinstance(action, actions.CounterAdd):
                self.costs.counter_adds += 1
                self._schedule(COUNTER_DELAY_S, partial(self._reply, controller, action))
            elif isinstance(action, actions.SetTimer):
                fire = partial(self._fire_timer, controller, action.subject)
                self._schedule(action.delay, fire)
            elif isinstance(action, actions.Reject):
                self.costs.rejected += 1

    def admit(
        self, controller: AdmissionController, method: api.Method, customer: api.Customer
    ) -> None:
        """Let an RPC of one unit come now."""
        rpc = api.Rpc(method, customer, 1.0, self.now + method.deadline, self.now)
        self.costs.rpcs += 1
        self.admitted += 1
        self._unsettled[rpc] = 0.0
        call = self.call(controller, controller.admit, self.now, rpc)
        self._settle(call)
        if rpc in self._unsettled:  # it waits for credit
            self._unsettled[rpc] = call.milliseconds

    def advance(self, now: float) -> None:
        """Let everything happen that is due by then."""
        while self._events and self._events[0][0] <= now:
            self.now, _, happen = heapq.heappop(self._events)
            happen()
        self.now = now

    def _schedule(self, delay_s: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), happen))

    def _settle(self, call: TimedActions) -> None:
        """Divide a call's cost among the RPCs that it decided."""
        decided = [
            action.rpc
            for action in call.actions
            if isinstance(action, actions.SendAttempt | actions.Reject)
            and action.rpc in self._unsettled
        ]
        for rpc in decided:
            cost = self._unsettled.pop(rpc) + call.milliseconds / len(decided)
            self.costs.decisions.append(cost)

    def _end_attempt(self, controller: AdmissionController, attempt: actions.SendAttempt) -> None:
        is_full = self.random.random() < FULL_SHARE
        call = self.call(
            controller,
            controller.on_attempt_ended,
            self.now,
            attempt,
            api.FULL if is_full else api.OK,
            is_final=not is_full,
            duration=self.now - attempt.sent_at,
        )
        self.costs.ended_attempts.append(call.milliseconds)

    def _reply(self, controller: AdmissionController, request: actions.CounterAdd) -> None:
        total = self.counter.add(self.now, request.name, request.amount)
        call = self.call(controller, controller.on_counter_reply, self.now, request, api.OK, total)
        self._settle(call)

    def _fire_timer(self, controller: AdmissionController, subject: actions.TimerSubject) -> None:
        self._settle(self.call(controller, controller.on_timer, self.now, subject))
