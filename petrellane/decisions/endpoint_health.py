"""What is known of the endpoints from our own attempts: samples, failures and latency.

Latency is relative: the time of an attempt as a share of its method's latency objective, so that
methods of any length say the same of an endpoint. Free of I/O; the caller hands in the time.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.numeric import mean
from petrellane.decisions.types import FULL, OK, UNREACHABLE, Outcome

SAMPLE_LIFETIME = 10.0  # seconds for which a sample counts
SAMPLES_KEPT = 16  # the last samples of an endpoint that are kept
LATENCY_SAMPLES = 8  # of these, the last that its latency is estimated from
PRIOR_LATENCIES = [0.1, 0.1]  # relative latencies assumed where little is known
# Attempts in flight added to both sides of the growth ratio, so that small numbers do not swing it.
PRIOR_IN_FLIGHT = 3


class LatencySample(NamedTuple):
    """One attempt that has ended, wherever it went."""

    ended_at: float
    relative_latency: float  # share of the latency objective
    in_flight: int  # how many of our attempts were in flight when it was sent


class EndpointSample(NamedTuple):
    """One attempt that has ended at an endpoint."""

    ended_at: float
    method_identity: object
    outcome: Outcome
    relative_latency: float  # share of the latency objective
    in_flight: int  # how many of our attempts were in flight there when it was sent


class _HasLatency(Protocol):
    """Either kind of sample."""

    @property
    def relative_latency(self) -> float:
        """Share of the latency objective."""

    @property
    def in_flight(self) -> int:
        """Attempts in flight when it was sent."""


class EndpointHealth:
    """What is known of one endpoint; owned by the endpoint list as long as the endpoint is in it.

    Attributes:
        in_flight: Attempts in flight, oldest first, each with how many were in flight before it.
        samples: The last attempts that ended there, oldest first.
        answered_at: When it last answered each method, by method identity.
        cached_until: Until when the capacities below hold.
        cached_capacities: Capacity by method identity, from the samples of that method.
        cached_capacity: Capacity for any other method.
    """

    __slots__ = (
        "answered_at",
        "cached_capacities",
        "cached_capacity",
        "cached_until",
        "in_flight",
        "samples",
    )

    def __init__(self) -> None:
        self.in_flight: dict[SendAttempt, int] = {}
        self.samples: list[EndpointSample] = []
        self.answered_at: dict[object, float] = {}
        self.cached_until = -math.inf
        self.cached_capacities: dict[object, float] = {}
        self.cached_capacity = 0.0

    def recent(self, method_identity: object, now: float) -> list[EndpointSample]:
        """The samples that still speak for it: of this method, or of all where it has none."""
        recent = [sample for sample in self.samples if now - sample[0] <= SAMPLE_LIFETIME]
        return [sample for sample in recent if sample[1] is method_identity] or recent

    def add_sample(self, sample: EndpointSample) -> None:
        """Note an attempt that ended."""
        self.samples = [*self.samples[1 - SAMPLES_KEPT :], sample]


def is_failing(samples: Sequence[EndpointSample]) -> bool:
    """Whether more than half of the samples failed, or the last one did not reach its endpoint."""
    failed = sum(sample[2] not in (OK, FULL) for sample in samples)
    return bool(samples) and (failed * 2 > len(samples) + 1 or samples[-1][2] == UNREACHABLE)


def relative_latency(
    samples: Sequence[_HasLatency], in_flight: Iterable[SendAttempt], now: float
) -> float:
    """The relative latency expected of one more attempt.

    It is the mean of what the last attempts took and of what those in flight have waited, where
    that is longer, in step with how many are in flight. Fewer in flight helps less than in step,
    as other gateways send too.
    """
    latencies = [sample.relative_latency for sample in samples] + PRIOR_LATENCIES
    usual = mean(latencies)
    usual_in_flight = mean([sample.in_flight for sample in samples], 1.0)
    ages = [
        (now - attempt.sent_at) / (attempt.rpc.method.latency_objective or 1.0)
        for attempt in in_flight
    ]
    growth = (PRIOR_IN_FLIGHT + len(ages)) / (PRIOR_IN_FLIGHT + usual_in_flight)
    expected = mean(latencies + [age for age in ages if age > usual])
    return expected * max(growth, math.sqrt(growth))
