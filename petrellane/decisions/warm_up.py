"""Slow start: the share of the load that a warming endpoint may get.

The probability that a warming endpoint is picked is its share of the total capacity. Two safeguards
reduce this share. One protects against a burst of attempts, which latency shows too late. The other
protects against the load that endpoints leave behind when they disappear from the list.
"""

from collections.abc import Sequence

# Maximum growth of a warming endpoint's share when other endpoints have just gone, as a factor.
DEPARTED_CAPACITY_FACTOR = 1.5


def effective_capacity(
    capacity: float, recent_maximum: float, latencies: Sequence[float], in_flight: int
) -> float:
    """Return the total capacity by which the shares of warming endpoints are computed.

    The unit is the capacity of a warm standard endpoint.

    Args:
        capacity: The current capacity of all ready endpoints.
        recent_maximum: The highest capacity of the last seconds.
        latencies: The relative latencies of the last attempts.
        in_flight: The number of attempts in flight.

    Returns:
        At least `capacity`; more if capacity has just dropped, or if less than half of the attempts
        are answered within their latency objective.
    """
    # At least 1 while half or more of the attempts are answered within their latency objective.
    in_time = sum(latency < 1 for latency in latencies)
    carried = 2 * (1 + in_time) / (1 + len(latencies) + in_flight)
    return max(capacity, recent_maximum / DEPARTED_CAPACITY_FACTOR) / min(1.0, carried)
