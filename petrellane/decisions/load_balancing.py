"""Load balancing: the endpoint subset, the capacity of endpoints, and the weighted random choice.

A gateway uses a subset of the endpoints. The subset is as large as the gateway's own attempts can
supply with recent samples. The gateway picks an endpoint with a probability proportional to the
endpoint's capacity, which it estimates from samples and from attempts in flight. Outliers get no
attempts while other endpoints are available. The caller passes the time and the random number
generator.
"""

import math
import random
from collections import deque
from collections.abc import Collection, Iterable
from typing import TypeAlias

from petrellane.decisions import warm_up
from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.endpoint_health import (
    LATENCY_SAMPLES,
    SAMPLE_LIFETIME,
    EndpointHealth,
    EndpointSample,
    LatencySample,
    is_failing,
    relative_latency,
)
from petrellane.decisions.endpoint_list import EndpointChange, EndpointList, Scope
from petrellane.decisions.load_shedding import OVERLOAD_FULL, OVERLOAD_SPANS, estimate_overload
from petrellane.decisions.numeric import SlidingMaximum, mean
from petrellane.decisions.types import (
    CANCELLED,
    ERROR,
    FULL,
    LATE,
    NEVER_SENT,
    OK,
    READY,
    Endpoint,
    EndpointEvent,
    Method,
    Outcome,
    Rpc,
)

SUBSET_MINIMUM = 12  # minimum number of endpoints that a gateway uses
SAMPLES_PER_ENDPOINT = 4  # target number of samples per subset endpoint within SAMPLE_LIFETIME
SUBSET_ROTATION = 5.0  # seconds after which one endpoint of a subset is replaced
OVERDUE_MULTIPLE = 8.0  # an attempt is overdue after this multiple of its method's typical time
OVERDUE_SHARE = 0.75  # an attempt is overdue after this share of its latency objective, if earlier
# The typical time assumed for a method without responses: its latency objective divided by this.
UNKNOWN_METHOD_DIVISOR = 8
SAME_ZONE_FACTOR = 3.0  # preference for this gateway's zone, if cross-zone attempts have a price
MAX_ANSWER_TIMES = 64  # durations of ok attempts retained for each method
# Successes added to an endpoint's samples, so that one failure among few samples weighs little.
PRIOR_SUCCESSES = 2
MAX_LATENCY_SAMPLES = 1024  # samples retained over all endpoints, to bound memory

Candidate: TypeAlias = tuple[Endpoint, EndpointHealth]


class LoadBalancer:
    """The endpoints and their health, and the choice among them; owned by the controller.

    Attributes:
        endpoints: The endpoint list, with the health of each endpoint.
        subset: The endpoints in use, with their health, in arbitrary order.
        in_flight: All attempts in flight, oldest first, each with the number in flight before it.
        latency_samples: The samples of the last attempts that ended, oldest first.
        answer_times: The durations of the last ok attempts, in seconds, by method identity.
        typical_times: The means of these durations, by method identity.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng.random
        self.choices = rng.choices
        self.choice = rng.choice
        self.sample = rng.sample
        self.endpoints: EndpointList[EndpointHealth] = EndpointList(EndpointHealth)
        self.zone = ""
        self.same_zone_factor = 1.0
        self.subset: list[Candidate] = []
        self.rotated_at = 0.0
        self.in_flight: dict[SendAttempt, int] = {}
        self.recent_capacity = SlidingMaximum(SAMPLE_LIFETIME)  # capacity before each list change
        self.latency_samples: deque[LatencySample] = deque(maxlen=MAX_LATENCY_SAMPLES)
        self.answer_times: dict[object, deque[float]] = {}
        self.typical_times: dict[object, float] = {}

    def reconfigure(
        self,
        zone: str,
        same_zone_factor: float,
        slow_start: float,
        slow_start_minimum: float,
        method_identities: Collection[object],
    ) -> None:
        """Apply new settings, and drop the measurements of methods that they remove."""
        self.endpoints.set_slow_start(slow_start, slow_start_minimum)
        self.zone = zone
        self.same_zone_factor = same_zone_factor
        for health in self.endpoints.values():
            health.cached_until = -math.inf
        self.answer_times = {
            identity: times
            for identity, times in self.answer_times.items()
            if identity in method_identities
        }
        self.typical_times = {
            identity: mean(times) for identity, times in self.answer_times.items()
        }

    def on_endpoint_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> None:
        """Apply an endpoint list or changes to it."""
        self.recent_capacity.add(now, self.endpoints.capacity(now))
        for endpoint, health, change in self.endpoints.apply_events(now, is_full, events):
            health.cached_until = -math.inf
            if change is EndpointChange.RESTARTED:
                health.samples = []  # the samples describe the previous process
            elif change is EndpointChange.NEW:
                self._offer_to_subset(endpoint, health)
        self.subset = [
            (endpoint, health)
            for endpoint, health in self.subset
            if endpoint.state == READY and self.endpoints.get(endpoint) is health
        ]

    def _offer_to_subset(self, endpoint: Endpoint, health: EndpointHealth) -> None:
        """Give a new endpoint the same chance to be in the subset as any other endpoint.

        If it is drawn, it replaces an endpoint of the subset.
        """
        if self.random() * len(self.endpoints) < len(self.subset):
            self.subset[int(self.random() * len(self.subset))] = (endpoint, health)

    def refresh_subset(self, now: float) -> list[Candidate]:
        """Adjust the subset's size, replace one endpoint if that is due, and return the subset."""
        ready = len(self.endpoints.ready())
        subset = self.subset
        rate = 0.0
        if self.latency_samples:
            rate = len(self.latency_samples) / max(1.0, now - self.latency_samples[0][0])
        informed_size = round(rate * SAMPLE_LIFETIME / SAMPLES_PER_ENDPOINT)
        size = min(ready, max(SUBSET_MINIMUM, informed_size))
        is_rotation_due = size < ready and now - self.rotated_at >= SUBSET_ROTATION
        if len(subset) > size or (is_rotation_due and subset):
            subset.remove(self.choice(subset))
            self.rotated_at = now
        count = 1
        while (missing := size - len(subset)) > 0:
            # Most endpoints of a small sample are not in use yet. The sample doubles until it
            # contains enough unused endpoints, at the latest when it contains all endpoints.
            count *= 2
            drawn = self.endpoints.sample(self.sample, count)
            subset += [candidate for candidate in drawn if candidate not in subset][:missing]
        return subset

    def typical_time(self, method: Method) -> float:
        """Return the typical duration of an ok attempt of this method, in seconds."""
        assumed = method.latency_objective / UNKNOWN_METHOD_DIVISOR
        return self.typical_times.get(method.identity, assumed)

    def is_overdue(self, attempt: SendAttempt, now: float) -> bool:
        """Return whether an attempt has been in flight so long that its endpoint is unresponsive.

        A response to the same method since the attempt was sent shows that the endpoint responds. A
        shorter limit would do harm: an RPC with much work takes as long at any endpoint, and a
        retry would waste the work of the first attempt.
        """
        method = attempt.rpc.method
        health = self.endpoints.get(attempt.endpoint)
        answered_at = health.answered_at.get(method.identity, -math.inf) if health else -math.inf
        limit = min(
            OVERDUE_MULTIPLE * self.typical_time(method), OVERDUE_SHARE * method.latency_objective
        )
        return now - attempt.sent_at > limit and answered_at <= attempt.sent_at

    def is_outlier(self, health: EndpointHealth, method: Method, now: float) -> bool:
        """Return whether an endpoint is unresponsive, unreachable, or failing for a method."""
        identity = method.identity
        same = [attempt for attempt in health.in_flight if attempt.rpc.method.identity is identity]
        if any(self.is_overdue(attempt, now) for attempt in same):
            return True
        return is_failing(health.recent_samples(identity, now))

    def effective_capacity(self, now: float) -> float:
        """Return the total capacity by which the shares of warming endpoints are computed."""
        span = OVERLOAD_SPANS[0][1]
        latencies = [latency for at, latency, _ in self.latency_samples if now - at <= span]
        capacity = self.endpoints.capacity(now)
        recent_maximum = self.recent_capacity.maximum(now)
        return warm_up.effective_capacity(capacity, recent_maximum, latencies, len(self.in_flight))

    def pick_endpoint(self, now: float, rpc: Rpc, scope: Scope) -> Endpoint | None:
        """Pick an endpoint for an RPC at random, with a probability proportional to its capacity.

        Returns:
            An endpoint of the scope, if possible one that the RPC has not tried; None if no
            endpoint is eligible. An overloaded endpoint is not eligible: it would respond late.
        """
        method = rpc.method
        tried = {attempt.endpoint for attempt in rpc.attempts}
        warming = self._pick_warming_endpoint(now, method, tried, scope)
        if warming is not None:
            return warming
        candidates = self._candidates(now, tried, scope)
        capacities = self._capacities(now, method, candidates)
        usable = len(capacities) - capacities.count(0.0)
        if not usable:
            return None
        self._discount_in_flight(candidates, capacities, usable)
        return self.choices(candidates, capacities)[0][0]

    def _pick_warming_endpoint(
        self, now: float, method: Method, tried: Collection[Endpoint], scope: Scope
    ) -> Endpoint | None:
        """Pick a warming endpoint with the probability that its warm-up allows.

        If the drawn endpoint is not eligible, its share goes to warm endpoints: another warming
        endpoint would get two shares.
        """
        warming = self.endpoints.warming_capacity(now)
        if not warming:
            return None
        point = self.random() * self.effective_capacity(now)
        if point >= warming:
            return None
        endpoint = self.endpoints.warming_endpoint_at(point, now)
        if endpoint in tried or not _is_in_scope(endpoint, scope):
            return None
        if self.is_outlier(self.endpoints[endpoint], method, now):
            return None
        return endpoint

    def _candidates(self, now: float, tried: Collection[Endpoint], scope: Scope) -> list[Candidate]:
        """Return warm endpoints of a scope: those of the subset, or a random draw if it has none.

        Each of the two sets leaves out endpoints that the RPC has tried, unless it has no others.
        """
        warm_before = self.endpoints.advance_warm_up(now)
        count = max(SUBSET_MINIMUM, len(self.subset))
        ready = _eligible(self.refresh_subset(now), warm_before, scope)
        untried = [candidate for candidate in ready if candidate[0] not in tried] or ready
        if untried:
            return untried
        others = self.endpoints.sample_warm(self.sample, count, scope)
        ready = _eligible(others, warm_before, scope)
        return [candidate for candidate in ready if candidate[0] not in tried] or ready

    def _capacities(self, now: float, method: Method, candidates: list[Candidate]) -> list[float]:
        """Return the capacity of each candidate for a method.

        If all candidates are outliers, the capacities are computed without the check for outliers.
        """
        identity = method.identity
        capacities = [
            health.cached_capacities.get(identity, health.cached_capacity)
            if now < health.cached_until
            else self._current_capacity(endpoint, health, method, now)
            for endpoint, health in candidates
        ]
        if any(capacities):
            return capacities
        if all(self.is_outlier(health, method, now) for _, health in candidates):
            return [
                self._outlier_capacity(endpoint, health, method, now)
                for endpoint, health in candidates
            ]
        return capacities

    def _discount_in_flight(
        self, candidates: list[Candidate], capacities: list[float], usable: int
    ) -> None:
        """Reduce capacities by the candidates' attempts in flight, relative to their mean."""
        loads = {
            index: len(health.in_flight) / endpoint.weight
            for index, (endpoint, health) in enumerate(candidates)
            if health.in_flight and capacities[index]
        }
        usual_load = 1 + sum(loads.values()) / max(1, usable)
        for index, load in loads.items():
            capacities[index] /= (1 + load / usual_load) ** 2

    def _capacity(self, endpoint: Endpoint, samples: list[EndpointSample], latency: float) -> float:
        """Return the estimated capacity of an endpoint, on a relative scale; 0.0 under overload."""
        succeeded = sum(sample[2] == OK for sample in samples) + PRIOR_SUCCESSES
        share = succeeded / (len(samples) + PRIOR_SUCCESSES)
        zone_factor = self.same_zone_factor if endpoint.zone == self.zone else 1.0
        if latency >= OVERLOAD_FULL:
            return 0.0
        return zone_factor * endpoint.weight * (share / latency) ** 2

    def _current_capacity(
        self, endpoint: Endpoint, health: EndpointHealth, method: Method, now: float
    ) -> float:
        """Return the capacity for a method; 0.0 for an outlier.

        While no attempt is in flight at the endpoint, the capacity is cached until a sample
        expires.
        """
        recent = health.recent_samples(None, now)
        latency = relative_latency(recent[-LATENCY_SAMPLES:], health.in_flight, now)
        if health.in_flight:
            if self.is_outlier(health, method, now):
                return 0.0
            return self._capacity(endpoint, health.recent_samples(method.identity, now), latency)
        by_method: dict[object, list[EndpointSample]] = {}
        for sample in recent:
            by_method.setdefault(sample.method_identity, []).append(sample)
        health.cached_until = recent[0].ended_at + SAMPLE_LIFETIME if recent else math.inf
        health.cached_capacities = {
            identity: 0.0 if is_failing(samples) else self._capacity(endpoint, samples, latency)
            for identity, samples in by_method.items()
        }
        health.cached_capacity = (
            0.0 if is_failing(recent) else self._capacity(endpoint, recent, latency)
        )
        return health.cached_capacities.get(method.identity, health.cached_capacity)

    def _outlier_capacity(
        self, endpoint: Endpoint, health: EndpointHealth, method: Method, now: float
    ) -> float:
        """Return the capacity for a method, computed without the check for outliers."""
        recent = health.recent_samples(None, now)
        latency = relative_latency(recent[-LATENCY_SAMPLES:], health.in_flight, now)
        return self._capacity(endpoint, health.recent_samples(method.identity, now), latency)

    def on_attempt_started(self, attempt: SendAttempt) -> None:
        """Record an attempt that is sent to its endpoint."""
        health = self.endpoints[attempt.endpoint]
        health.in_flight[attempt] = len(health.in_flight)
        self.in_flight[attempt] = len(self.in_flight)
        health.cached_until = -math.inf

    def on_attempt_ended(
        self, attempt: SendAttempt, outcome: Outcome, duration: float, now: float
    ) -> None:
        """Record what the end of an attempt shows about its endpoint.

        Args:
            attempt: The attempt that ended; callers report each end only once.
            outcome: The outcome of the attempt.
            duration: The duration of the attempt, in seconds.
            now: The time.
        """
        method = attempt.rpc.method
        identity = method.identity
        health = self.endpoints.get(attempt.endpoint) or EndpointHealth()
        endpoint_in_flight = health.in_flight.pop(attempt, 0)
        total_in_flight = self.in_flight.pop(attempt, 0)
        health.cached_until = -math.inf
        was_cut_short = outcome in (CANCELLED, LATE)
        latency = duration / (method.latency_objective or 1.0)
        if was_cut_short or outcome == FULL:
            latency = 1.0  # at least the complete latency objective
        if outcome == OK:
            times = self.answer_times.setdefault(identity, deque(maxlen=MAX_ANSWER_TIMES))
            times.append(duration)
            self.typical_times[identity] = mean(times)
        if outcome in (OK, FULL) or (was_cut_short and not _answered_since(health, attempt)):
            # An attempt that was cut short is no latency sample if the endpoint has answered other
            # attempts since: the endpoint then has a fault, but is not slow.
            self.latency_samples.append(LatencySample(now, latency, total_in_flight))
        if outcome in (OK, ERROR, FULL):
            health.answered_at[identity] = now
        if outcome not in (NEVER_SENT, CANCELLED) or attempt.is_cancelled:
            health.add_sample(EndpointSample(now, identity, outcome, latency, endpoint_in_flight))

    def on_response_started(self, attempt: SendAttempt, now: float) -> None:
        """Record that an endpoint responds to a method."""
        health = self.endpoints.get(attempt.endpoint)
        if health is not None:
            health.answered_at[attempt.rpc.method.identity] = now

    def overload(self, now: float) -> float:
        """Return the overload of the endpoints, from 0 to `MAXIMUM_OVERLOAD`."""
        waiting = [attempt for attempt in self.in_flight if not self.is_overdue(attempt, now)]
        return estimate_overload(self.latency_samples, waiting, now)


def _eligible(candidates: list[Candidate], warm_before: float, scope: Scope) -> list[Candidate]:
    """Return the candidates that are warm and in a scope."""
    return [
        candidate
        for candidate in candidates
        if candidate[0].started_at <= warm_before
        and (scope is None or scope.includes(candidate[0]))
    ]


def _is_in_scope(endpoint: Endpoint, scope: Scope) -> bool:
    """Return whether a scope includes an endpoint."""
    return scope is None or scope.includes(endpoint)


def _answered_since(health: EndpointHealth, attempt: SendAttempt) -> bool:
    """Return whether an endpoint has answered any attempt since this one was sent."""
    return any(at > attempt.sent_at for at in health.answered_at.values())
