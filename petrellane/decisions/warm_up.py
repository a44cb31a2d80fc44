"""Slow start: how much of the load an endpoint that is warming up may get.

A warming endpoint is drawn with the part that its capacity has of all capacity. Two guards make
that part smaller than the list alone would: against a flood of attempts, which latency shows too
late, and against the work of endpoints that have just gone.
"""

from collections.abc import Sequence

# What warming endpoints may take over of those just gone, as a multiple of what each had.
DEPARTED_CAPACITY_FACTOR = 1.5


def effective_capacity(
    capacity: float, recent_maximum: float, latencies: Sequence[float], in_flight: int
) -> float:
    """The capacity out of which a warming endpoint has its part, in warm endpoints.

    Args:
        capacity: Of all ready endpoints by now.
        recent_maximum: The highest capacity of the last seconds.
        latencies: Relative latencies of the last attempts.
        in_flight: Attempts in flight.

    Returns:
        At least `capacity`; more once endpoints carry less than half of what is sent.
    """
    # At least 1 while half of what is sent, or more, is answered within its latency objective.
    in_time = sum(latency < 1 for latency in latencies)
    carried = 2 * (1 + in_time) / (1 + len(latencies) + in_flight)
    return max(capacity, recent_maximum / DEPARTED_CAPACITY_FACTOR) / min(1.0, carried)
