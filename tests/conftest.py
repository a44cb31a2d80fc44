"""Set-up of all tests: examples of property tests, groups that run side by side, KNOWN-RED.txt."""

import hypothesis
import pytest

from tests.known_red_plugin import KnownRedPlugin

# Property tests draw the same examples in every run, so that a run has the same verdict every time.
hypothesis.settings.register_profile(
    "same",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("same")

# With `pytest -n 4 --dist loadgroup` each group runs in a process of its own, its tests one after
# the other: those that start many processes are timing-sensitive and must not run beside each
# other. The first prefix that fits a test's path decides.
GROUPS = {
    "tests/integration/testbed/test_testbed.py": "processes",
    "tests/integration/testbed/": "config_consensus",
    "tests/unit/testbed/test_capacity.py": "capacity",
    "tests/compatibility/": "capacity",
    "tests/unit/testbed/": "config_consensus",
    "tests/unit/config_consensus/": "config_consensus",
    "tests/unit/load_distribution/": "config_consensus",
    "tests/": "gateway",
}


def group_of(node_id: str) -> str:
    """Return the group in which a test runs."""
    return next(group for prefix, group in GROUPS.items() if node_id.startswith(prefix))


def pytest_configure(config: pytest.Config) -> None:
    """Read KNOWN-RED.txt before anything is collected."""
    config.pluginmanager.register(KnownRedPlugin(config), "known-red")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark each test with its group before pytest-xdist and `-m` read the marks."""
    for item in items:
        group = group_of(item.nodeid)
        item.add_marker(group)
        item.add_marker(pytest.mark.xdist_group(group))
