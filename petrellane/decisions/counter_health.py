"""The health of the shared counter: reachable, degraded or unreachable.

After a few failed top-ups in a row the counter counts as unreachable. Occasional top-ups then probe
it, and a new RPC waits for the counter only if its own top-up is such a probe. While more than a
small share of the recent top-ups have failed, the counter counts as degraded, and a lease grants
this gateway's fair share of the quota before the gateway asks the counter.
"""

import math
from collections import deque
from collections.abc import Callable

from petrellane.decisions.actions import COUNTER_RECOVERED, COUNTER_UNREACHABLE, WriteLog
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME

UNREACHABLE_AFTER = 2  # failed top-ups in a row after which the counter counts as unreachable
DEGRADED_SHARE = 0.05  # share of failed top-ups above which the counter counts as degraded
PROBE_INTERVAL = 1.0  # mean seconds between probes of an unreachable counter
TIMEOUT_SHARE = 0.6  # timeout of a top-up, as a share of the counter's own timeout
MAX_RESULTS = 32  # recent top-ups that are considered


class CounterHealth:
    """The health of the counter, as recent top-ups show it; owned by the lease manager.

    Attributes:
        is_unreachable: Whether the counter counts as unreachable; always true without a counter.
        next_probe_at: The time of the next probe of an unreachable counter; infinite without a
            counter.
        timeout: The seconds after which a top-up counts as failed.
    """

    def __init__(self, random: Callable[[], float], *, has_counter: bool) -> None:
        self.is_unreachable = not has_counter
        self.next_probe_at = -math.inf if has_counter else math.inf
        self.timeout = 0.0
        self._random = random
        # (time, whether the reply was in time) of each recent top-up.
        self._results: deque[tuple[float, bool]] = deque(maxlen=MAX_RESULTS)

    def set_timeout(self, counter_timeout: float) -> None:
        """Set the timeout of top-ups from the counter's own timeout, in seconds."""
        self.timeout = TIMEOUT_SHARE * counter_timeout

    def is_degraded(self, now: float) -> bool:
        """Return whether too many recent top-ups failed, which detects a slow counter."""
        recent = [in_time for at, in_time in self._results if now - at <= SAMPLE_LIFETIME]
        failed = recent.count(False)
        return failed >= UNREACHABLE_AFTER and failed > DEGRADED_SHARE * len(recent)

    def schedule_probe(self, now: float) -> None:
        """Schedule the next probe of an unreachable counter.

        The delay is random, from 0.5 to 1.5 intervals, so that gateways do not probe in step.
        """
        self.next_probe_at = now + PROBE_INTERVAL * (0.5 + self._random())

    def on_failure(self, now: float) -> list[WriteLog]:
        """Record a top-up without a timely reply; log if the counter becomes unreachable."""
        self._results.append((now, False))
        if self.is_unreachable:
            return []
        last = [in_time for _, in_time in self._results][-UNREACHABLE_AFTER:]
        if last != [False] * UNREACHABLE_AFTER:
            return []
        self.is_unreachable = True
        self.schedule_probe(now)
        text = f"counter silent: {UNREACHABLE_AFTER} asks in a row failed"
        return [WriteLog(COUNTER_UNREACHABLE, text)]

    def on_success(self, now: float) -> list[WriteLog]:
        """Record a top-up with a reply; log if the counter has recovered."""
        was_unreachable = self.is_unreachable
        self.is_unreachable = False
        self._results.append((now, True))
        if not was_unreachable:
            return []
        return [WriteLog(COUNTER_RECOVERED, "counter answers again")]
