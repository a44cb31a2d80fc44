"""The seven groups of tests, which run side by side with pytest-xdist, four at a time.

Tests that start many processes are sensitive to time and must not run beside each other; therefore
the tests of a group run one after the other in one worker. A scheduler of our own gives out the
groups: `--dist loadgroup` marks them by a suffix of node ids, which pytest 9.2 does not keep, and
then gives out single tests without a warning.
"""

import pytest
from xdist.remote import Producer
from xdist.scheduler import LoadScopeScheduling

# The first prefix that fits a test's path decides.
GROUPS = {
    "tests/integration/resources/test_memory.py": "memory",
    "tests/integration/resources/test_memory_waves.py": "memory_waves",
    "tests/integration/resources/": "resources",
    "tests/integration/soak/": "resources",
    "tests/integration/testbed/test_fleet_": "processes",
    "tests/integration/testbed/": "config_consensus",
    "tests/unit/testbed/test_capacity": "capacity",
    "tests/compatibility/": "capacity",
    "tests/unit/testbed/": "config_consensus",
    "tests/unit/config_consensus/": "config_consensus",
    "tests/unit/load_distribution/": "config_consensus",
    "tests/": "gateway",
}


def group_of(node_id: str) -> str:
    """Return the group in which a test runs."""
    return next(group for prefix, group in GROUPS.items() if node_id.startswith(prefix))


class GroupScheduling(LoadScopeScheduling):
    """Gives each group to one worker; made by pytest-xdist for a run."""

    def _split_scope(self, nodeid: str) -> str:
        return group_of(nodeid)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: Producer) -> GroupScheduling:
    """Have pytest-xdist give out groups, whatever `--dist` says."""
    return GroupScheduling(config, log)
