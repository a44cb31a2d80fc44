"""What clients got of what they asked for: the measure by which builds are compared."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from petrellane.invariants import OK

if TYPE_CHECKING:
    from petrellane.simulation.clients import ClientCall
    from petrellane.simulation.fleet import FleetSimulation


class QuotaLevel(NamedTuple):
    """The units that a customer's quota held at a time."""

    level: float
    at: float


@dataclass(frozen=True)
class ServiceFigures:
    """The figures of one run.

    Attributes:
        ok_share: Worth of what was served over the worth of what was asked for within quotas.
        beyond_quota: Units served beyond quotas, as a fraction of all units served.
        answers: How many answers of each kind clients got, in the order of their first ones.
    """

    ok_share: float
    beyond_quota: float
    answers: dict[str, int] = field(default_factory=dict)


class FigureCollector:
    """Collects the figures of one run; clients report to it."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._quotas: dict[str, QuotaLevel] = {}
        self._offered_worth = 0.0
        self._served_worth = 0.0
        self._served_units = 0.0
        self._units_beyond = 0.0
        self._answers: Counter[str] = Counter()

    def on_call(self, call: ClientCall) -> None:
        """A client asks for something: it is within the quota if the quota covers it now."""
        plan = self._simulation.plans[call.customer.plan]
        now = self._simulation.events.now
        quota = self._quotas.get(call.customer.name, QuotaLevel(plan.burst, now))
        level = min(plan.burst, quota.level + plan.rate * (now - quota.at))
        call.is_within_quota = not plan.rate or level >= call.units
        if call.is_within_quota:
            level -= call.units
            self._offered_worth += call.units * call.method.priority_weight * plan.price
        self._quotas[call.customer.name] = QuotaLevel(level, now)

    def on_answer(self, call: ClientCall, answer: str) -> None:
        """A client has got an answer."""
        self._answers[answer] += 1
        if answer != OK:
            return
        self._served_units += call.units
        if not call.is_within_quota:
            self._units_beyond += call.units
            return
        plan = self._simulation.plans[call.customer.plan]
        duration = self._simulation.events.now - call.started_at
        worth = 1.0
        if duration > call.method.latency_objective:
            worth = call.method.late_priority_weight
        self._served_worth += worth * call.units * call.method.priority_weight * plan.price

    def summary(self) -> ServiceFigures:
        """The figures so far."""
        ok_share = 1.0
        if self._offered_worth:
            ok_share = self._served_worth / self._offered_worth
        beyond_quota = 0.0
        if self._served_units:
            beyond_quota = self._units_beyond / self._served_units
        return ServiceFigures(ok_share, beyond_quota, dict(self._answers))
