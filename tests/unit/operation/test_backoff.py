"""Tests of the schedule of discovery polls."""

import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.net.limits import Limits
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes

GATEWAYS = 200
SECONDS = 60
STEADY_SECONDS = range(10, SECONDS)  # the seconds after the initial burst of polls
NEWS = "news"
NO_NEWS = "none"
OUTCOMES = [PollFailure.FAILED, PollFailure.TIMED_OUT, PollFailure.REJECTED, NEWS, NO_NEWS]


def backoff_of(draw: Callable[[], float], at_first: float = Limits.watch_interval) -> Backoff:
    """Return a backoff with the gateway's times."""
    times = PollTimes(
        Limits.watch_interval,
        at_first,
        Limits.max_watch_hold,
        Limits.watch_grace,
        Limits.watch_timeout,
        Limits.initial_backoff,
    )
    return Backoff(draw, times)


@given(
    st.lists(
        st.tuples(st.sampled_from(OUTCOMES), st.floats(0, 1), st.booleans()),
        max_size=40,
    ),
    st.randoms(),
    st.booleans(),
)
def test_next_poll_begins_in_time(
    polls: list[tuple[PollFailure | str, float, bool]], chance: random.Random, has_moved: bool
) -> None:
    """The next poll starts within the maximum interval, whatever the outcome of the previous one.

    A poll after a failure never starts immediately, and the hold of a long poll ends before its
    grace period.
    """
    maximum = Limits.first_watch_interval if has_moved else Limits.watch_interval
    backoff = backoff_of(chance.random, maximum)
    now = 100.0
    began: float | None = None
    for outcome, share, watches in polls:
        if began is not None:
            bound = Limits.first_watch_interval if has_moved else Limits.watch_interval
            assert now - began <= bound + 1e-9
        began = now
        # The gateway requests the complete list from a new discovery address.
        until = backoff.start_poll(now, watches and not has_moved)
        assert until - began <= Limits.watch_interval
        dialed = began + share * share * (until - began)
        hold_end = dialed + backoff.remaining_hold(dialed)
        assert hold_end <= max(dialed, until - backoff.times.grace) + 1e-9
        now = until if outcome == PollFailure.TIMED_OUT else began + share * (until - began)
        if isinstance(outcome, PollFailure):
            pause = backoff.pause_after(outcome, now)
            assert pause > 0.0
            now += pause
        else:
            backoff.on_success(outcome == NEWS)
            has_moved = False


@pytest.mark.parametrize(("maximum", "at_first", "hold"), [(5.0, 3.0, 4.0), (5.0, 2.0, 3.8)])
def test_times_without_slack_are_refused(maximum: float, at_first: float, hold: float) -> None:
    """Timeouts that leave no time for a pause between polls raise an error."""
    with pytest.raises(ValueError):
        Backoff(random.random, PollTimes(maximum, at_first, hold, 1.0, 2.0, 0.1))


def test_rejected_gateways_come_back_spread() -> None:
    """Gateways that discovery rejects repeatedly at the same time do not retry at the same time."""
    polls: Counter[int] = Counter()
    for seed in range(GATEWAYS):
        backoff = backoff_of(random.Random(seed).random)
        now = 0.0
        while now < SECONDS:
            polls[int(now)] += 1
            backoff.start_poll(now, True)
            now += backoff.pause_after(PollFailure.REJECTED, now)
    assert max(count for second, count in polls.items() if second) < 75
    # In the steady state, each of the 200 gateways polls about every 4.5 s.
    assert sum(polls[second] for second in STEADY_SECONDS) / len(STEADY_SECONDS) < 46


def test_watches_in_step_come_apart() -> None:
    """Gateways that receive a change at the same time, and none later, do not stay synchronized."""
    polls: Counter[int] = Counter()
    for seed in range(GATEWAYS):
        backoff = backoff_of(random.Random(seed).random)
        now = 0.0
        backoff.on_success(True)
        while now < SECONDS:
            backoff.start_poll(now, True)
            now += backoff.remaining_hold(now)
            backoff.on_success(False)
            polls[int(now)] += 1
    assert max(polls.values()) < 95
    assert sum(polls[second] for second in STEADY_SECONDS) / len(STEADY_SECONDS) < 60
