"""Set-up of all tests: examples of property tests, groups that run side by side, KNOWN-RED.txt."""

import hypothesis
import pytest

from tests.groups import group_of, pytest_xdist_make_scheduler
from tests.known_red_plugin import KnownRedPlugin

__all__ = ["pytest_xdist_make_scheduler"]  # a hook, which pytest finds by its name

# Property tests draw the same examples in every run, so that a run has the same verdict every time.
hypothesis.settings.register_profile(
    "same",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    """Read KNOWN-RED.txt before anything is collected."""
    config.pluginmanager.register(KnownRedPlugin(config), "known-red")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark each test with its group before `-m` reads the marks."""
    for item in items:
        item.add_marker(group_of(item.nodeid))
