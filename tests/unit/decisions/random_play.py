"""Random RPCs, outcomes and endpoint changes for a gateway's decision logic, from a seed."""

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


class PendingEvent(NamedTuple):
    """A timer that expires, or an attempt that ends, at a later time."""

    time: float
    number: int
    action: actions.SendAttempt | actions.SetTimer
    outcome: str
    duration: float


class RandomWorkload:
    """A random workload for one controller, drawn from a seed.

    Attributes:
        history: The actions that the controller returned: time, type of action, endpoint or reason,
            and arrival time of the RPC.
    """

    def __init__(self, seed: int, endpoint_count: int, is_plain: bool = False) -> None:
        self.controller = AdmissionController(seed=seed, **SETTINGS)
        self.now = 1e6
        self.history: list[tuple[float, str, str, float | None]] = []
        self.pending_events: list[PendingEvent] = []
        self.sequence = itertools.count()
        if is_plain:
            balancer = self.controller.load_balancer
            balancer.__class__ = PlainLoadBalancer
            balancer.endpoints.__class__ = PlainEndpointList
        self.rng = random.Random(f"play {seed}")
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
            self.rng.choice((0.5, 1.0, 2.0)),
            self.rng.choice((0.0, self.now - self.rng.uniform(0.0, 15.0))),
        )

    def execute(self, returned: Iterable[actions.Action]) -> None:
        """Record actions, and draw the end of each attempt and timer."""
        for action in returned:
            self._record(action)
            if isinstance(action, actions.SendAttempt):
                outcome = self.rng.choices(OUTCOMES, OUTCOME_WEIGHTS)[0]
                duration = self.rng.expovariate(1 / MEAN_SERVICE_S)
                event = PendingEvent(
                    self.now + duration, next(self.sequence), action, outcome, duration
                )
                heapq.heappush(self.pending_events, event)
            elif isinstance(action, actions.CancelAttempt):
                action.attempt.outcome = "to be cancelled"
            elif isinstance(action, actions.SetTimer):
                event = PendingEvent(self.now + action.delay, next(self.sequence), action, "", 0.0)
                heapq.heappush(self.pending_events, event)

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
            rpc_count: The number of RPCs.
            rate: The mean number of RPCs per second.
            changes: The number of changes to the endpoint list, as a share of the RPCs.
        """
        for _ in range(rpc_count):
            self.now += self.rng.expovariate(rate)
            while self.pending_events and self.pending_events[0].time <= self.now:
                self._process(heapq.heappop(self.pending_events))
            if self.rng.random() < changes:
                self.change_endpoints()
            self.send_rpc()

    def _process(self, event: PendingEvent) -> None:
        resumed_at = self.now
        self.now = event.time
        action = event.action
        if isinstance(action, actions.SetTimer):
            self.execute(self.controller.on_timer(self.now, action.subject))
        else:
            outcome = api.CANCELLED if action.outcome else event.outcome
            is_final = outcome == api.OK
            self.execute(
                self.controller.on_attempt_ended(
                    self.now, action, outcome, is_final=is_final, duration=event.duration
                )
            )
        self.now = resumed_at

    def send_rpc(self) -> None:
        """Send one RPC of a random method."""
        method = self.rng.choice(self.methods)
        rpc = api.Rpc(method, self.customer, 1.0, self.now + 2.0, self.now)
        self.execute(self.controller.admit(self.now, rpc))

    def change_endpoints(self) -> None:
        """Change some endpoints, and at times send the complete list or change the settings."""
        number = min(len(self.rows), self.rng.randint(1, 5))
        for index in self.rng.sample(range(len(self.rows)), number):
            self.rows[index] = self._changed_row(self.rows[index])
            self.execute(self.controller.on_endpoint_events(self.now, False, [self.rows[index]]))
        if self.rng.random() < 0.2:
            self.rows.sort(key=lambda _row: self.rng.random())
            named = [row for row in self.rows if row.state != api.GONE and self.rng.random() < 0.95]
            self.execute(self.controller.on_endpoint_events(self.now, True, named))
        if self.rng.random() < 0.1:
            self.controller.reconfigure(
                **{key: SETTINGS[key] for key in RELOADED},
                slow_start=self.rng.choice((0.0, 5.0, 10.0)),
                slow_start_minimum=self.rng.choice((0.25, 1.0)),
                method_identities={method.identity for method in self.methods},
            )

    def _changed_row(self, row: api.EndpointEvent) -> api.EndpointEvent:
        """Return a row with another state, start time, weight or zone."""
        kind = self.rng.random()
        if kind < 0.3:
            return row._replace(state=self.rng.choice((api.DRAINING, api.GONE)))
        if kind < 0.8:
            started_at = self.now - self.rng.uniform(-0.2, 0.5)
            return row._replace(state=api.READY, started_at=started_at)
        if kind < 0.9:
            return row._replace(weight=self.rng.choice((0.0, 1.0, 3.0)))
        return row._replace(zone=f"z{self.rng.randrange(3)}")
