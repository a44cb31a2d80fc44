"""Records the digests of the simulated scenarios."""

import pathlib

from tests.compatibility import digests, files


def record_simulation(_checkout: pathlib.Path) -> None:
    """Record the digests of each scenario, and those over all of them."""
    scenario_digests = digests.digest_all_scenarios()
    files.save("simulation/digests.json", scenario_digests)
    files.save("simulation/digest.json", digests.digest_parts(scenario_digests))
