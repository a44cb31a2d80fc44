"""A reference for load balancing: it examines every endpoint at each pick, without any cache.

`EndpointList` and `LoadBalancer` keep indexes and caches; from the same random numbers they must
make the same decisions as this reference.
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
TYPICAL_TIME_DIVISOR = 8  # typical time of a method without responses: latency objective / this


def is_in_scope(endpoint: api.Endpoint, scope: Scope) -> bool:
    """Return whether an endpoint is in a scope."""
    if isinstance(scope, ZoneScope):
        return endpoint.zone == scope.zone
    if isinstance(scope, PodScope):
        return endpoint.pod == scope.pod
    return scope is None


class PlainEndpointList(EndpointList[EndpointHealth]):
    """Computes warm-up and readiness from every endpoint at each call."""

    def warmth(self, endpoint: api.Endpoint, now: float) -> float:
        """Return the share of its capacity that an endpoint has."""
        share = 1.0
        if endpoint.started_at and self.slow_start:
            share = max(0.0, now - endpoint.started_at) / self.slow_start
        return min(1.0, self.slow_start_minimum + (1 - self.slow_start_minimum) * share)

    def warming(self, now: float) -> list[api.Endpoint]:
        """Return the warming endpoints in the order of their start times."""
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
        """Return the capacity of the warming endpoints."""
        super().warming_capacity(now)  # updates the index, whose samples are checked below
        return sum(endpoint.weight * self.warmth(endpoint, now) for endpoint in self.warming(now))

    def warming_endpoint_at(self, point: float, now: float) -> api.Endpoint:
        """Return the endpoint at a point of the capacity of the warming endpoints."""
        endpoints = self.warming(now)
        capacities = (endpoint.weight * self.warmth(endpoint, now) for endpoint in endpoints)
        sums = list(itertools.accumulate(capacities))
        return endpoints[min(bisect.bisect_right(sums, point), len(sums) - 1)]

    def capacity(self, now: float) -> float:
        """Return the capacity of all ready endpoints."""
        self.advance_warm_up(now)
        return sum(
            endpoint.weight * self.warmth(endpoint, now)
            for endpoint in self
            if endpoint.state == api.READY
        )

    def sample(self, sampler: Sampler, count: int) -> list[Candidate]:
        """Check the index, and return a sample of the ready endpoints."""
        assert set(self.ready()) == {endpoint for endpoint in self if endpoint.state == api.READY}
        return super().sample(sampler, count)

    def sample_warm(self, sampler: Sampler, count: int, scope: Scope) -> list[Candidate]:
        """Check the index, and return a sample of the warm endpoints in a scope."""
        ready = {
            endpoint
            for endpoint in self
            if endpoint.state == api.READY and is_in_scope(endpoint, scope)
        }
        warm = ready - set(self.warming(self.advanced_to))
        key = scope[0] if scope else None
        assert set(self.groups.members_of(key)) == warm
        return super().sample_warm(sampler, count, scope)

    def advance_warm_up(self, now: float) -> float:
        """Advance the index, and record the time."""
        self.advanced_to = now
        return super().advance_warm_up(now)


class PlainLoadBalancer(LoadBalancer):
    """Computes the capacity of each endpoint of the subset at each pick, without a cache."""

    endpoints: PlainEndpointList

    def typical_time(self, method: api.Method) -> float:
        """Return the mean of the method's response times."""
        times = self.answer_times.get(method.identity, ())
        return mean(times, method.latency_objective / TYPICAL_TIME_DIVISOR)

    def pick_endpoint(self, now: float, rpc: api.Rpc, scope: Scope) -> api.Endpoint | None:
        """Pick the endpoint for the next attempt."""
        tried = {attempt.endpoint for attempt in rpc.attempts}
        warming = self._draw_warming(now, rpc.method, tried, scope)
        if warming is not None:
            return warming
        ready = self._ready_candidates(now, tried, scope)
        fair = [pair for pair in ready if not self.is_outlier(pair[1], rpc.method, now)] or ready
        latencies = {
            endpoint: relative_latency(health.recent_samples(None, now)[-8:], health.in_flight, now)
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
        """Return the warm candidates of the subset, or of a sample if the subset has none."""
        warming = set(self.endpoints.warming(now))
        ready = untried_first(self.refresh_subset(now), warming, tried, scope)
        if ready:
            return ready
        count = max(SUBSET_MINIMUM, len(self.subset))
        sample = self.endpoints.sample_warm(self.sample, count, scope)
        return untried_first(sample, warming, tried, scope)

    def _plain_capacity(
        self, pair: Candidate, method: api.Method, now: float, usual: float, latency: float
    ) -> float:
        endpoint, health = pair
        recent = health.recent_samples(method.identity, now)
        successes = sum(sample[2] == api.OK for sample in recent)
        success_rate = (successes + 2) / (len(recent) + 2)
        load = 1 + len(health.in_flight) / endpoint.weight / usual
        local = self.same_zone_factor if endpoint.zone == self.zone else 1.0
        return local * endpoint.weight * (success_rate / latency / load) ** 2


def untried_first(
    pool: list[Candidate], warming: set[api.Endpoint], tried: set[api.Endpoint], scope: Scope
) -> list[Candidate]:
    """Return the warm candidates in scope, without the tried ones if there are others."""
    ready = [pair for pair in pool if pair[0] not in warming and is_in_scope(pair[0], scope)]
    return [pair for pair in ready if pair[0] not in tried] or ready
