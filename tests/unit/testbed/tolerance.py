"""Floats that are compared with an absolute tolerance."""

import pytest


def almost(value: float, delta: float = 0.5e-7) -> object:
    """Return what equals a float that differs by `delta` at most, by default half of 1e-7."""
    return pytest.approx(value, rel=0.0, abs=delta)
