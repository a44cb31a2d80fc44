"""Follows the load on endpoints that warm up, span by span, for `slow_start.py`.

`SpanTracker` takes the records of a run in order of time and adds up what each endpoint got in any
span of `RuleParameters.overload_for` seconds. It holds that against the operators' bound for
warming-up endpoints, and notes what warm endpoints got meanwhile. Free of I/O.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from petrellane import invariants
from petrellane.invariants import AttemptArrived, Record, RuleParameters
from petrellane.invariants.records import KILLED

# A gateway knows of a start when it was notified of a start at most this much earlier.
START_TOLERANCE_S = 1e-3


class Arrival(NamedTuple):
    """One attempt that reached an endpoint."""

    at: float
    work: float
    is_notified: bool  # its gateway was notified of the endpoint's start


class SpanId(NamedTuple):
    """One span of an endpoint's warm-up; `number` counts spans since its start."""

    host: Any
    started_at: float
    number: int


class Peak(NamedTuple):
    """The fullest moment of a span."""

    ratio: float  # work received over the bound
    age: float  # seconds since the endpoint's start
    attempts: int
    mean_works: float  # work received, in mean works


class SpanFigures(NamedTuple):
    """Figures of one run."""

    fullest: Peak
    spans: int
    spans_beyond: int
    blamed_maximum: float
    blamed_beyond: int
    mean_ratio: float
    warm_load: float
    warm_p99: float  # in mean works
    ok_share: float
    rejected_share: float

    def to_dict(self) -> dict[str, float]:
        """Return the figures by the names that the JSON line gives them."""
        return {
            "most": self.fullest.ratio,
            "age": self.fullest.age,
            "spans": self.spans,
            "rpcs": self.fullest.attempts,
            "works": self.fullest.mean_works,
            "beyond": self.spans_beyond,
            "blamed_most": self.blamed_maximum,
            "blamed_beyond": self.blamed_beyond,
            "mean": self.mean_ratio,
            "warm": self.warm_load,
            "warm_p99": self.warm_p99,
            "ok": self.ok_share,
            "pushed": self.rejected_share,
        }


NO_PEAK = Peak(0.0, 0.0, 0, 0.0)


class SpanTracker:
    """Adds up the load on the endpoints of one run; lives as long as the run."""

    def __init__(self, terms: RuleParameters, hosts: Iterable[Any], capacity: float) -> None:
        """Follow these hosts.

        Args:
            terms: The figures of the rules of the run.
            hosts: Ids of all hosts, warm at the start.
            capacity: Core seconds a second of each host.
        """
        self.terms = terms
        self.capacity: dict[Any, float] = dict.fromkeys(hosts, capacity)
        self.started_at: dict[Any, float] = {}
        self.notified_start: dict[tuple[Any, Any], float] = {}  # by gateway and host
        self.arrivals: dict[Any, deque[Arrival]] = defaultdict(deque)
        self.arrived_at: dict[tuple[Any, Any], float] = {}  # by RPC and host, on warm hosts
        self.peaks: dict[SpanId, Peak] = {}
        self.blamed_ratios: dict[SpanId, float] = {}
        self.warm_load = 0.0
        self.warm_durations: list[float] = []
        self.answers: Counter[str] = Counter()

    def take(self, record: Record) -> None:
        """Take the next record of the run."""
        if isinstance(record, invariants.EndpointStarted):
            self.started_at[record.host] = record.at
            self.capacity[record.host] = record.capacity
            self.arrivals[record.host].clear()
        elif isinstance(record, invariants.EndpointNotified):
            self.notified_start[record.gateway, record.host] = record.up_since
        elif isinstance(record, invariants.GatewayLifecycle):
            if record.event == KILLED:
                self._forget_gateway(record.gateway)
        elif isinstance(record, AttemptArrived):
            self._take_arrival(record)
        elif isinstance(record, invariants.RpcExecuted):
            arrived_at = self.arrived_at.pop((record.rpc, record.host), None)
            if arrived_at is not None:
                self.warm_durations.append(record.at - arrived_at)
        elif isinstance(record, invariants.RpcAnswered) and self._any_warming_up(record.at):
            self.answers[record.answer] += 1

    def _forget_gateway(self, gateway: Any) -> None:  # noqa: ANN401 - ids have any type
        self.notified_start = {
            pair: start for pair, start in self.notified_start.items() if pair[0] != gateway
        }

    def _any_warming_up(self, at: float) -> bool:
        return any(0 <= at - start < self.terms.cold for start in self.started_at.values())

    def _take_arrival(self, record: AttemptArrived) -> None:
        started_at = self.started_at.get(record.host)
        notified = self.notified_start.get((record.gateway, record.host), 0.0)
        is_notified = notified >= (started_at or 0.0) - START_TOLERANCE_S
        arrivals = self.arrivals[record.host]
        arrivals.append(Arrival(record.at, record.work, is_notified))
        while arrivals[0].at <= record.at - self.terms.overload_for:
            arrivals.popleft()
        if started_at is None or record.at - started_at >= self.terms.cold:
            self._take_warm_arrival(record)
        else:
            self._update_span(record, started_at)

    def _take_warm_arrival(self, record: AttemptArrived) -> None:
        if not self._any_warming_up(record.at):
            return
        work = sum(arrival.work for arrival in self.arrivals[record.host])
        load = work / self.capacity[record.host] / self.terms.overload_for
        self.warm_load = max(self.warm_load, load)
        self.arrived_at[record.rpc, record.host] = record.at

    def _update_span(self, record: AttemptArrived, started_at: float) -> None:
        terms = self.terms
        arrivals = self.arrivals[record.host]
        work = sum(arrival.work for arrival in arrivals)
        notified_work = sum(arrival.work for arrival in arrivals if arrival.is_notified)
        age = record.at - started_at
        budget = terms.cold_budget(age, self.capacity[record.host], terms.mean_work)
        ratio = work / terms.mean_work / budget
        span = SpanId(record.host, started_at, int(age / terms.overload_for))
        if ratio > self.peaks.get(span, NO_PEAK).ratio:
            self.peaks[span] = Peak(ratio, age, len(arrivals), work / terms.mean_work)
        # Two thirds of the work came from gateways that were notified of the start.
        blamed_ratio = ratio if notified_work * 3 >= work * 2 else 0.0
        self.blamed_ratios[span] = max(self.blamed_ratios.get(span, 0.0), blamed_ratio)

    def figures(self) -> SpanFigures:
        """Return the figures of all records so far."""
        spans = len(self.started_at) * round(self.terms.cold / self.terms.overload_for)
        fullest = max(self.peaks.values(), key=lambda peak: peak.ratio, default=NO_PEAK)
        ratios = [peak.ratio for peak in self.peaks.values()]
        durations = sorted(self.warm_durations) or [0.0]
        answers = max(1, sum(self.answers.values()))
        return SpanFigures(
            fullest=fullest,
            spans=spans,
            spans_beyond=sum(ratio > 1 for ratio in ratios),
            blamed_maximum=max(self.blamed_ratios.values(), default=0.0),
            blamed_beyond=sum(ratio > 1 for ratio in self.blamed_ratios.values()),
            mean_ratio=sum(ratios) / max(1, spans),
            warm_load=self.warm_load,
            warm_p99=durations[int(len(durations) * 0.99)] / self.terms.mean_work,
            ok_share=self.answers[invariants.OK] / answers,
            rejected_share=self.answers[invariants.REJECTED] / answers,
        )
