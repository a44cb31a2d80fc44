"""Tests that scenario files are read back as written, and that errors name malformed lines."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrellane.simulation.scenario_files import ScenarioError, format_scenario, parse_scenario
from petrellane.simulation.scenario_generation import generate_scenario, mutate

WORLD, *LINES = format_scenario(generate_scenario(1)).splitlines()


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**9), st.integers(0, 3))
def test_a_file_holds_the_complete_scenario(seed: int, steps: int) -> None:
    scenario = generate_scenario(seed)
    for step in range(steps):
        scenario = mutate(scenario, seed + step)
    assert parse_scenario(format_scenario(scenario, "of a seed")) == scenario


@pytest.mark.parametrize(
    ("lines", "texts"),
    [
        ([], ["a.ndjson:1", "expected a world"]),
        (["{"], ["a.ndjson:1"]),
        (LINES[:1], ["a.ndjson:1", "expected one world"]),
        (
            [WORLD.replace('"model":1', '"model":7')],
            ["a.ndjson:1", "expected version 1, found 7"],
        ),
        ([WORLD, "# word", LINES[0].replace('"rate"', '"rat"')], ["a.ndjson:3", "rat"]),
        (
            [WORLD, *LINES, '{"kind":"fault","what":"rain","at":1}'],
            [f":{len(LINES) + 2}", "found rain"],
        ),
        (
            [WORLD, *LINES, '{"kind":"fault","what":"flood","at":-1}'],
            ["expected a number from 0, found -1"],
        ),
        ([WORLD], ["expected at least one plan"]),
    ],
    ids=["empty", "cut", "no-world", "version", "key", "fault", "number", "no-plan"],
)
def test_lines_out_of_form_are_rejected_in_one_line(lines: list[str], texts: list[str]) -> None:
    with pytest.raises(ScenarioError) as raised:
        parse_scenario("\n".join(lines), "a.ndjson")
    message = str(raised.value)
    assert [text for text in texts if text not in message] == []
    assert "\n" not in message
