"""The fleet model plays the same runs, digit for digit, as the build before."""

import pytest

from tests.compatibility import digests, files


@pytest.fixture(scope="module")
def played() -> dict[str, list[str]]:
    """The digests of the present build, by scenario."""
    return digests.of_all()


@pytest.mark.parametrize("part", digests.PARTS)
def test_digest_is_that_of_the_build_before(played: dict[str, list[str]], part: str) -> None:
    recorded = files.load("simulation/digests.json")
    index = digests.PARTS.index(part)
    differ = [name for name in digests.NAMES if played[name][index] != recorded[name][index]]
    assert not differ
    assert digests.of_parts(played)[part] == files.load("simulation/digest.json")[part]
