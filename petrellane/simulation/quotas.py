"""What is admitted beyond quotas over a complete fleet, and a controller to compare it with.

The definition is in docs/history/acceptance.md. `TrueQuotas` is the truth, `DelayedQuotaController`
sees it late and decides by it, and `measure_quota_use` reads the records of a run.
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

ALL_PLANS = "all"
LONG_AGO = -1e9  # seconds of the run


class QuotaPlan(Protocol):
    """What a quota needs of a plan, of a scenario or of the decisions."""

    @property
    def rate(self) -> float:
        """Units a second; 0 for no quota."""

    @property
    def burst(self) -> float:
        """Units that a full quota holds."""


class TrueQuotas:
    """One true quota for each customer, over all gateways; times are seconds of the run."""

    def __init__(self) -> None:
        self.levels: dict[str, QuotaLevel] = {}

    def take(self, customer: str, plan: QuotaPlan, now: float, units: float) -> bool:
        """Take an RPC's units where the quota covers them; whether it does."""
        last = self.levels.get(customer, QuotaLevel(plan.burst, now))
        level = min(plan.burst, last.level + plan.rate * (now - last.at))
        is_covered = not plan.rate or level >= units
        if is_covered:
            level -= units
        self.levels[customer] = QuotaLevel(level, now)
        return is_covered


class QuotaHistory:
    """The true quotas, and what they were up to a delay ago."""

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self._quotas = TrueQuotas()
        self._levels: dict[str, deque[QuotaLevel]] = {}

    def take(self, customer: str, plan: QuotaPlan, now: float, units: float) -> None:
        """Take an RPC's units."""
        levels = self._levels.setdefault(customer, deque([QuotaLevel(plan.burst, LONG_AGO)]))
        self._quotas.take(customer, plan, now, units)
        levels.append(self._quotas.levels[customer])
        while len(levels) > 1 and levels[1].at <= now - 2 * self.delay:
            levels.popleft()

    def level_at(self, customer: str, plan: QuotaPlan, time: float) -> float:
        """The units that a quota held at a time up to the delay ago."""
        last = QuotaLevel(plan.burst, time)
        for level in reversed(self._levels.get(customer, ())):
            if level.at <= time:
                last = level
                break
        return min(plan.burst, last.level + plan.rate * (time - last.at))


class Admission(NamedTuple):
    """Units that a gateway has admitted at a time."""

    at: float
    units: float


class DelayedQuotaController(TwoChoices):
    """Admits what the true quota held a while ago, less what this gateway has admitted since.

    `delayed_quota_controller` makes the class of one run, whose gateways share the true quotas.
    """

    history: ClassVar[QuotaHistory]

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._admitted: dict[str, deque[Admission]] = {}

    def admit(self, now: float, rpc: Rpc) -> list[Action]:
        """Send an attempt, or reject what the quota does not cover."""
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
    """The controller that sees quotas so many seconds late, for one run."""

    class OneRun(DelayedQuotaController):
        history = QuotaHistory(delay_s)

    return OneRun


class QuotaUse(NamedTuple):
    """What a plan's customers got.

    Attributes:
        asked: Units asked for.
        sent: Units sent.
        beyond: Units sent that the quota did not cover.
        cost: Their worth over the worth of what was asked for within quotas.
    """

    asked: float
    sent: float
    beyond: float
    cost: float


@dataclass
class _QuotaSums:
    """The sums of one plan while records are read."""

    asked: float = 0.0
    sent: float = 0.0
    beyond: float = 0.0
    worth_asked_within: float = 0.0
    worth_beyond: float = 0.0

    def result(self) -> QuotaUse:
        """The figures of all records so far."""
        cost = 0.0
        if self.worth_asked_within:
            cost = self.worth_beyond / self.worth_asked_within
        return QuotaUse(self.asked, self.sent, self.beyond, cost)


def measure_quota_use(scenario: Scenario, records: Iterable[Record]) -> dict[str, QuotaUse]:
    """By plan, and in all: units asked for and sent, and the cost of those beyond quotas.

    Args:
        scenario: What was played.
        records: Of the run, in any order.
    """
    measure = _QuotaMeasure(scenario)
    for record in sorted(records, key=attrgetter("at")):
        if isinstance(record, RpcReceived):
            measure.on_received(record)
        elif isinstance(record, AttemptSent):
            measure.on_sent(record)
    return {name: sums.result() for name, sums in measure.sums.items()}


class _QuotaMeasure:
    """Sums up the records of one run."""

    def __init__(self, scenario: Scenario) -> None:
        self._plans = {plan.name: plan for plan in scenario.plans}
        self._weights = {method.name: method.priority_weight for method in scenario.methods}
        self._quotas_asked = TrueQuotas()
        self._quotas_sent = TrueQuotas()
        self._received: dict[object, RpcReceived] = {}
        self._sent: Counter[object] = Counter()
        self.sums = {name: _QuotaSums() for name in (*self._plans, ALL_PLANS)}

    def on_received(self, rpc: RpcReceived) -> None:
        """An RPC was asked for."""
        self._received[rpc.rpc] = rpc
        plan = self._plans[rpc.plan]
        worth = rpc.units * self._weights[rpc.method] * plan.price
        is_covered = self._quotas_asked.take(str(rpc.customer), plan, rpc.at, rpc.units)
        for name in (rpc.plan, ALL_PLANS):
            sums = self.sums[name]
            sums.asked += rpc.units
            if is_covered:
                sums.worth_asked_within += worth

    def on_sent(self, attempt: AttemptSent) -> None:
        """An attempt was sent; the first one of its RPC counts."""
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
                sums.worth_beyond += rpc.units * self._weights[rpc.method] * plan.price
