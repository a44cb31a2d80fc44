"""The index of endpoints: groups, sums over start times, and warm-up."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrellane.decisions import types as api
from petrellane.decisions.endpoint_index import IndexedGroups, StartTimes
from petrellane.decisions.endpoint_list import EndpointList

HALF = 50.0  # the start time from which sums are taken


@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=60))
def test_groups_hold_what_was_added_and_not_removed(steps: list[tuple[int, bool]]) -> None:
    """Members are those of a plain set, in each group, and nothing is left behind."""
    groups: IndexedGroups[int] = IndexedGroups()
    members: set[int] = set()
    for member, is_added in steps:
        if is_added and member not in members:
            groups.add(member, (None, member % 2))
            members.add(member)
        elif not is_added and member in members:
            groups.remove(member, (None, member % 2))
            members.remove(member)
        assert sorted(groups.members_of(None)) == sorted(members)
        assert sorted(groups.members_of(1)) == sorted(member for member in members if member % 2)
    for member in members:
        groups.remove(member, (None, member % 2))
    assert (groups.members, groups.positions) == ({}, {})


@given(
    st.lists(st.tuples(st.floats(0, 100), st.floats(0.1, 4), st.sampled_from("pptf")), max_size=60),
    st.floats(0, 120),
)
@settings(deadline=None)
def test_sums_over_start_times_are_those_of_a_walk(
    steps: list[tuple[float, float, str]], now: float
) -> None:
    """Rows are those of a plain list, and so are sums over them."""
    starts: StartTimes[int] = StartTimes()
    rows: list[tuple[float, float, int]] = []
    for number, (start, size, step) in enumerate(steps):
        if step == "p":
            starts.add(start, size, number)
            rows.append((start, size, number))
        elif step == "t" and rows:
            gone = rows.pop(int(size * 7) % len(rows))
            assert starts.remove(gone[0], gone[2]) is not None
            assert starts.remove(gone[0], gone[2]) is None
        elif step == "f" and starts.drop_until(start):
            rows = [row for row in rows if row[0] > start]
        assert sorted(starts.rows) == sorted(rows)
        first = starts.index_after(HALF)
        young = [row for row in rows if row[0] > HALF]
        total_size = sum(row[1] for row in young)
        assert starts.total_size(first, len(starts)) == pytest.approx(total_size, rel=0, abs=1e-8)
        total_age = sum(row[1] * max(0.0, now - row[0]) for row in young)
        found = starts.total_age(first, len(starts), now)
        assert found == pytest.approx(total_age, rel=0, abs=1e-7)


@pytest.fixture
def rows() -> list[api.EndpointEvent]:
    """Return three endpoints: without a start time, started at 99, and starting at 500."""
    return [
        api.EndpointEvent(api.Endpoint(f"h{number}"), "", "", 0, api.READY, 1.0, start)
        for number, start in enumerate((0.0, 99.0, 500.0))
    ]


def test_start_times_that_are_missing_or_in_the_future(rows: list[api.EndpointEvent]) -> None:
    """An endpoint without a start time is warm; one that starts in the future has no capacity."""
    endpoints: EndpointList[object] = EndpointList(object)
    endpoints.set_slow_start(10.0, 0.0)
    endpoints.apply_events(100.0, True, rows)
    assert endpoints.capacity(100.0) == pytest.approx(1.1, rel=0, abs=1e-8)
    assert endpoints.warming_capacity(505.0) == pytest.approx(0.5, rel=0, abs=1e-8)
    endpoints.apply_events(600.0, False, [row._replace(state=api.GONE) for row in rows])
    assert endpoints.capacity(600.0) == 0.0
    assert len(endpoints) == 0
    assert endpoints.groups.members == {}
    endpoints.set_slow_start(0.0, 0.5)
    assert endpoints.advance_warm_up(1.0) == math.inf
