"""A gateway's decisions under random requests, outcomes and endpoint changes, from a seed."""

import heapq
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from tests.unit.controller_settings import CONTROLLER_SETTINGS
from tests.unit.decisions.plain_reference import PlainEndpointList, PlainLoadBalancer

SETTINGS = {**CONTROLLER_SETTINGS, "uses_counter": False, "cross_zone_price": 0.5}
RELOADED = ("zone", "counter_timeout", "may_cancel", "max_retry_after", "cross_zone_price")
METHODS = (
    ("look", api.IDEMPOTENT, api.KeyScope.POD),
    ("lodge", api.DEDUPLICATED, api.KeyScope.ZONE),
    ("file", api.DEDUPLICATED, api.KeyScope.POD),
)
OUTCOMES = (api.OK, api.ERROR, api.FULL, api.UNREACHABLE, api.RESET, api.LATE)
OUTCOME_WEIGHTS = (80, 4, 6, 4, 3, 3)
MEAN_SERVICE_S = 0.08


class Due(NamedTuple):
    """A timer, or the end of an attempt, that is to come."""

    time: float
    number: int
    action: actions.SendAttempt | actions.SetTimer
    outcome: str
    took: float


class RandomPlay:
    """One controller and its own objects, to which happens what a seed draws.

    Attributes:
        history: All that the controller returned: time, action, what it is about, the RPC.
    """

    def __init__(self, seed: int, endpoint_count: int, is_plain: bool = False) -> None:
        self.controller = AdmissionController(seed=seed, **SETTINGS)
        self.now = 1e6
        self.history: list[tuple[float, str, str, float | None]] = []
        self.due: list[Due] = []
        self.order = itertools.count()
        if is_plain:
            balancer = self.controller.load_balancer
            balancer.__class__ = PlainLoadBalancer
            balancer.endpoints.__class__ = PlainEndpointList
        self.chance = random.Random(f"play {seed}")
        self.methods = [
            api.Method(name, 0.5, 2.0, effect, scope, 1.5, late_priority_weight=0.5)
            for name, effect, scope in METHODS
        ]
        self.customer = api.Customer("c", api.Plan("p"))
        self.rows = [self._first_row(number) for number in range(endpoint_count)]
        self.execute(self.controller.start(self.now))
        self.execute(self.controller.on_endpoint_events(self.now, True, self.rows))

    def _first_row(self, number: int) -> api.EndpointEvent:
        return api.EndpointEvent(
            api.Endpoint(f"h{number}"),
            f"z{number % 3}",
            "",
            number % 7,
            api.READY,
            self.chance.choice((0.5, 1.0, 2.0)),
            self.chance.choice((0.0, self.now - self.chance.uniform(0.0, 15.0))),
        )

    def execute(self, returned: Iterable[actions.Action]) -> None:
        """Record actions, and draw what becomes of those that have a later end."""
        for action in returned:
            self._record(action)
            if isinstance(action, actions.SendAttempt):
                outcome = self.chance.choices(OUTCOMES, OUTCOME_WEIGHTS)[0]
                took = self.chance.expovariate(1 / MEAN_SERVICE_S)
                due = Due(self.now + took, next(self.order), action, outcome, took)
                heapq.heappush(self.due, due)
            elif isinstance(action, actions.CancelAttempt):
                action.attempt.outcome = "to be cancelled"
            elif isinstance(action, actions.SetTimer):
                due = Due(self.now + action.delay, next(self.order), action, "", 0.0)
                heapq.heappush(self.due, due)

    def _record(self, action: actions.Action) -> None:
        rpc = getattr(action, "rpc", None)
        if isinstance(action, actions.SendAttempt):
            about = action.endpoint.address
        else:
            about = getattr(action, "reason", "")
        arrived_at = rpc and rpc.arrived_at
        self.history.append((round(self.now, 6), type(action).__name__, about, arrived_at))

    def run(self, rpc_count: int, rate: float, changes: float = 0.0) -> None:
        """Send RPCs and change endpoints.

        Args:
            rpc_count: How many RPCs are sent.
            rate: RPCs in a second.
            changes: Changes of the endpoint list, as a share of the RPCs.
        """
        for _ in range(rpc_count):
            self.now += self.chance.expovariate(rate)
            while self.due and self.due[0].time <= self.now:
                self._happen(heapq.heappop(self.due))
            if self.chance.random() < changes:
                self.change_endpoints()
            self.send_rpc()

    def _happen(self, due: Due) -> None:
        after = self.now
        self.now = due.time
        action = due.action
        if isinstance(action, actions.SetTimer):
            self.execute(self.controller.on_timer(self.now, action.subject))
        else:
            outcome = api.CANCELLED if action.outcome else due.outcome
            over = outcome == api.OK
            self.execute(
                self.controller.on_attempt_ended(
                    self.now, action, outcome, is_final=over, duration=due.took
                )
            )
        self.now = after

    def send_rpc(self) -> None:
        """Send one RPC of any method."""
        method = self.chance.choice(self.methods)
        rpc = api.Rpc(method, self.customer, 1.0, self.now + 2.0, self.now)
        self.execute(self.controller.admit(self.now, rpc))

    def change_endpoints(self) -> None:
        """Change some endpoints; now and then list all of them, or change settings."""
        number = min(len(self.rows), self.chance.randint(1, 5))
        for index in self.chance.sample(range(len(self.rows)), number):
            self.rows[index] = self._changed_row(self.rows[index])
            self.execute(self.controller.on_endpoint_events(self.now, False, [self.rows[index]]))
        if self.chance.random() < 0.2:
            self.rows.sort(key=lambda _row: self.chance.random())
            named = [
                row for row in self.rows if row.state != api.GONE and self.chance.random() < 0.95
            ]
            self.execute(self.controller.on_endpoint_events(self.now, True, named))
        if self.chance.random() < 0.1:
            self.controller.reconfigure(
                **{key: SETTINGS[key] for key in RELOADED},
                slow_start=self.chance.choice((0.0, 5.0, 10.0)),
                slow_start_minimum=self.chance.choice((0.25, 1.0)),
                method_identities={method.identity for method in self.methods},
            )

    def _changed_row(self, row: api.EndpointEvent) -> api.EndpointEvent:
        """Return a row that drains, goes, comes back cold, weighs otherwise or has moved."""
        kind = self.chance.random()
        if kind < 0.3:
            return row._replace(state=self.chance.choice((api.DRAINING, api.GONE)))
        if kind < 0.8:
            started_at = self.now - self.chance.uniform(-0.2, 0.5)
            return row._replace(state=api.READY, started_at=started_at)
        if kind < 0.9:
            return row._replace(weight=self.chance.choice((0.0, 1.0, 3.0)))
        return row._replace(zone=f"z{self.chance.randrange(3)}")
