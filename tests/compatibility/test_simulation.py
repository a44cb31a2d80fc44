"""The simulation plays the same runs, digit for digit, as the build before."""

import pytest

from tests.compatibility import digests, files


@pytest.fixture(scope="module")
def present_digests() -> dict[str, list[str]]:
    """The digests of the present build, by scenario."""
    return digests.digest_all_scenarios()


@pytest.mark.parametrize("part", digests.PARTS)
def test_digest_is_that_of_the_build_before(
    present_digests: dict[str, list[str]], part: str
) -> None:
    recorded = files.load("simulation/digests.json")
    index = digests.PARTS.index(part)
    differ = [
        name for name in digests.NAMES if present_digests[name][index] != recorded[name][index]
    ]
    assert not differ
    assert digests.digest_parts(present_digests)[part] == files.load("simulation/digest.json")[part]
