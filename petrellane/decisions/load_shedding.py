"""Load shedding: under overload the RPCs of the least worth for their work are rejected.

Overload is estimated from the relative latency of our own attempts, wherever they went, as a
gateway may learn little of each endpoint. It is 0 at ease and reaches its maximum where an endpoint
would get no more attempts.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME, LatencySample, relative_latency
from petrellane.decisions.types import Rpc

OVERLOAD_ONSET = 0.2  # relative latency from which endpoints count as overloaded
OVERLOAD_FULL = 0.6  # relative latency of full overload, and of an endpoint that gets no more
MAXIMUM_OVERLOAD = 0.9  # share of RPCs shed at most: the rest shows when overload ends
VALUES_KEPT = 64  # RPCs whose worth an RPC is ranked among

# Samples that overload is estimated from: at least so many, and all of so many seconds. The higher
# of the two estimates counts, so overload rises sooner than it falls.
OVERLOAD_SPANS = (
    (64, 2.5),
    (64, 0.6),
)


def estimate_overload(
    samples: Iterable[LatencySample], in_flight: Sequence[SendAttempt], now: float
) -> float:
    """The overload from 0 to `MAXIMUM_OVERLOAD`.

    Args:
        samples: The last attempts that ended.
        in_flight: Attempts in flight, but for overdue ones: a silent endpoint is not a slow one.
        now: The time.
    """
    recent = [sample for sample in samples if now - sample.ended_at <= SAMPLE_LIFETIME]
    numbers = [
        max(minimum, sum(now - sample.ended_at <= span for sample in recent))
        for minimum, span in OVERLOAD_SPANS
    ]
    latency = max(relative_latency(recent[-number:], in_flight, now) for number in numbers)
    share = (latency - OVERLOAD_ONSET) / (OVERLOAD_FULL - OVERLOAD_ONSET)
    return min(MAXIMUM_OVERLOAD, max(0.0, share))


class LoadShedder:
    """Which RPCs are rejected under overload; owned by the controller for the life of the process.

    Attributes:
        overload: As of the last periodic check.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self.overload = 0.0
        self._random = random
        self._values: deque[float] = deque(maxlen=VALUES_KEPT)  # of the last RPCs

    def should_shed(self, rpc: Rpc, typical_time: float) -> bool:
        """Whether an RPC ranks so low by worth for its work that it is rejected now.

        Args:
            rpc: An RPC that has just come.
            typical_time: Seconds that its method usually takes.
        """
        value = rpc.method.priority_weight * rpc.customer.plan.price * rpc.units / typical_time
        self._values.append(value)
        below = sum(other < value for other in self._values)
        rank = (below + self._random()) / len(self._values)
        return rank < self.overload
