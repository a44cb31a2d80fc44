"""Calls of the management API: status, fields, body and effect as by the build before."""

import pytest

from tests.compatibility import build, files
from tests.compatibility.files import Json

CASES: list[Json] = files.load("management/calls.json")


@pytest.mark.parametrize("case", CASES, ids=lambda case: str(case["name"]))
def test_call_is_answered_the_same(case: Json) -> None:
    result = build.management_call(case["steps"], case["call"].encode("latin-1"), case["at"])
    assert result == case["found"]
