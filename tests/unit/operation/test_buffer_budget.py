"""Tests of the budget for long values that the gateway buffers."""

import pytest

from petrellane.gateway.response_relay import BufferBudget
from petrellane.net.limits import Limits


@pytest.fixture
def budget() -> BufferBudget:
    """Return a budget of 1,000 bytes in which two growing bodies have reserved 1,200 bytes."""
    budget = BufferBudget(Limits(256, 1.0, 1.0, 1, 1.0, buffer_budget=1000))
    for size in (300, 600):
        budget.reserve("first", size)
        budget.reserve("second", size)
    return budget


def test_bodies_beyond_the_budget_come_one_after_the_other(budget: BufferBudget) -> None:
    """Only the oldest body may grow beyond the budget, and it keeps this right while it grows."""
    rooms = [budget.has_room(body) for body in ("first", "second", "third")]
    assert rooms == [True, False, False]
    budget.reserve("first", 900)
    assert budget.has_room("first")
    assert not budget.has_room("second")
    budget.reserve("first", 0)
    assert budget.has_room("second")
    assert budget.has_room("third")
    assert budget.reserved == 600
    budget.reserve("second", 0)
    assert (budget.reserved, budget.reservations) == (0, {})
