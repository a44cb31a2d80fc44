"""Whether the shared counter answers: silent, degraded or well; and when a silent one is probed.

The counter is silent after a few failed top-ups in a row; then no RPC waits for it. It is degraded
while a share of the last top-ups failed; then the fair share of a customer's quota goes first.
"""

import math
from collections import deque
from collections.abc import Callable

from petrellane.decisions.actions import COUNTER_RECOVERED, COUNTER_UNREACHABLE, WriteLog
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME

SILENT_AFTER = 2  # failed top-ups in a row after which the counter counts as silent
DEGRADED_SHARE = 0.05  # share of failed top-ups from which the counter counts as degraded
PROBE_INTERVAL = 1.0  # mean seconds between top-ups while the counter is silent
TIMEOUT_SHARE = 0.6  # our deadline for a top-up, as a share of the counter's own timeout
RESULTS_KEPT = 32  # the last top-ups that are looked at


class CounterHealth:
    """What the last top-ups say of the counter; owned by the lease manager.

    Attributes:
        is_silent: Whether no RPC waits for it.
        next_probe_at: When a silent counter is asked next; never where there is no counter.
        timeout: Seconds after which a top-up counts as failed.
    """

    def __init__(self, random: Callable[[], float], *, has_counter: bool) -> None:
        self.is_silent = not has_counter
        self.next_probe_at = -math.inf if has_counter else math.inf
        self.timeout = 0.0
        self._random = random
        self._results: deque[tuple[float, bool]] = deque(maxlen=RESULTS_KEPT)  # (time, in time)

    def set_timeout(self, counter_timeout: float) -> None:
        """Take over the counter's own timeout, in seconds."""
        self.timeout = TIMEOUT_SHARE * counter_timeout

    def is_degraded(self, now: float) -> bool:
        """Whether a share of the last top-ups failed: guards against a slow counter."""
        recent = [in_time for at, in_time in self._results if now - at <= SAMPLE_LIFETIME]
        failed = recent.count(False)
        return failed >= SILENT_AFTER and failed > DEGRADED_SHARE * len(recent)

    def schedule_probe(self, now: float) -> None:
        """Set when a silent counter is asked next.

        Half to one and a half intervals from now, so that gateways do not ask in step.
        """
        self.next_probe_at = now + PROBE_INTERVAL * (0.5 + self._random())

    def on_failure(self, now: float) -> list[WriteLog]:
        """Note a top-up that had no answer in time; logs when the counter falls silent."""
        self._results.append((now, False))
        if self.is_silent:
            return []
        last = [in_time for _, in_time in self._results][-SILENT_AFTER:]
        if last != [False] * SILENT_AFTER:
            return []
        self.is_silent = True
        self.schedule_probe(now)
        text = f"counter silent: {SILENT_AFTER} asks in a row failed"
        return [WriteLog(COUNTER_UNREACHABLE, text)]

    def on_success(self, now: float) -> list[WriteLog]:
        """Note a top-up that was answered; logs when the counter is back."""
        was_silent = self.is_silent
        self.is_silent = False
        self._results.append((now, True))
        if not was_silent:
            return []
        return [WriteLog(COUNTER_RECOVERED, "counter answers again")]
