"""When discovery is polled next, and how long a poll may take.

Rules free of I/O: `Backoff` learns when a poll starts and how it ends, and answers with times. It
promises that a poll starts at most `max_interval` seconds after the one before started, whatever
the outcome of that one. So where an answer takes `t` seconds or less, every change is known at
most `max_interval + t` seconds after discovery had it and could be reached. Sockets, the endpoint
list and the log are left to others.

Polls of many gateways must not come in step, and gateways that come back too soon keep discovery
overloaded; yet no pause may be longer than `max_interval`. So what all gateways meet at once (a
rejection, a change) is followed by a draw over most of that interval, which spreads them; further
draws are from its upper end, which costs the fewest polls.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

DESYNCHRONIZING_DRAW_MINIMUM = 0.2
"""Lower end of a draw, as a fraction of its maximum, that spreads gateways which are in step."""

STEADY_DRAW_MINIMUM = 0.8
"""Lower end of a draw, as a fraction of its maximum, of a gateway that is out of step."""

JITTER_MINIMUM = 0.5
"""The shortest jittered pause, as a fraction of the pause before jitter."""

JITTER_MAXIMUM = 1.5
"""The longest jittered pause, as a fraction of the pause before jitter."""


class PollFailure(enum.Enum):
    """Why a poll brought no endpoint list."""

    TIMED_OUT = "silent"
    FAILED = "failed"
    REJECTED = "turned away"


class PollTimes(NamedTuple):
    """The times of polls, all in seconds.

    Attributes:
        max_interval: From the start of a poll to that of the next, at most.
        first_interval: The same before the first list.
        max_hold: How long discovery may hold a poll that waits for changes.
        grace: How much later the answer to such a poll may arrive.
        poll_timeout: The time of a poll that waits for no changes.
        initial_pause: The pause after a first failure, about.
    """

    max_interval: float
    first_interval: float
    max_hold: float
    grace: float
    poll_timeout: float
    initial_pause: float


class Backoff:
    """The poll schedule of one gateway; its discovery client owns it.

    Attributes:
        times: The times that polls keep.
        is_failing: Whether the last poll brought no list.
        deadline: Unix time at which the poll in progress counts as timed out.
    """

    def __init__(self, random: Callable[[], float], times: PollTimes) -> None:
        """Start before the first poll.

        Args:
            random: Draws from 0 to 1.
            times: The times that polls keep.

        Raises:
            ValueError: There is no room for a pause between polls.
        """
        _check_room_for_pause(times)
        self.times = times
        self.is_failing = False
        self.deadline = 0.0
        self._random = random
        self._interval = times.first_interval
        self._next_pause = times.initial_pause
        # The next poll waits for no changes: an answer to it proves that discovery is reachable.
        self._probes_next = False
        # We have drawn a time of our own since the last event that all gateways met at once.
        self._is_desynchronized = False
        self._started_at = 0.0
        self._hold = 0.0

    def start_poll(self, now: float, is_watch: bool) -> float:
        """Start a poll, with the dialing of its connection where that is needed.

        Args:
            now: Unix time.
            is_watch: Whether the poll asks for changes since a version, and so may be held; a
                complete list comes at once.

        Returns:
            The Unix time at which the poll counts as timed out.
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
        """Seconds that discovery may hold the poll that is sent now: dialing took its part."""
        return max(0.0, min(self._hold, self.deadline - self.times.grace - now))

    def on_success(self, has_changes: bool) -> None:
        """The poll brought a list.

        Changes reach all watching gateways at the same time; a gateway whose polls failed before
        gets them at a time of its own.
        """
        self._is_desynchronized = self._is_desynchronized and (self.is_failing or not has_changes)
        self.is_failing = False
        self._probes_next = False
        self._next_pause = self.times.initial_pause
        self._interval = self.times.max_interval

    def pause_after(self, failure: PollFailure, now: float) -> float:
        """Seconds until the next poll, after one that brought no list.

        The poll after a timeout or failure waits for no changes, so that discovery that is
        unreachable can be distinguished from one that has no changes. A gateway that was rejected
        knows that discovery is reachable, and a poll to prove it would only be rejected again.
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
        """The pause before jitter; a timeout was a pause itself."""
        if failure is PollFailure.TIMED_OUT:
            return self.times.initial_pause
        if failure is PollFailure.REJECTED:
            return self.times.max_interval
        return self._next_pause

    def _draw(self, maximum: float) -> float:
        """A time of our own, up to so many seconds."""
        minimum = STEADY_DRAW_MINIMUM if self._is_desynchronized else DESYNCHRONIZING_DRAW_MINIMUM
        self._is_desynchronized = True
        return maximum * (minimum + (1 - minimum) * self._random())


def _check_room_for_pause(times: PollTimes) -> None:
    longest_poll = max(times.max_hold + times.grace, times.poll_timeout)
    longest_pause = JITTER_MAXIMUM * times.initial_pause
    if (
        longest_poll + longest_pause > times.max_interval
        or times.poll_timeout + longest_pause > times.first_interval
    ):
        raise ValueError(
            f"expected calls of {times.max_hold} + {times.grace} and {times.poll_timeout} s that "
            f"leave room for a pause of {longest_pause} within {times.max_interval} and "
            f"{times.first_interval} s"
        )
