"""The health of endpoints, as this gateway's own attempts show it: samples, failures and latency.

Latency is relative: the duration of an attempt divided by its method's latency objective, so that
methods of any duration are comparable. The module does no I/O; the caller passes the time.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.numeric import mean
from petrellane.decisions.types import FULL, OK, UNREACHABLE, Outcome

SAMPLE_LIFETIME = 10.0  # seconds after which a sample expires
MAX_SAMPLES = 16  # samples retained for each endpoint
LATENCY_SAMPLES = 8  # most recent samples from which an endpoint's latency is estimated
PRIOR_LATENCIES = [0.1, 0.1]  # relative latencies added as a prior to the samples, which may be few
# Attempts in flight added to both terms of the growth ratio, to stabilize it for small numbers.
PRIOR_IN_FLIGHT = 3


class LatencySample(NamedTuple):
    """One attempt that has ended, at any endpoint."""

    ended_at: float
    relative_latency: float  # share of the latency objective
    in_flight: int  # this gateway's attempts in flight when it was sent


class EndpointSample(NamedTuple):
    """One attempt that has ended at one endpoint."""

    ended_at: float
    method_identity: object
    outcome: Outcome
    relative_latency: float  # share of the latency objective
    in_flight: int  # this gateway's attempts in flight at the endpoint when it was sent


class _HasLatency(Protocol):
    """A `LatencySample` or an `EndpointSample`."""

    @property
    def relative_latency(self) -> float:
        """The duration as a share of the latency objective."""

    @property
    def in_flight(self) -> int:
        """The number of attempts in flight when this one was sent."""


class EndpointHealth:
    """The health of one endpoint; owned by the endpoint list while the endpoint is listed.

    Attributes:
        in_flight: The attempts in flight, oldest first, each with the number in flight before it.
        samples: The samples of the last attempts, oldest first.
        answered_at: The time of the endpoint's last response, by method identity.
        cached_until: The time until which the cached capacities are valid.
        cached_capacities: The capacity by method identity, from the samples of that method.
        cached_capacity: The capacity for any other method.
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

    def recent_samples(self, method_identity: object, now: float) -> list[EndpointSample]:
        """Return the unexpired samples of a method, or of all methods if that method has none."""
        recent = [sample for sample in self.samples if now - sample[0] <= SAMPLE_LIFETIME]
        return [sample for sample in recent if sample[1] is method_identity] or recent

    def add_sample(self, sample: EndpointSample) -> None:
        """Add the sample of an attempt that ended."""
        self.samples = [*self.samples[1 - MAX_SAMPLES :], sample]


def is_failing(samples: Sequence[EndpointSample]) -> bool:
    """Return whether the endpoint of these samples is failing.

    The endpoint is failing if failed samples outnumber the others by more than one, or if the last
    attempt could not reach it.
    """
    failed = sum(sample[2] not in (OK, FULL) for sample in samples)
    return bool(samples) and (failed * 2 > len(samples) + 1 or samples[-1][2] == UNREACHABLE)


def relative_latency(
    samples: Sequence[_HasLatency], in_flight: Iterable[SendAttempt], now: float
) -> float:
    """Return the expected relative latency of one more attempt.

    The result is the mean over the samples and over the ages of those attempts in flight whose age
    exceeds the samples' mean, multiplied by the ratio of the current to the usual number in flight.
    If the ratio is below 1, its square root is used instead, because other gateways also send to
    the endpoints.
    """
    latencies = [sample.relative_latency for sample in samples] + PRIOR_LATENCIES
    mean_latency = mean(latencies)
    mean_in_flight = mean([sample.in_flight for sample in samples], 1.0)
    ages = [
        (now - attempt.sent_at) / (attempt.rpc.method.latency_objective or 1.0)
        for attempt in in_flight
    ]
    growth = (PRIOR_IN_FLIGHT + len(ages)) / (PRIOR_IN_FLIGHT + mean_in_flight)
    expected = mean(latencies + [age for age in ages if age > mean_latency])
    return expected * max(growth, math.sqrt(growth))
