"""Baseline load-balancing policies, which the simulation compares with the admission controller.

Each policy is a simple implementation of its published description and decides only which endpoint
to use. A baseline has no quotas, does not reject RPCs for overload, and retries only after an
outcome that proves that the previous attempt did not run. All baselines use only the endpoints that
are ready in the endpoint list, and its weights if the description has weights.

- `uniform` draws by weight. `round robin` starts at a random position, because all gateways have
  the list in the same order. `two choices` compares two endpoints by the gateway's own attempts in
  flight (Mitzenmacher 2001), `least outstanding` compares all endpoints by them.
- `subset` (Google SRE book, chapter 20): the gateways of one round shuffle the list in the same way
  and each takes a separate piece. `ring subset` (Ward and others 2022, without history): endpoints
  and gateways are spread evenly on a ring for any number of them, and each gateway uses the
  endpoints that follow its position. `aperture` (Finagle): each gateway has an arc of the ring and
  uses the endpoints that the arc covers, weighted by the covered fraction. All three apply two
  choices within the subset.
- `local queue` (Vargaftik and others 2020) and `reported load` (after Prequal, 2024) need answers
  that report the queue length of their endpoint. The answers of the real platform do not report it,
  so neither policy is available there. `local queue` keeps the last report of each endpoint and
  adds the attempts that the gateway has sent since. `reported load` takes the minimum of a pool of
  recent reports, each of which it uses a few times.
- `sees all` knows the current queue of every endpoint. No real gateway can know it, so this policy
  bounds the gain from better load information.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from petrellane.decisions.types import OK, Endpoint, Outcome
from petrellane.simulation.baseline_controller import Baseline, TwoChoices
from petrellane.simulation.subsetting_baselines import Aperture, RingSubset, Subset

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway


def _queue_of(gateway: SimulatedGateway, endpoint: Endpoint) -> float:
    """Return the current number of attempts at an endpoint, divided by its weight."""
    simulated = gateway.simulation.endpoints_by_name[endpoint.address]
    return (len(simulated.running) + len(simulated.waiting)) / endpoint.weight


class Uniform(Baseline):
    """Draws endpoints by weight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return an endpoint drawn by weight."""
        weights = [endpoint.weight for endpoint in candidates]
        return self.random.choices(candidates, weights)[0]


class RoundRobin(Baseline):
    """Picks the endpoints in turn, from a random position."""

    _position: int | None = None

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return the endpoint after the previously picked one."""
        if self._position is None:
            self._position = self.random.randrange(1 << 20)
        else:
            self._position += 1
        return candidates[self._position % len(candidates)]


class LeastOutstanding(Baseline):
    """Draws among the endpoints with the fewest attempts in flight per weight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return a random endpoint among the least loaded ones."""
        loads = [self.in_flight[endpoint] / endpoint.weight for endpoint in candidates]
        minimum = min(loads)
        best = [
            endpoint for endpoint, load in zip(candidates, loads, strict=True) if load == minimum
        ]
        return self.random.choice(best)


class LocalQueue(Baseline):
    """Picks the shortest queue, estimated from the last report and the attempts sent since."""

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._estimates: dict[Endpoint, float] = {}

    def on_list_changed(self) -> None:
        """Keep the estimates of the endpoints that are still ready."""
        self._estimates = {endpoint: self._estimate(endpoint) for endpoint in self.ready}

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return a random endpoint among those with the shortest estimated queue."""
        minimum = min(self._estimate(endpoint) for endpoint in candidates)
        best = [endpoint for endpoint in candidates if self._estimate(endpoint) == minimum]
        picked = self.random.choice(best)
        self._estimates[picked] = self._estimate(picked) + 1 / picked.weight
        return picked

    def on_outcome(self, endpoint: Endpoint, outcome: Outcome, _now: float) -> None:
        """Store the queue length that a successful answer reports."""
        if outcome == OK and endpoint in self._estimates:
            self._estimates[endpoint] = _queue_of(self.gateway, endpoint)

    def _estimate(self, endpoint: Endpoint) -> float:
        return self._estimates.get(endpoint, 0.0)


@dataclass(eq=False, slots=True)
class LoadReport:
    """A report of the queue of an endpoint, with the number of times that it may still be used."""

    endpoint: Endpoint
    queue: float
    uses_left: int
    reported_at: float


class ReportedLoad(Baseline):
    """Picks the endpoint with the shortest queue in a pool of recent reports."""

    POOL: ClassVar[int] = 16  # the maximum number of reports in the pool
    USES: ClassVar[int] = 3  # the number of times that a report is used
    MAX_AGE_S: ClassVar[float] = 1.0  # seconds after which a report is dropped
    MIN_REPORTS: ClassVar[int] = 2  # with fewer reports, the endpoint is drawn by weight

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._reports: list[LoadReport] = []

    def pick_endpoint(self, candidates: Sequence[Endpoint], now: float) -> Endpoint:
        """Return the endpoint of the best report, or one drawn by weight if reports are scarce."""
        self._reports = [
            report
            for report in self._reports
            if now - report.reported_at < self.MAX_AGE_S and report.uses_left > 0
        ]
        known = [report for report in self._reports if report.endpoint in candidates]
        if len(known) < self.MIN_REPORTS:
            weights = [endpoint.weight for endpoint in candidates]
            return self.random.choices(candidates, weights)[0]
        best = min(known, key=lambda report: report.queue)
        best.queue += 1
        best.uses_left -= 1
        return best.endpoint

    def on_outcome(self, endpoint: Endpoint, outcome: Outcome, now: float) -> None:
        """Store the queue length that a successful answer reports."""
        if outcome == OK:
            report = LoadReport(endpoint, _queue_of(self.gateway, endpoint), self.USES, now)
            self._reports = [*self._reports[-self.POOL + 1 :], report]


class GlobalShortestQueue(Baseline):
    """Picks the shortest queue of all candidates, from the exact state of the simulation."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return the endpoint with the shortest queue; ties are broken randomly."""
        return min(
            candidates,
            key=lambda endpoint: (_queue_of(self.gateway, endpoint), self.random.random()),
        )


BASELINES: dict[str, Callable[..., Baseline]] = {
    "uniform": Uniform,
    "round robin": RoundRobin,
    "two choices": TwoChoices,
    "least outstanding": LeastOutstanding,
    "subset": Subset,
    "ring subset": RingSubset,
    "aperture": Aperture,
    "local queue": LocalQueue,
    "reported load": ReportedLoad,
    "sees all": GlobalShortestQueue,
}
