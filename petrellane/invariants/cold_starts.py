"""The rule `cold`: no host is overloaded while it warms up.

The load of a cold host is the work that reached it within a span of `overload_for`, divided by the
mean work of an RPC. The rule is broken if the load exceeds `RuleParameters.cold_budget`, and at
least two thirds of the work come from gateways that had been notified of the host's start. Work
counts even if the host rejects it. At most one violation is reported per start.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from petrellane.invariants.endpoint_views import EndpointViews
from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import AttemptArrived, EndpointStarted, Id
from petrellane.invariants.verdict import COLD_START, ViolationLog

CLOCK_TOLERANCE_S = 1e-3  # maximum difference between the notified and the actual start time


class Arrival(NamedTuple):
    """Work that reached a host; `is_informed`: whether its gateway was notified of the start."""

    at: float
    work: float
    is_informed: bool


@dataclass(slots=True)
class ColdHost:
    """A host that warms up, and the work that reached it within the last span."""

    started_at: float
    capacity: float
    arrivals: deque[Arrival] = field(default_factory=deque)
    is_overloaded: bool = False


class ColdStarts:
    """Checks the load of cold hosts; owned by the checker of the run."""

    def __init__(self, parameters: RuleParameters, views: EndpointViews, log: ViolationLog) -> None:
        """Create the rule; it reads the gateways' views, and adds violations to the log."""
        self._parameters = parameters
        self._views = views
        self._log = log
        self._cold: dict[Id, ColdHost] = {}

    def track_start(self, record: EndpointStarted) -> None:
        """Track a host that has started."""
        self._cold[record.host] = ColdHost(record.at, record.capacity)

    def check_arrival(self, record: AttemptArrived) -> None:
        """Check the load of a host after the arrival of an attempt."""
        host = self._cold.get(record.host)
        if host is None or host.is_overloaded:
            return
        if record.at - host.started_at >= self._parameters.cold:
            del self._cold[record.host]
            return
        self._add_arrival(host, record)
        work = sum(arrival.work for arrival in host.arrivals)
        informed_work = sum(arrival.work for arrival in host.arrivals if arrival.is_informed)
        if informed_work * 3 >= work * 2:
            self._check_budget(host, work, record)

    def _add_arrival(self, host: ColdHost, record: AttemptArrived) -> None:
        view = self._views.view(record.gateway, record.host, 0.0)
        is_informed = view.up_since >= host.started_at - CLOCK_TOLERANCE_S
        host.arrivals.append(Arrival(record.at, record.work, is_informed))
        while host.arrivals and host.arrivals[0].at <= record.at - self._parameters.overload_for:
            host.arrivals.popleft()

    def _check_budget(self, host: ColdHost, work: float, record: AttemptArrived) -> None:
        parameters = self._parameters
        mean = parameters.mean_work or work / len(host.arrivals)
        age = record.at - host.started_at
        count = work / mean
        budget = parameters.cold_budget(age, host.capacity, mean)
        self._log.record_proximity(COLD_START, count / budget)
        if count > budget:
            host.is_overloaded = True
            text = (
                f"{record.host}, up for {age:.2f} s, received {count:.1f} RPCs of mean work in "
                f"{parameters.overload_for:g} s, expected at most {budget:.1f}"
            )
            self._log.add_violation(COLD_START, record.at, text, record.rpc)
