"""Load balancing: which endpoints are used, what capacity each has, and the draw of one.

A gateway uses a subset of the endpoints, as many as its own attempts can keep it informed of. An
endpoint is drawn with odds in step with its capacity, as its samples and its attempts in flight
show it; outliers get nothing while others are left. Random numbers and the time are handed in.
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

SUBSET_MINIMUM = 12  # endpoints that a gateway uses at least
SAMPLES_PER_ENDPOINT = 4  # samples for each endpoint of the subset within SAMPLE_LIFETIME
SUBSET_ROTATION = 5.0  # seconds after which one of a subset is exchanged
OVERDUE_MULTIPLE = 8.0  # an attempt is overdue at this multiple of its method's typical time
OVERDUE_SHARE = 0.75  # or at this share of its method's latency objective, if that comes sooner
# The typical time assumed of a method without answers: its latency objective divided by this.
UNKNOWN_METHOD_DIVISOR = 8
SAME_ZONE_ODDS = 3.0  # odds of an endpoint in our zone, where crossing zones has a price
ANSWER_TIMES_KEPT = 64  # the last times of ok answers of a method
# Successes assumed beside an endpoint's samples, so that one failure among few weighs little.
PRIOR_SUCCESSES = 2
LATENCY_SAMPLES_KEPT = 1024  # the last attempts of all endpoints: a bound on memory

Candidate: TypeAlias = tuple[Endpoint, EndpointHealth]


class LoadBalancer:
    """The endpoints and what is known of them; owned by the controller.

    Attributes:
        endpoints: The endpoint list with each endpoint's health.
        subset: The endpoints in use, with their health, in no order that means anything.
        in_flight: All attempts in flight, oldest first, each with how many were before it.
        recent: The last attempts that ended, oldest first.
        answer_times: Seconds of the last ok answers, by method identity.
        typical_times: Their means.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng.random
        self.choices = rng.choices
        self.choice = rng.choice
        self.sample = rng.sample
        self.endpoints: EndpointList[EndpointHealth] = EndpointList(EndpointHealth)
        self.zone = ""
        self.same_zone_odds = 1.0
        self.subset: list[Candidate] = []
        self.rotated_at = 0.0
        self.in_flight: dict[SendAttempt, int] = {}
        self.recent_capacity = SlidingMaximum(SAMPLE_LIFETIME)  # up to each change of the list
        self.recent: deque[LatencySample] = deque(maxlen=LATENCY_SAMPLES_KEPT)
        self.answer_times: dict[object, deque[float]] = {}
        self.typical_times: dict[object, float] = {}

    def reconfigure(
        self,
        zone: str,
        same_zone_odds: float,
        slow_start: float,
        slow_start_minimum: float,
        method_identities: Collection[object],
    ) -> None:
        """Take over new settings; what is known of methods that have gone is dropped."""
        self.endpoints.set_slow_start(slow_start, slow_start_minimum)
        self.zone = zone
        self.same_zone_odds = same_zone_odds
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
        """Take over a list or changes to it."""
        self.recent_capacity.add(now, self.endpoints.capacity(now))
        for endpoint, health, change in self.endpoints.apply_events(now, is_full, events):
            health.cached_until = -math.inf
            if change is EndpointChange.RESTARTED:
                health.samples = []  # what was known is of another process
            elif change is EndpointChange.NEW:
                self._offer_to_subset(endpoint, health)
        self.subset = [
            (endpoint, health)
            for endpoint, health in self.subset
            if endpoint.state == READY and self.endpoints.get(endpoint) is health
        ]

    def _offer_to_subset(self, endpoint: Endpoint, health: EndpointHealth) -> None:
        """Use a new endpoint as likely as any other, in place of one of the subset."""
        if self.random() * len(self.endpoints) < len(self.subset):
            self.subset[int(self.random() * len(self.subset))] = (endpoint, health)

    def current_subset(self, now: float) -> list[Candidate]:
        """The subset, brought to its size, with one endpoint exchanged at times."""
        ready = len(self.endpoints.ready())
        subset = self.subset
        rate = 0.0
        if self.recent:
            rate = len(self.recent) / max(1.0, now - self.recent[0][0])
        informed = round(rate * SAMPLE_LIFETIME / SAMPLES_PER_ENDPOINT)
        size = min(ready, max(SUBSET_MINIMUM, informed))
        is_rotation_due = size < ready and now - self.rotated_at >= SUBSET_ROTATION
        if len(subset) > size or (is_rotation_due and subset):
            subset.remove(self.choice(subset))
            self.rotated_at = now
        number = 1
        while (missing := size - len(subset)) > 0:
            # Of a few drawn, most are not in use yet; of all drawn, there are enough.
            number *= 2
            drawn = self.endpoints.sample(self.sample, number)
            subset += [candidate for candidate in drawn if candidate not in subset][:missing]
        return subset

    def typical_time(self, method: Method) -> float:
        """Seconds that an ok answer of this method usually takes."""
        assumed = method.latency_objective / UNKNOWN_METHOD_DIVISOR
        return self.typical_times.get(method.identity, assumed)

    def is_overdue(self, attempt: SendAttempt, now: float) -> bool:
        """Whether an attempt is in flight for so long that its endpoint must be silent.

        An answer to the same method since shows that it is not. A shorter limit hurts: an RPC of
        much work takes as long at any endpoint, and its first run would be wasted.
        """
        method = attempt.rpc.method
        health = self.endpoints.get(attempt.endpoint)
        answered_at = health.answered_at.get(method.identity, -math.inf) if health else -math.inf
        limit = min(
            OVERDUE_MULTIPLE * self.typical_time(method), OVERDUE_SHARE * method.latency_objective
        )
        return now - attempt.sent_at > limit and answered_at <= attempt.sent_at

    def is_outlier(self, health: EndpointHealth, method: Method, now: float) -> bool:
        """Whether an endpoint is silent, unreachable, or fails much of what it gets of a method."""
        identity = method.identity
        same = [attempt for attempt in health.in_flight if attempt.rpc.method.identity is identity]
        if any(self.is_overdue(attempt, now) for attempt in same):
            return True
        return is_failing(health.recent(identity, now))

    def effective_capacity(self, now: float) -> float:
        """The capacity out of which warming endpoints have their part, in warm endpoints."""
        span = OVERLOAD_SPANS[0][1]
        latencies = [latency for at, latency, _ in self.recent if now - at <= span]
        capacity = self.endpoints.capacity(now)
        recent_maximum = self.recent_capacity.maximum(now)
        return warm_up.effective_capacity(capacity, recent_maximum, latencies, len(self.in_flight))

    def pick_endpoint(self, now: float, rpc: Rpc, scope: Scope) -> Endpoint | None:
        """Draw an endpoint for an RPC, with odds in step with capacity.

        Returns:
            An endpoint of the scope, not tried before where there is another; None where none may
            take it, as more work would only be late.
        """
        method = rpc.method
        tried = {attempt.endpoint for attempt in rpc.attempts}
        warming = self._pick_warming(now, method, tried, scope)
        if warming is not None:
            return warming
        candidates = self._candidates(now, tried, scope)
        capacities = self._capacities(now, method, candidates)
        usable = len(capacities) - capacities.count(0.0)
        if not usable:
            return None
        self._discount_in_flight(candidates, capacities, usable)
        return self.choices(candidates, capacities)[0][0]

    def _pick_warming(
        self, now: float, method: Method, tried: Collection[Endpoint], scope: Scope
    ) -> Endpoint | None:
        """Draw a warming endpoint with the part of all RPCs that its warm-up allows.

        Where the one drawn may not take the RPC, its part is for warm ones: another warming one
        would get two parts.
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
        """The warm endpoints of the subset in a scope, or others where the subset has none."""
        warm_before = self.endpoints.advance_warm_up(now)
        number = max(SUBSET_MINIMUM, len(self.subset))
        ready = _eligible(self.current_subset(now), warm_before, scope)
        untried = [candidate for candidate in ready if candidate[0] not in tried] or ready
        if untried:
            return untried
        others = self.endpoints.sample_warm(self.sample, number, scope)
        ready = _eligible(others, warm_before, scope)
        return [candidate for candidate in ready if candidate[0] not in tried] or ready

    def _capacities(self, now: float, method: Method, candidates: list[Candidate]) -> list[float]:
        """The capacity of each candidate for a method; where all are outliers, as if none were."""
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
        """Lower the capacity of candidates by what of ours is in flight there, beside the usual."""
        loads = {
            index: len(health.in_flight) / endpoint.weight
            for index, (endpoint, health) in enumerate(candidates)
            if health.in_flight and capacities[index]
        }
        usual = 1 + sum(loads.values()) / max(1, usable)
        for index, load in loads.items():
            capacities[index] /= (1 + load / usual) ** 2

    def _capacity(self, endpoint: Endpoint, samples: list[EndpointSample], latency: float) -> float:
        """What an endpoint is thought to carry, in no unit but its own; 0.0 under overload."""
        succeeded = sum(sample[2] == OK for sample in samples) + PRIOR_SUCCESSES
        share = succeeded / (len(samples) + PRIOR_SUCCESSES)
        odds = self.same_zone_odds if endpoint.zone == self.zone else 1.0
        if latency >= OVERLOAD_FULL:
            return 0.0
        return odds * endpoint.weight * (share / latency) ** 2

    def _current_capacity(
        self, endpoint: Endpoint, health: EndpointHealth, method: Method, now: float
    ) -> float:
        """The capacity for a method; 0.0 for an outlier.

        While nothing of ours is in flight there, it is cached for as long as the samples speak.
        """
        recent = health.recent(None, now)
        latency = relative_latency(recent[-LATENCY_SAMPLES:], health.in_flight, now)
        if health.in_flight:
            if self.is_outlier(health, method, now):
                return 0.0
            return self._capacity(endpoint, health.recent(method.identity, now), latency)
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
        """The capacity for a method although the endpoint is an outlier."""
        recent = health.recent(None, now)
        latency = relative_latency(recent[-LATENCY_SAMPLES:], health.in_flight, now)
        return self._capacity(endpoint, health.recent(method.identity, now), latency)

    def on_attempt_started(self, attempt: SendAttempt) -> None:
        """Note an attempt that goes to its endpoint."""
        health = self.endpoints[attempt.endpoint]
        health.in_flight[attempt] = len(health.in_flight)
        self.in_flight[attempt] = len(self.in_flight)
        health.cached_until = -math.inf

    def on_attempt_ended(
        self, attempt: SendAttempt, outcome: Outcome, took: float, now: float
    ) -> None:
        """Note what the end of an attempt says of its endpoint.

        Args:
            attempt: What has ended; noted once, also where it is reported again.
            outcome: How it ended.
            took: Seconds that it took.
            now: The time.
        """
        method = attempt.rpc.method
        identity = method.identity
        health = self.endpoints.get(attempt.endpoint) or EndpointHealth()
        endpoint_in_flight = health.in_flight.pop(attempt, 0)
        total_in_flight = self.in_flight.pop(attempt, 0)
        health.cached_until = -math.inf
        was_cut_short = outcome in (CANCELLED, LATE)
        latency = took / (method.latency_objective or 1.0)
        if was_cut_short or outcome == FULL:
            latency = 1.0  # no less than all of the objective
        if outcome == OK:
            times = self.answer_times.setdefault(identity, deque(maxlen=ANSWER_TIMES_KEPT))
            times.append(took)
            self.typical_times[identity] = mean(times)
        if outcome in (OK, FULL) or (was_cut_short and not _answered_since(health, attempt)):
            # Else the endpoint answers others: it is faulty, not slow.
            self.recent.append(LatencySample(now, latency, total_in_flight))
        if outcome in (OK, ERROR, FULL):
            health.answered_at[identity] = now
        if outcome not in (NEVER_SENT, CANCELLED) or attempt.is_cancelled:
            health.add_sample(EndpointSample(now, identity, outcome, latency, endpoint_in_flight))

    def on_response_started(self, attempt: SendAttempt, now: float) -> None:
        """Note that an endpoint answers a method."""
        health = self.endpoints.get(attempt.endpoint)
        if health is not None:
            health.answered_at[attempt.rpc.method.identity] = now

    def overload(self, now: float) -> float:
        """How overloaded the endpoints are, from 0 to `MAXIMUM_OVERLOAD`."""
        waiting = [attempt for attempt in self.in_flight if not self.is_overdue(attempt, now)]
        return estimate_overload(self.recent, waiting, now)


def _eligible(candidates: list[Candidate], warm_before: float, scope: Scope) -> list[Candidate]:
    """The candidates that are warm and in a scope."""
    return [
        candidate
        for candidate in candidates
        if candidate[0].started_at <= warm_before
        and (scope is None or scope.includes(candidate[0]))
    ]


def _is_in_scope(endpoint: Endpoint, scope: Scope) -> bool:
    """Whether an attempt that may go to a scope may go to an endpoint."""
    return scope is None or scope.includes(endpoint)


def _answered_since(health: EndpointHealth, attempt: SendAttempt) -> bool:
    """Whether an endpoint has answered anything since an attempt was sent."""
    return any(at > attempt.sent_at for at in health.answered_at.values())
