"""What each part of the recordings is made of; `record.py` says from which checkout."""

import pathlib
from collections.abc import Callable

from tests.compatibility import digests, files


def simulation(checkout: pathlib.Path) -> None:
    """The digests of the fleet model's scenarios."""
    found = {name: digests.of_scenario(name) for name in digests.NAMES}
    files.save("simulation/digests.json", found)
    files.save("simulation/digest.json", digests.whole(found))


PARTS: dict[str, Callable[[pathlib.Path], None]] = {"simulation": simulation}
