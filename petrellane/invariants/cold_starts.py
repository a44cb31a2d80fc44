"""Rule `cold`: no host is overloaded while it warms up.

The rule is broken if a host receives more RPCs of mean work within a span of `overload_for` than
`RuleParameters.cold_budget` permits, and at least two thirds of that work come from gateways that
had been notified of the start. All work that reaches the host counts, whether the host rejects it
or not. One start counts as broken at most once.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from petrellane.invariants.endpoint_views import EndpointViews
from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import AttemptArrived, EndpointStarted, Id
from petrellane.invariants.verdict import COLD_START, ViolationLog

CLOCK_TOLERANCE = 1e-3  # seconds by which a notified start may differ from the true one


class Load(NamedTuple):
    """Work that reached a host, and whether its gateway had been notified of the start."""

    at: float
    work: float
    is_informed: bool


@dataclass(slots=True)
class ColdHost:
    """A host that warms up, with the loads of the span."""

    started_at: float
    capacity: float
    loads: deque[Load] = field(default_factory=deque)
    has_collapsed: bool = False


class ColdStarts:
    """Judges the load of cold hosts of one run."""

    def __init__(self, parameters: RuleParameters, views: EndpointViews, log: ViolationLog) -> None:
        """Judge by these terms, and by what gateways were notified of, into a log."""
        self._parameters = parameters
        self._views = views
        self._log = log
        self._cold: dict[Id, ColdHost] = {}

    def started(self, record: EndpointStarted) -> None:
        """Follow a host that has started."""
        self._cold[record.host] = ColdHost(record.at, record.capacity)

    def check_arrival(self, record: AttemptArrived) -> None:
        """Judge the load of a host with one more attempt."""
        host = self._cold.get(record.host)
        if host is None or host.has_collapsed:
            return
        if record.at - host.started_at >= self._parameters.cold:
            del self._cold[record.host]
            return
        self._add_load(host, record)
        work = sum(load.work for load in host.loads)
        informed_work = sum(load.work for load in host.loads if load.is_informed)
        if informed_work * 3 >= work * 2:
            self._check_budget(host, work, record)

    def _add_load(self, host: ColdHost, record: AttemptArrived) -> None:
        view = self._views.view(record.gateway, record.host, 0.0)
        is_informed = view.up_since >= host.started_at - CLOCK_TOLERANCE
        host.loads.append(Load(record.at, record.work, is_informed))
        while host.loads and host.loads[0].at <= record.at - self._parameters.overload_for:
            host.loads.popleft()

    def _check_budget(self, host: ColdHost, work: float, record: AttemptArrived) -> None:
        parameters = self._parameters
        mean = parameters.mean_work or work / len(host.loads)
        age = record.at - host.started_at
        count = work / mean
        budget = parameters.cold_budget(age, host.capacity, mean)
        self._log.approached(COLD_START, count / budget)
        if count > budget:
            host.has_collapsed = True
            text = (
                f"{record.host}, up for {age:.2f} s, had {count:.1f} RPCs of mean "
                f"work in {parameters.overload_for:g} s, {budget:.1f} at most"
            )
            self._log.violated(COLD_START, record.at, text, record.rpc)
