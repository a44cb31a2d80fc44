"""Tests of the lifecycle: the result of each call in each state, and the course of a shutdown."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.operation.lifecycle import Lifecycle, LifecycleState

SERVING = LifecycleState.SERVING
DRAINING = LifecycleState("draining")
DRAINED = LifecycleState.DRAINED
ENDING = LifecycleState.ENDING


@pytest.mark.parametrize(
    ("before", "call", "answer", "after"),
    [
        (SERVING, "drain", True, DRAINING),
        (SERVING, "resume", True, SERVING),
        (DRAINING, "drain", True, DRAINING),
        (DRAINING, "resume", True, SERVING),
        (DRAINED, "drain", True, DRAINED),
        (DRAINED, "resume", True, SERVING),
        (ENDING, "drain", True, ENDING),
        (ENDING, "resume", False, ENDING),
    ],
)
def test_each_call_in_each_state(
    before: LifecycleState, call: str, answer: bool, after: LifecycleState
) -> None:
    """Each call returns the expected result and leads to the expected state."""
    lifecycle = Lifecycle(0.5, 1.8)
    lifecycle.state = before
    reply = lifecycle.drain(10.0) if call == "drain" else lifecycle.resume()
    assert (reply, lifecycle.state) == (answer, after)


def apply(lifecycle: Lifecycle, call: str, now: float) -> None:
    """Make one of the calls that change the state."""
    if call == "drain":
        lifecycle.drain(now)
    elif call == "resume":
        lifecycle.resume()
    elif call == "end":
        lifecycle.begin_shutdown(now)
    else:
        lifecycle.complete_drain(0)


@given(st.lists(st.sampled_from(["drain", "resume", "end", "empty"]), max_size=12))
def test_shutdown_is_final(calls: list[str]) -> None:
    """A shutdown is final, and a gateway that is not ready closes idle connections in time."""
    lifecycle = Lifecycle(0.5, 1.8)
    now = 100.0
    is_ending = False
    lifecycle.start()
    for call in calls:
        now += 0.1
        apply(lifecycle, call, now)
        is_ending = is_ending or call == "end"
        assert (lifecycle.state == ENDING) == is_ending
        assert lifecycle.is_ready == (lifecycle.state == SERVING)
        assert lifecycle.closes_idle_connections(now + 0.6) == (not lifecycle.is_ready)


def test_repeated_drain_keeps_its_times() -> None:
    """A second drain does not restart the time limits of the first."""
    lifecycle = Lifecycle(0.5, 1.8)
    lifecycle.drain(10.0)
    lifecycle.drain(11.0)
    assert lifecycle.closes_idle_connections(10.5)
    assert not lifecycle.accepts_command(11.9, connected_at=3.0)
    # The cutoff of a client that connects during the drain starts at its connect.
    assert lifecycle.accepts_command(11.9, connected_at=11.0)


def test_shutdown_accepts_no_command_behind_pending_replies() -> None:
    """After the grace period, a connection with pending replies accepts no further command."""
    lifecycle = Lifecycle(0.5, 1.8, 0.5, 3.0)
    lifecycle.start()
    assert lifecycle.final_answer_time(1.0) == math.inf
    lifecycle.begin_shutdown(10.0)
    assert lifecycle.accepts_command(10.4, 3.0, has_pending_replies=True)
    # A command on a connection without pending replies is accepted.
    assert lifecycle.accepts_command(12.0, 3.0, has_pending_replies=False)
    assert not lifecycle.accepts_command(10.6, 3.0, has_pending_replies=True)
    assert lifecycle.final_answer_time(1.0) == 11.5
    # A deadline above the maximum of 3 s counts as 3 s.
    assert lifecycle.final_answer_time(9.0) == 13.5
