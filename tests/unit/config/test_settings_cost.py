"""Unit tests of large settings: the cost of parsing and reloading, reuse of objects, and errors.

The tests count hashes and comparisons of names, which have to grow linearly with the number of
methods and plans. A lookup that scans all names for each row would make the cost quadratic.
"""

from collections.abc import Callable
from typing import Any

import pytest

from petrellane import config

FEW = 40
MANY = 400
MAX_COST_RATIO = 12  # of the cost of MANY rows to that of FEW; a linear cost gives 10


class CountedName(str):
    """A string that counts the hashes and comparisons of all its instances."""

    __slots__ = ()
    operations = 0

    def __hash__(self) -> int:
        CountedName.operations += 1
        return str.__hash__(self)

    def __eq__(self, other: object) -> bool:
        CountedName.operations += 1
        return str.__eq__(self, other)


def settings_section(number: int, **first_row: float) -> config.Section:
    """Return settings with `number` methods and plans; `first_row` updates the first method."""
    methods: list[dict[str, Any]] = [
        {
            "name": CountedName(f"m{index}"),
            "effect": "token",
            "keyScope": "all",
            "window": 4000000,
            "goalTime": 1000000,
            "giveUp": 4000000,
            "worth": 1.5,
            "lateWorth": 0.5,
            "streamed": False,
        }
        for index in range(number)
    ]
    methods[0] |= first_row
    plans = [
        {"name": CountedName(f"p{index}"), "quotaRate": 5, "storeSize": 9}
        for index in range(number)
    ]
    return config.Section({"classes": methods, "contracts": plans}, "settings")


def cost(call: Callable[[], object]) -> int:
    """Return the number of hashes and comparisons of names during a call."""
    CountedName.operations = 0
    call()
    return CountedName.operations


def parse_cost(number: int) -> int:
    """Return the cost of parsing settings with `number` methods and plans."""
    section = settings_section(number)
    return cost(lambda: config.parse_settings(section))


def test_parsing_costs_in_step_with_rows() -> None:
    """Parsing ten times as many rows costs about ten times as much."""
    few = parse_cost(FEW)
    assert few > 0
    assert parse_cost(MANY) <= MAX_COST_RATIO * few


def current_and_new_settings(number: int) -> tuple[config.Settings, config.Settings]:
    """Return two settings that differ only in the first method."""
    before = config.parse_settings(settings_section(number))
    now = config.parse_settings(settings_section(number, worth=2.0))
    return before, now


def reload_cost(number: int) -> int:
    """Return the cost of reloading settings that differ only in the first method."""
    before, now = current_and_new_settings(number)
    return cost(lambda: config.reload_settings(before, now))


def test_reload_costs_in_step_with_rows() -> None:
    """Reloading ten times as many rows, one of them changed, costs about ten times as much."""
    assert reload_cost(MANY) <= MAX_COST_RATIO * reload_cost(FEW)


@pytest.mark.parametrize("number", [FEW, MANY])
def test_reload_keeps_what_is_unchanged(number: int) -> None:
    """A reload replaces only a changed method, which keeps its identity."""
    before, now = current_and_new_settings(number)
    after = config.reload_settings(before, now)
    other = [name for name, row in after.methods.items() if row is not before.methods[name]]
    assert other == ["m0"]
    assert after.methods["m0"].priority_weight == 2.0
    assert after.methods["m0"].identity is before.methods["m0"].identity
    assert all(row is before.plans[name] for name, row in after.plans.items())


@pytest.mark.parametrize(
    ("wrong", "text"),
    [
        ({"name": "m7"}, 'settings.classes: expected each name once, found "m7" twice'),
        ({"giveUp": 0}, "settings.classes[399].giveUp: expected a number above 0, found 0"),
        ({"giveUp": None}, "settings.classes[399].giveUp: expected a number above 0, found null"),
        (
            {"giveUp": 10**400},
            "settings.classes[399].giveUp: expected a number above 0, found 1000",
        ),
        (
            {"worth": float("nan")},
            "settings.classes[399].worth: expected a number from 0, found nan",
        ),
        ({"worth": True}, "settings.classes[399].worth: expected a number from 0, found true"),
        ({"worth": -1}, "settings.classes[399].worth: expected a number from 0, found -1"),
        (
            {"effect": "odd"},
            "settings.classes[399].effect: expected one of pure, token, side_effect",
        ),
    ],
    ids=["repeated", "zero", "null", "huge", "nan", "boolean", "negative", "unknown"],
)
def test_error_in_the_last_row_names_it(wrong: dict[str, object], text: str) -> None:
    """The error for an invalid value in the last row names the row and the key."""
    section = settings_section(MANY)
    section.value["classes"][-1] |= wrong
    with pytest.raises(config.ConfigError) as raised:
        config.parse_settings(section)
    assert str(raised.value).startswith(text), str(raised.value)[:99]
