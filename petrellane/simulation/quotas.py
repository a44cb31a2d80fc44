"""Measures what a complete fleet admits beyond quotas, with a baseline controller to compare.

`TrueQuotas` holds the exact quotas over all gateways, `DelayedQuotaController` is a baseline that
reads them with a delay, and `measure_quota_use` computes the use of quotas from the records of a
run. The definitions are in docs/history/acceptance.md.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, ClassVar, NamedTuple, Protocol

from petrellane.decisions.actions import Action, Reject, SendAttempt
from petrellane.decisions.types import RejectionReason, Rpc
from petrellane.invariants import AttemptSent, Record, RpcReceived
from petrellane.simulation.baseline_controller import TwoChoices
from petrellane.simulation.figures import QuotaLevel
from petrellane.simulation.scenario import Scenario

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway

ALL_PLANS = "all"  # key of the sums over all plans
LONG_AGO = -1e9  # seconds; a time before any event of the run


class QuotaPlan(Protocol):
    """The attributes of a plan that a quota uses; both `Plan` classes provide them."""

    @property
    def rate(self) -> float:
        """The quota, in units per second; 0 for no quota."""

    @property
    def burst(self) -> float:
        """The units that a full quota holds."""


class TrueQuotas:
    """The exact quota of each customer over all gateways.

    Times are seconds of the run.

    Attributes:
        levels: The level of the quota after the customer's last RPC, by customer.
    """

    def __init__(self) -> None:
        self.levels: dict[str, QuotaLevel] = {}

    def take(self, customer: str, plan: QuotaPlan, now: float, units: float) -> bool:
        """Take the units of an RPC if the quota covers them, and return whether it does."""
        last = self.levels.get(customer, QuotaLevel(plan.burst, now))
        level = min(plan.burst, last.level + plan.rate * (now - last.at))
        is_covered = not plan.rate or level >= units
        if is_covered:
            level -= units
        self.levels[customer] = QuotaLevel(level, now)
        return is_covered


class QuotaHistory:
    """The exact quotas and their recent history.

    Attributes:
        delay: The age up to which `level_at` can be queried, in seconds.
    """

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self._quotas = TrueQuotas()
        self._levels: dict[str, deque[QuotaLevel]] = {}

    def take(self, customer: str, plan: QuotaPlan, now: float, units: float) -> None:
        """Take the units of an RPC if the quota covers them, and store the new level."""
        levels = self._levels.setdefault(customer, deque([QuotaLevel(plan.burst, LONG_AGO)]))
        self._quotas.take(customer, plan, now, units)
        levels.append(self._quotas.levels[customer])
        while len(levels) > 1 and levels[1].at <= now - 2 * self.delay:
            levels.popleft()

    def level_at(self, customer: str, plan: QuotaPlan, time: float) -> float:
        """Return the units available at a time that is at most `delay` seconds ago."""
        last = QuotaLevel(plan.burst, time)
        for level in reversed(self._levels.get(customer, ())):
            if level.at <= time:
                last = level
                break
        return min(plan.burst, last.level + plan.rate * (time - last.at))


class Admission(NamedTuple):
    """The units that a gateway admitted at a time, in seconds of the run."""

    at: float
    units: float


class DelayedQuotaController(TwoChoices):
    """Admits RPCs by the exact quota, which it reads with a delay.

    The gateway subtracts the units that it has admitted itself during the delay.
    `delayed_quota_controller` creates the class of one run, whose gateways share one history.

    Attributes:
        history: The exact quotas, shared by the gateways of the run.
    """

    history: ClassVar[QuotaHistory]

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._admitted: dict[str, deque[Admission]] = {}

    def admit(self, now: float, rpc: Rpc) -> list[Action]:
        """Send an attempt, or reject the RPC if the quota does not cover it."""
        customer = rpc.customer.name
        plan = rpc.customer.plan
        delay = self.history.delay
        admitted = self._admitted.setdefault(customer, deque())
        while admitted and admitted[0].at <= now - delay:
            admitted.popleft()
        level = self.history.level_at(customer, plan, now - delay)
        available = min(plan.burst, level + plan.rate * delay)
        if plan.rate and available - sum(admission.units for admission in admitted) < rpc.units:
            rpc.is_finished = True
            return [Reject(rpc, 0.0, RejectionReason.QUOTA)]
        actions = super().admit(now, rpc)
        if any(isinstance(action, SendAttempt) for action in actions):
            admitted.append(Admission(now, rpc.units))
            self.history.take(customer, plan, now, rpc.units)
        return actions


def delayed_quota_controller(delay_s: float) -> type[DelayedQuotaController]:
    """Return a controller class for one run, which reads quotas with this delay in seconds."""

    class SingleRunController(DelayedQuotaController):
        history = QuotaHistory(delay_s)

    return SingleRunController


class QuotaUse(NamedTuple):
    """The use of quotas by the customers of a plan.

    The value of an RPC is its units times the priority weight of its method times the price of its
    plan.

    Attributes:
        asked: The units requested.
        sent: The units sent to endpoints.
        beyond: The units sent that the quota did not cover.
        cost: The value of the units sent beyond quotas, as a fraction of the value requested
            within quotas.
    """

    asked: float
    sent: float
    beyond: float
    cost: float


@dataclass
class _QuotaSums:
    """Running sums for one plan, from which its `QuotaUse` is computed."""

    asked: float = 0.0
    sent: float = 0.0
    beyond: float = 0.0
    value_asked_within: float = 0.0
    value_beyond: float = 0.0

    def result(self) -> QuotaUse:
        """Return the figures of the records so far."""
        cost = 0.0
        if self.value_asked_within:
            cost = self.value_beyond / self.value_asked_within
        return QuotaUse(self.asked, self.sent, self.beyond, cost)


def measure_quota_use(scenario: Scenario, records: Iterable[Record]) -> dict[str, QuotaUse]:
    """Compute the use of quotas of a run.

    Args:
        scenario: The scenario of the run.
        records: The records of the run, in any order.

    Returns:
        The use of quotas by plan, and in total under `ALL_PLANS`.
    """
    accumulator = _QuotaAccumulator(scenario)
    for record in sorted(records, key=attrgetter("at")):
        if isinstance(record, RpcReceived):
            accumulator.on_received(record)
        elif isinstance(record, AttemptSent):
            accumulator.on_sent(record)
    return {name: sums.result() for name, sums in accumulator.sums.items()}


class _QuotaAccumulator:
    """Accumulates the sums of one run from its records.

    Attributes:
        sums: The sums by plan, and in total under `ALL_PLANS`.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._plans = {plan.name: plan for plan in scenario.plans}
        self._weights = {method.name: method.priority_weight for method in scenario.methods}
        self._quotas_asked = TrueQuotas()
        self._quotas_sent = TrueQuotas()
        self._received: dict[object, RpcReceived] = {}
        self._sent: Counter[object] = Counter()
        self.sums = {name: _QuotaSums() for name in (*self._plans, ALL_PLANS)}

    def on_received(self, rpc: RpcReceived) -> None:
        """Add an RPC that a gateway received."""
        self._received[rpc.rpc] = rpc
        plan = self._plans[rpc.plan]
        value = rpc.units * self._weights[rpc.method] * plan.price
        is_covered = self._quotas_asked.take(str(rpc.customer), plan, rpc.at, rpc.units)
        for name in (rpc.plan, ALL_PLANS):
            sums = self.sums[name]
            sums.asked += rpc.units
            if is_covered:
                sums.value_asked_within += value

    def on_sent(self, attempt: AttemptSent) -> None:
        """Add the first attempt of an RPC; later attempts of the RPC count nothing."""
        self._sent[attempt.rpc] += 1
        if self._sent[attempt.rpc] > 1:
            return
        rpc = self._received[attempt.rpc]
        plan = self._plans[rpc.plan]
        is_covered = self._quotas_sent.take(str(rpc.customer), plan, attempt.at, rpc.units)
        for name in (rpc.plan, ALL_PLANS):
            sums = self.sums[name]
            sums.sent += rpc.units
            if not is_covered:
                sums.beyond += rpc.units
                sums.value_beyond += rpc.units * self._weights[rpc.method] * plan.price
