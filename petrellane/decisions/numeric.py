"""Small calculations that several decision modules share."""

from collections import deque
from collections.abc import Iterable

try:
    # `hashlib` loads OpenSSL, which slows down the start of `serve`. The standard library's
    # `random` avoids it in the same way.
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

MAXIMUM_VALUES = 4096  # values that a sliding maximum retains, to bound memory


def stable_hash(text: str) -> int:
    """Return a hash below 2**63 that is the same in every process and after every restart."""
    digest = blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


def mean(values: Iterable[float], default: float = 0.0) -> float:
    """Return the mean, summed in the order of the values, or the default without values."""
    values = list(values)
    return sum(values) / len(values) if values else default


class SlidingMaximum:
    """The maximum of the values of the last `span` seconds.

    Adding a value drops all earlier values that do not exceed it, so the retained values decrease
    from the oldest to the newest. At most `MAXIMUM_VALUES` are retained; beyond that number the
    oldest value is dropped.
    """

    def __init__(self, span: float) -> None:
        self.span = span  # seconds
        self.values: deque[tuple[float, float]] = deque(maxlen=MAXIMUM_VALUES)  # (time, value)

    def add(self, time: float, value: float) -> None:
        """Add a value; its time must not be earlier than the previous one."""
        while self.values and self.values[-1][1] <= value:
            self.values.pop()
        self.values.append((time, value))

    def maximum(self, now: float) -> float:
        """Return the maximum at the given time; 0.0 without values."""
        while self.values and now - self.values[0][0] > self.span:
            self.values.popleft()
        return self.values[0][1] if self.values else 0.0
