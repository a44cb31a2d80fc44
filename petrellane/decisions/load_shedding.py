"""Load shedding: under overload, the RPCs with the least value for their work are rejected.

The gateway estimates overload from the relative latency of all its own attempts, because it may
have few samples of each endpoint. Overload is 0 up to the latency `OVERLOAD_ONSET` and reaches its
maximum close to `OVERLOAD_FULL`, the latency at which an endpoint gets no further attempts.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME, LatencySample, relative_latency
from petrellane.decisions.types import Rpc

OVERLOAD_ONSET = 0.2  # relative latency above which endpoints count as overloaded
OVERLOAD_FULL = 0.6  # relative latency at which an endpoint gets no further attempts
MAXIMUM_OVERLOAD = 0.9  # maximum share of RPCs shed; admitted RPCs show when overload ends
RANKED_RPCS = 64  # recent RPCs among which an RPC is ranked by its value

# For each overload estimate: the minimum number of samples, and the age in seconds up to which all
# samples are used. The higher estimate counts, so overload rises faster than it falls.
OVERLOAD_SPANS = (
    (64, 2.5),
    (64, 0.6),
)


def estimate_overload(
    samples: Iterable[LatencySample], in_flight: Sequence[SendAttempt], now: float
) -> float:
    """Return the overload, from 0 to `MAXIMUM_OVERLOAD`.

    Args:
        samples: The samples of the last attempts that ended.
        in_flight: The attempts in flight without the overdue ones, because they
            indicate an unresponsive endpoint, not a slow one.
        now: The time.
    """
    recent = [sample for sample in samples if now - sample.ended_at <= SAMPLE_LIFETIME]
    counts = [
        max(minimum, sum(now - sample.ended_at <= span for sample in recent))
        for minimum, span in OVERLOAD_SPANS
    ]
    latency = max(relative_latency(recent[-count:], in_flight, now) for count in counts)
    share = (latency - OVERLOAD_ONSET) / (OVERLOAD_FULL - OVERLOAD_ONSET)
    return min(MAXIMUM_OVERLOAD, max(0.0, share))


class LoadShedder:
    """Decides which RPCs are rejected under overload.

    Owned by the controller for the life of the process.

    Attributes:
        overload: The overload at the last periodic check.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self.overload = 0.0
        self._random = random
        self._values: deque[float] = deque(maxlen=RANKED_RPCS)  # values of the last RPCs

    def should_shed(self, rpc: Rpc, typical_time: float) -> bool:
        """Return whether an RPC is rejected now, because its value for its work ranks too low.

        Args:
            rpc: An RPC that has just arrived.
            typical_time: The typical duration of its method, in seconds.
        """
        value = rpc.method.priority_weight * rpc.customer.plan.price * rpc.units / typical_time
        self._values.append(value)
        below = sum(other < value for other in self._values)
        rank = (below + self._random()) / len(self._values)
        return rank < self.overload
