"""Small calculations that several of the decisions share; free of state that outlives a call."""

from collections import deque
from collections.abc import Iterable

try:
    # `hashlib` loads OpenSSL, which slows down the start of `serve`; the standard library's
    # `random` takes its hash in the same way.
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

MAXIMUM_VALUES = 4096  # values that a sliding maximum keeps: a bound on memory


def stable_hash(text: str) -> int:
    """A hash below 2**63 that is the same in every process and at every start."""
    digest = blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


def mean(values: Iterable[float], default: float = 0.0) -> float:
    """The arithmetic mean, summed in the order of the values; the default where there are none."""
    values = list(values)
    return sum(values) / len(values) if values else default


class SlidingMaximum:
    """The highest value of the last `span` seconds.

    A value that a later one reached is dropped, so the values fall from the oldest to the newest.
    At most `MAXIMUM_VALUES` are kept; beyond that the oldest goes.
    """

    def __init__(self, span: float) -> None:
        self.span = span  # seconds
        self.values: deque[tuple[float, float]] = deque(maxlen=MAXIMUM_VALUES)  # (time, value)

    def add(self, time: float, value: float) -> None:
        """Note a value; times must not go back."""
        while self.values and self.values[-1][1] <= value:
            self.values.pop()
        self.values.append((time, value))

    def maximum(self, now: float) -> float:
        """The highest value by now; 0.0 where there is none."""
        while self.values and now - self.values[0][0] > self.span:
            self.values.popleft()
        return self.values[0][1] if self.values else 0.0
