"""Calls of staff: status, fields, body and what they do, as by the build before, byte for byte."""

from typing import Any

import pytest

from tests.compatibility import build, files

CASES: list[dict[str, Any]] = files.load("management/calls.json")


@pytest.mark.parametrize("case", CASES, ids=lambda case: str(case["name"]))
def test_call_is_answered_the_same(case: dict[str, Any]) -> None:
    found = build.management_call(case["steps"], case["call"].encode("latin-1"), case["at"])
    assert found == case["found"]
