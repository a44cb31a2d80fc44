"""Tests of the numeric helpers of the decision logic."""

import hashlib
import runpy
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.decisions import numeric
from petrellane.decisions.numeric import SlidingMaximum

WINDOW = 5.0
HASHED_TEXTS = ["", "a", "customer 17", "Zürich", "x" * 10_000]


@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 9)), max_size=40))
def test_sliding_maximum_is_that_of_all_values_in_the_window(
    steps: list[tuple[float, int]],
) -> None:
    """The maximum is that of a walk over all values."""
    sliding = SlidingMaximum(WINDOW)
    now = 0.0
    values: list[tuple[float, int]] = []
    for pause, value in steps:
        now += pause
        sliding.add(now, value)
        values.append((now, value))
        expected = max(value for time, value in values if now - time <= WINDOW)
        assert sliding.maximum(now) == expected


@pytest.mark.parametrize("text", HASHED_TEXTS)
def test_stable_hash_is_the_one_that_gateways_share(text: str) -> None:
    """All gateways, including older builds, must compute the same hash of a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    assert numeric.stable_hash(text) == int.from_bytes(digest, "big") >> 1


def test_stable_hash_without_the_internal_module(monkeypatch: pytest.MonkeyPatch) -> None:
    """An interpreter without `_blake2` uses `hashlib`, with the same result."""
    monkeypatch.setitem(sys.modules, "_blake2", None)
    module = runpy.run_path(numeric.__file__)
    assert module["blake2b"] is hashlib.blake2b
    for text in HASHED_TEXTS:
        assert module["stable_hash"](text) == numeric.stable_hash(text)
