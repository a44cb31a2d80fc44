"""Service figures of a run, by which builds are compared.

The value of an RPC is its units times the priority weight of its method times the price of its
plan.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from petrellane.invariants import OK

if TYPE_CHECKING:
    from petrellane.simulation.clients import ClientCall
    from petrellane.simulation.fleet import FleetSimulation


class QuotaLevel(NamedTuple):
    """The units available in a customer's quota at a time.

    Attributes:
        level: The available units.
        at: The time, in seconds of the run.
    """

    level: float
    at: float


@dataclass(frozen=True)
class ServiceFigures:
    """The figures of one run.

    Attributes:
        ok_share: The value of the RPCs within quotas that were served, as a fraction of the value
            of all RPCs within quotas; a late answer counts with the late priority weight.
        beyond_quota: Units served beyond quotas, as a fraction of all units served.
        answers: The number of answers of each kind, in the order in which the kinds first
            occurred.
    """

    ok_share: float
    beyond_quota: float
    answers: dict[str, int] = field(default_factory=dict)


class FigureCollector:
    """Collects the figures of one run from the calls and answers that clients report."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation
        self._quotas: dict[str, QuotaLevel] = {}
        self._offered_value = 0.0
        self._served_value = 0.0
        self._served_units = 0.0
        self._units_beyond = 0.0
        self._answers: Counter[str] = Counter()

    def on_call(self, call: ClientCall) -> None:
        """Count a new call, and determine whether the customer's quota covers it."""
        plan = self._simulation.plans[call.customer.plan]
        now = self._simulation.events.now
        quota = self._quotas.get(call.customer.name, QuotaLevel(plan.burst, now))
        level = min(plan.burst, quota.level + plan.rate * (now - quota.at))
        call.is_within_quota = not plan.rate or level >= call.units
        if call.is_within_quota:
            level -= call.units
            self._offered_value += call.units * call.method.priority_weight * plan.price
        self._quotas[call.customer.name] = QuotaLevel(level, now)

    def on_answer(self, call: ClientCall, answer: str) -> None:
        """Count the answer to a call."""
        self._answers[answer] += 1
        if answer != OK:
            return
        self._served_units += call.units
        if not call.is_within_quota:
            self._units_beyond += call.units
            return
        plan = self._simulation.plans[call.customer.plan]
        duration = self._simulation.events.now - call.started_at
        value = 1.0
        if duration > call.method.latency_objective:
            value = call.method.late_priority_weight
        self._served_value += value * call.units * call.method.priority_weight * plan.price

    def summary(self) -> ServiceFigures:
        """Return the figures so far."""
        ok_share = 1.0
        if self._offered_value:
            ok_share = self._served_value / self._offered_value
        beyond_quota = 0.0
        if self._served_units:
            beyond_quota = self._units_beyond / self._served_units
        return ServiceFigures(ok_share, beyond_quota, dict(self._answers))
