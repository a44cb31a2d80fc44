"""The schedule of discovery polls: the time of the next poll and the timeout of each poll.

The module contains no I/O: the caller tells `Backoff` when a poll starts and how it ends, and
`Backoff` computes times. Each poll starts at most `max_interval` seconds after the start of the
previous poll, whatever the outcome of that poll. If discovery answers within `t` seconds, the
gateway therefore receives every change at most `max_interval + t` seconds after discovery has the
change and is reachable. The caller owns the sockets, the endpoint list and the log.

The polls of many gateways must not synchronize, and gateways that retry too soon keep discovery
overloaded, yet no pause may exceed `max_interval`. After an event that all gateways see at the
same time (a rejection, a change), each gateway therefore draws its pause from most of that
interval, which spreads the gateways. It takes later draws from the upper end of the interval,
which needs the fewest polls.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

DESYNCHRONIZING_DRAW_MINIMUM = 0.2
"""The minimum of a random draw that desynchronizes gateways, as a fraction of its maximum."""

STEADY_DRAW_MINIMUM = 0.8
"""The minimum of a random draw of a desynchronized gateway, as a fraction of its maximum."""

JITTER_MINIMUM = 0.5
"""The shortest jittered pause, as a fraction of the pause before jitter."""

JITTER_MAXIMUM = 1.5
"""The longest jittered pause, as a fraction of the pause before jitter."""


class PollFailure(enum.Enum):
    """The reason why a poll returned no endpoint list."""

    TIMED_OUT = "silent"
    FAILED = "failed"
    REJECTED = "turned away"


class PollTimes(NamedTuple):
    """The intervals and timeouts of polls, all in seconds.

    Attributes:
        max_interval: The maximum interval between the starts of two consecutive polls.
        first_interval: The maximum interval between two polls before the first endpoint list.
        max_hold: The maximum time for which discovery may hold a long poll.
        grace: The time that the answer to a long poll may take after the end of its hold.
        poll_timeout: The timeout of a poll that discovery answers without a hold.
        initial_pause: The pause after the first failure, before jitter.
    """

    max_interval: float
    first_interval: float
    max_hold: float
    grace: float
    poll_timeout: float
    initial_pause: float


class Backoff:
    """The poll schedule of one gateway; the gateway's discovery client owns it.

    Attributes:
        times: The intervals and timeouts of polls.
        is_failing: Whether the last poll returned no endpoint list.
        deadline: The Unix time at which the current poll times out.
    """

    def __init__(self, random: Callable[[], float], times: PollTimes) -> None:
        """Initialize the schedule before the first poll.

        Args:
            random: A function that returns a random number between 0 and 1.
            times: The intervals and timeouts of polls.

        Raises:
            ValueError: The timeouts leave no time for a pause between two polls.
        """
        _validate_times(times)
        self.times = times
        self.is_failing = False
        self.deadline = 0.0
        self._random = random
        self._interval = times.first_interval
        self._next_pause = times.initial_pause
        # Whether the next poll does not wait for changes, so that an answer soon proves that
        # discovery is reachable.
        self._probes_next = False
        # Whether a random time was drawn since the last event that reached all gateways together.
        self._is_desynchronized = False
        self._started_at = 0.0
        self._hold = 0.0

    def start_poll(self, now: float, is_watch: bool) -> float:
        """Start a poll, including the dialing of its connection if there is none.

        Args:
            now: The current Unix time.
            is_watch: Whether the poll requests the changes since a version, which discovery may
                hold. Discovery returns a complete list immediately.

        Returns:
            The Unix time at which the poll times out.
        """
        self._started_at = now
        if is_watch and not self._probes_next:
            self._hold = self._draw(self.times.max_hold)
            self.deadline = now + (self._hold + self.times.grace)
        else:
            self._hold = 0.0
            self.deadline = now + self.times.poll_timeout
        return self.deadline

    def remaining_hold(self, now: float) -> float:
        """Return the seconds that discovery may hold the poll, less the time spent on dialing."""
        return max(0.0, min(self._hold, self.deadline - self.times.grace - now))

    def on_success(self, has_changes: bool) -> None:
        """Record that the poll returned an endpoint list.

        Changes reach all watching gateways at the same time. A gateway whose previous poll failed
        receives them at a different time, so they do not synchronize it with others.
        """
        self._is_desynchronized = self._is_desynchronized and (self.is_failing or not has_changes)
        self.is_failing = False
        self._probes_next = False
        self._next_pause = self.times.initial_pause
        self._interval = self.times.max_interval

    def pause_after(self, failure: PollFailure, now: float) -> float:
        """Record that the poll failed and return the seconds until the next poll.

        The poll after a timeout or a failure does not wait for changes, so that the gateway can
        distinguish an unreachable discovery service from one without changes. After a rejection
        the gateway knows that discovery is reachable, and discovery would only reject a poll that
        verifies this.
        """
        pause = self._pause_length(failure)
        if failure is PollFailure.TIMED_OUT:
            self._next_pause = self.times.initial_pause
        else:
            self._next_pause = min(2 * pause, self.times.max_interval)
        self._is_desynchronized = self._is_desynchronized and self.is_failing
        self.is_failing = True
        self._probes_next = failure is not PollFailure.REJECTED
        remaining = max(self.times.initial_pause / 2, self._started_at + self._interval - now)
        if JITTER_MAXIMUM * pause <= remaining:
            return pause * (JITTER_MINIMUM + self._random())
        return self._draw(remaining)

    def _pause_length(self, failure: PollFailure) -> float:
        """Return the pause before jitter, in seconds.

        A timeout needs only the initial pause, because the poll itself took long enough.
        """
        if failure is PollFailure.TIMED_OUT:
            return self.times.initial_pause
        if failure is PollFailure.REJECTED:
            return self.times.max_interval
        return self._next_pause

    def _draw(self, maximum: float) -> float:
        """Return a random time of at most `maximum` seconds."""
        minimum = STEADY_DRAW_MINIMUM if self._is_desynchronized else DESYNCHRONIZING_DRAW_MINIMUM
        self._is_desynchronized = True
        return maximum * (minimum + (1 - minimum) * self._random())


def _validate_times(times: PollTimes) -> None:
    longest_poll = max(times.max_hold + times.grace, times.poll_timeout)
    longest_pause = JITTER_MAXIMUM * times.initial_pause
    if (
        longest_poll + longest_pause > times.max_interval
        or times.poll_timeout + longest_pause > times.first_interval
    ):
        raise ValueError(
            f"expected poll timeouts that leave time for a pause of {longest_pause} s, found a "
            f"long poll of {times.max_hold} + {times.grace} s and a poll of {times.poll_timeout} s "
            f"in intervals of {times.max_interval} s and {times.first_interval} s"
        )
