"""Load balancing as a walk over every endpoint at each draw, with nothing kept between draws.

The reference for what `EndpointList` and `LoadBalancer` keep in indexes: both have to decide the
same with the same draws.
"""

import bisect
import itertools

from petrellane.decisions import types as api
from petrellane.decisions.endpoint_health import EndpointHealth, relative_latency
from petrellane.decisions.endpoint_list import EndpointList, PodScope, Sampler, Scope, ZoneScope
from petrellane.decisions.load_balancing import SUBSET_MINIMUM, LoadBalancer
from petrellane.decisions.load_shedding import OVERLOAD_FULL
from petrellane.decisions.numeric import mean

Candidate = tuple[api.Endpoint, EndpointHealth]
TYPICAL_SHARE = 8  # of a method's latency objective, while its answer times are unknown


def is_in_scope(endpoint: api.Endpoint, scope: Scope) -> bool:
    """Return whether an endpoint is in the zone or pod, where one is asked for."""
    if isinstance(scope, ZoneScope):
        return endpoint.zone == scope.zone
    if isinstance(scope, PodScope):
        return endpoint.pod == scope.pod
    return scope is None


class PlainEndpointList(EndpointList[EndpointHealth]):
    """Warm-up and readiness worked out endpoint by endpoint, each time anew."""

    def warmth(self, endpoint: api.Endpoint, now: float) -> float:
        """Return an endpoint's share of its capacity."""
        share = 1.0
        if endpoint.started_at and self.slow_start:
            share = max(0.0, now - endpoint.started_at) / self.slow_start
        return min(1.0, self.slow_start_minimum + (1 - self.slow_start_minimum) * share)

    def warming(self, now: float) -> list[api.Endpoint]:
        """Return the endpoints that warm up, by their starts."""
        if not self.slow_start or self.slow_start_minimum >= 1:
            return []
        began_after = now - self.slow_start
        endpoints = [
            endpoint
            for endpoint in self
            if endpoint.state == api.READY and endpoint.started_at > began_after
        ]
        return sorted(endpoints, key=lambda endpoint: endpoint.started_at)

    def warming_capacity(self, now: float) -> float:
        """Return the capacity of the endpoints that warm up."""
        super().warming_capacity(now)  # the index keeps pace: its samples are checked below
        return sum(endpoint.weight * self.warmth(endpoint, now) for endpoint in self.warming(now))

    def warming_endpoint_at(self, point: float, now: float) -> api.Endpoint:
        """Return the endpoint at a point of the capacity that warms up."""
        endpoints = self.warming(now)
        capacities = (endpoint.weight * self.warmth(endpoint, now) for endpoint in endpoints)
        sums = list(itertools.accumulate(capacities))
        return endpoints[min(bisect.bisect_right(sums, point), len(sums) - 1)]

    def capacity(self, now: float) -> float:
        """Return the capacity of all endpoints that are ready."""
        self.advance_warm_up(now)
        return sum(
            endpoint.weight * self.warmth(endpoint, now)
            for endpoint in self
            if endpoint.state == api.READY
        )

    def sample(self, sampler: Sampler, number: int) -> list[Candidate]:
        """Sample, after a check of the index."""
        assert set(self.ready()) == {endpoint for endpoint in self if endpoint.state == api.READY}
        return super().sample(sampler, number)

    def sample_warm(self, sampler: Sampler, number: int, scope: Scope) -> list[Candidate]:
        """Sample from those that are warm, after a check of the index."""
        ready = {
            endpoint
            for endpoint in self
            if endpoint.state == api.READY and is_in_scope(endpoint, scope)
        }
        warm = ready - set(self.warming(self.advanced_to))
        key = scope[0] if scope else None
        assert set(self.groups.members_of(key)) == warm
        return super().sample_warm(sampler, number, scope)

    def advance_warm_up(self, now: float) -> float:
        """Advance the index and note the time."""
        self.advanced_to = now
        return super().advance_warm_up(now)


class PlainLoadBalancer(LoadBalancer):
    """Capacities worked out for each endpoint of the subset at each draw, none kept."""

    endpoints: PlainEndpointList

    def typical_time(self, method: api.Method) -> float:
        """Return the mean of the method's answer times."""
        times = self.answer_times.get(method.identity, ())
        return mean(times, method.latency_objective / TYPICAL_SHARE)

    def pick_endpoint(self, now: float, rpc: api.Rpc, scope: Scope) -> api.Endpoint | None:
        """Draw the endpoint of the next attempt."""
        tried = {attempt.endpoint for attempt in rpc.attempts}
        warming = self._draw_warming(now, rpc.method, tried, scope)
        if warming is not None:
            return warming
        ready = self._ready_candidates(now, tried, scope)
        fair = [pair for pair in ready if not self.is_outlier(pair[1], rpc.method, now)] or ready
        latencies = {
            endpoint: relative_latency(health.recent(None, now)[-8:], health.in_flight, now)
            for endpoint, health in fair
        }
        pool = [pair for pair in fair if latencies[pair[0]] < OVERLOAD_FULL]
        if not pool:
            return None
        in_flight = (len(health.in_flight) / endpoint.weight for endpoint, health in pool)
        usual = 1 + mean(in_flight)
        capacities = [
            self._plain_capacity(pair, rpc.method, now, usual, latencies[pair[0]]) for pair in pool
        ]
        return self.choices(pool, capacities)[0][0]

    def _draw_warming(
        self, now: float, method: api.Method, tried: set[api.Endpoint], scope: Scope
    ) -> api.Endpoint | None:
        capacity = self.endpoints.warming_capacity(now)
        if not capacity:
            return None
        point = self.random() * self.effective_capacity(now)
        if point >= capacity:
            return None
        endpoint = self.endpoints.warming_endpoint_at(point, now)
        if endpoint in tried or not is_in_scope(endpoint, scope):
            return None
        if self.is_outlier(self.endpoints[endpoint], method, now):
            return None
        return endpoint

    def _ready_candidates(
        self, now: float, tried: set[api.Endpoint], scope: Scope
    ) -> list[Candidate]:
        """Return warm candidates of the subset, or else of a sample of all others."""
        warming = set(self.endpoints.warming(now))
        ready = untried_first(self.current_subset(now), warming, tried, scope)
        if ready:
            return ready
        number = max(SUBSET_MINIMUM, len(self.subset))
        sample = self.endpoints.sample_warm(self.sample, number, scope)
        return untried_first(sample, warming, tried, scope)

    def _plain_capacity(
        self, pair: Candidate, method: api.Method, now: float, usual: float, latency: float
    ) -> float:
        endpoint, health = pair
        recent = health.recent(method.identity, now)
        successes = sum(sample[2] == api.OK for sample in recent)
        success_rate = (successes + 2) / (len(recent) + 2)
        load = 1 + len(health.in_flight) / endpoint.weight / usual
        local = self.same_zone_odds if endpoint.zone == self.zone else 1.0
        return local * endpoint.weight * (success_rate / latency / load) ** 2


def untried_first(
    pool: list[Candidate], warming: set[api.Endpoint], tried: set[api.Endpoint], scope: Scope
) -> list[Candidate]:
    """Return the warm candidates in scope: those without an attempt yet, where there are any."""
    ready = [pair for pair in pool if pair[0] not in warming and is_in_scope(pair[0], scope)]
    return [pair for pair in ready if pair[0] not in tried] or ready
