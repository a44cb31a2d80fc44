"""Other ways to pick an endpoint, as controllers that the simulation plays beside the real one.

Each is written from its published description, as plainly as it goes, and decides which endpoint
alone: nothing is rejected for overload, there is no quota, and a retry follows only an outcome that
proves that the attempt before never ran. All keep to endpoints that the list calls ready, and use
the list's weights where their description has weights.

- `uniform`; `round robin`, from a place drawn at each start, as all gateways have the list in one
  order; `two choices` by attempts of its own in flight (Mitzenmacher 2001); `least outstanding` by
  the same over all endpoints.
- `subset` (Google SRE book, chapter 20): the list is shuffled by a round that gateways share, and
  each has a piece of its own. `ring subset` (Ward and others 2022, without history): endpoints and
  gateways lie evenly on a ring in an order that fits any number, and each gateway has the endpoints
  that follow its position. `aperture` (Finagle): the ring is cut into as many arcs as there are
  gateways, and each has what its arc covers, endpoints at its ends by the part covered. In all of
  them, two choices within the subset.
- `local queue` (Vargaftik and others 2020) and `reported load` (after Prequal, 2024): answers carry
  the queue of their endpoint; those of the platform don't, so neither can be had there. The first
  keeps the last report of each endpoint and adds attempts of its own; the second takes the minimum
  of a pool of the last reports, each used a few times.
- `sees all` knows every endpoint's queue now: what nobody can do, and the end of what there is to
  gain.
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
    """The attempts at an endpoint now over its weight, as it would report them in an answer."""
    simulated = gateway.simulation.endpoints_by_name[endpoint.address]
    return (len(simulated.running) + len(simulated.waiting)) / endpoint.weight


class Uniform(Baseline):
    """Draws by weight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """A weighted draw."""
        weights = [endpoint.weight for endpoint in candidates]
        return self.random.choices(candidates, weights)[0]


class RoundRobin(Baseline):
    """Takes one after the other."""

    _position: int | None = None

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """The one after the last."""
        if self._position is None:
            self._position = self.random.randrange(1 << 20)
        else:
            self._position += 1
        return candidates[self._position % len(candidates)]


class LeastOutstanding(Baseline):
    """Draws among those with the fewest attempts in flight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """One of the best."""
        loads = [self.in_flight[endpoint] / endpoint.weight for endpoint in candidates]
        minimum = min(loads)
        best = [
            endpoint for endpoint, load in zip(candidates, loads, strict=True) if load == minimum
        ]
        return self.random.choice(best)


class LocalQueue(Baseline):
    """Takes the shortest queue by the last reports and by attempts of its own since."""

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._estimates: dict[Endpoint, float] = {}

    def on_list_changed(self) -> None:
        """Keep the estimates of endpoints that stay."""
        self._estimates = {endpoint: self._estimate(endpoint) for endpoint in self.ready}

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """One of those with the shortest queue."""
        minimum = min(self._estimate(endpoint) for endpoint in candidates)
        best = [endpoint for endpoint in candidates if self._estimate(endpoint) == minimum]
        picked = self.random.choice(best)
        self._estimates[picked] = self._estimate(picked) + 1 / picked.weight
        return picked

    def on_outcome(self, endpoint: Endpoint, outcome: Outcome, _now: float) -> None:
        """Take the report of an answer."""
        if outcome == OK and endpoint in self._estimates:
            self._estimates[endpoint] = _queue_of(self.gateway, endpoint)

    def _estimate(self, endpoint: Endpoint) -> float:
        return self._estimates.get(endpoint, 0.0)


@dataclass(eq=False, slots=True)
class LoadReport:
    """A report of an endpoint's queue, and how many times it may still be used."""

    endpoint: Endpoint
    queue: float
    uses_left: int
    reported_at: float


class ReportedLoad(Baseline):
    """Takes the minimum of a pool of the last reports."""

    POOL: ClassVar[int] = 16  # reports kept
    USES: ClassVar[int] = 3  # times that one is used
    MAX_AGE_S: ClassVar[float] = 1.0  # seconds after which one is dropped
    MIN_REPORTS: ClassVar[int] = 2  # with fewer it draws by weight

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self._reports: list[LoadReport] = []

    def pick_endpoint(self, candidates: Sequence[Endpoint], now: float) -> Endpoint:
        """The endpoint of the best report, or a draw."""
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
        """Take the report of an answer."""
        if outcome == OK:
            report = LoadReport(endpoint, _queue_of(self.gateway, endpoint), self.USES, now)
            self._reports = [*self._reports[-self.POOL + 1 :], report]


class SeesAll(Baseline):
    """Takes the shortest queue there is."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """The best one; equal ones by a draw."""
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
    "sees all": SeesAll,
}
