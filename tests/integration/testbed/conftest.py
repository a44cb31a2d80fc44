"""Fixtures of the tests of fleets."""

from collections.abc import Iterator

import pytest

from petrellane.testbed.fleet import LoopbackFleet
from tests.integration.testbed.fleets import running_fleet


@pytest.fixture
def fleet() -> Iterator[LoopbackFleet]:
    """Three gateways and a control process under load, with generation 1 in force."""
    with running_fleet() as fleet:
        yield fleet
