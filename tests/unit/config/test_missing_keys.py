"""A file or a proposal that lacks a key of the settings in force is rejected whole.

Guards against a hard limit that is gone after a file whose plan lacks its keys: rows of lists were
not compared.
"""

import copy
import re
from typing import Any

import pytest

from petrellane import config
from petrellane.config import ConfigError
from petrellane.config.reload import check_no_key_removed
from tests.integration.gateway.configuration import BASE_CONFIG

PLAN = {"name": "gold", "ceilingRate": 45.0, "ceilingBurst": 117.0, "pays": 1.0}
OTHER_PLAN = {"name": "basic", "quotaRate": 50, "storeSize": 100, "ceilingRate": None}
DEEP = {"tiers": [{"name": "inner", "zones": {"east": {"share": 1}}}]}
CURRENT = {
    "limits": {"sockets": 64},
    "contracts": [PLAN, OTHER_PLAN],
    "extra": [{"name": "outer", **DEEP}, [{"name": "nested", "key": 1}], {"key": 1}, 7],
    "unset": None,
}


def without(row: dict[str, Any], key: str) -> dict[str, Any]:
    """Return a copy of a row that lacks a key."""
    return {name: value for name, value in row.items() if name != key}


def changed(**lists: object) -> dict[str, Any]:
    """Return a copy of the settings in force with other values of some keys."""
    return copy.deepcopy(CURRENT) | lists


REJECTED = {
    "in a section": (changed(limits={}), "limits.sockets"),
    "in a section that is no object": (changed(limits=5), "limits.sockets"),
    "a list": (without(CURRENT, "contracts"), "contracts"),
    "in a row": (
        changed(contracts=[without(PLAN, "ceilingRate"), OTHER_PLAN]),
        "contracts[gold].ceilingRate",
    ),
    "null in a row": (
        changed(contracts=[PLAN | {"ceilingBurst": None}]),
        "contracts[gold].ceilingBurst",
    ),
    "in a row at another place": (
        changed(contracts=[{"name": "new"}, OTHER_PLAN, without(PLAN, "pays")]),
        "contracts[gold].pays",
    ),
    "in the last row": (
        changed(contracts=[PLAN, without(OTHER_PLAN, "storeSize")]),
        "contracts[basic].storeSize",
    ),
    "in a row of a row": (
        changed(extra=[{"name": "outer", "tiers": [{"name": "inner", "zones": {"east": {}}}]}]),
        "extra[outer].tiers[inner].zones.east.share",
    ),
    "in a row of a nested list": (
        changed(extra=[[{"name": "nested", "key": None}]]),
        "extra[nested].key",
    ),
}
ACCEPTED = {
    "the same": changed(),
    "rows in another order": changed(contracts=[OTHER_PLAN, PLAN]),
    "a row that goes": changed(contracts=[OTHER_PLAN]),
    "all rows that go": changed(contracts=[], extra=[]),
    "a row that comes, with fewer keys": changed(contracts=[{"name": "new"}, PLAN, OTHER_PLAN]),
    "a row under another name": changed(contracts=[{"name": "silver", "pays": 1}, OTHER_PLAN]),
    "other values and more keys": changed(
        contracts=[PLAN | {"ceilingRate": 0, "more": 1}, OTHER_PLAN], unset=1
    ),
    "a key that was null": changed(contracts=[without(OTHER_PLAN, "ceilingRate"), PLAN]),
}


@pytest.mark.parametrize(("new", "path"), REJECTED.values(), ids=REJECTED.keys())
def test_a_missing_key_is_named(new: dict[str, Any], path: str) -> None:
    with pytest.raises(ConfigError, match=rf"^{re.escape(path)}: missing, expected a value, as in"):
        check_no_key_removed(CURRENT, new)


@pytest.mark.parametrize("new", ACCEPTED.values(), ids=ACCEPTED.keys())
def test_rows_come_and_go_and_values_change(new: dict[str, Any]) -> None:
    check_no_key_removed(CURRENT, new)


def test_each_key_of_each_row_has_to_stay_when_a_file_is_read_anew() -> None:
    current = config.parse_config(BASE_CONFIG)
    for list_name in ("classes", "contracts"):
        for index, row in enumerate(BASE_CONFIG["settings"][list_name]):
            for key in row:
                for is_null in (False, True):
                    new = copy.deepcopy(BASE_CONFIG)
                    rows = new["settings"][list_name]
                    if is_null:
                        rows[index][key] = None
                    else:
                        del rows[index][key]
                    rows.reverse()
                    with pytest.raises(ConfigError, match=rf"^settings\.{list_name}\[.*\]\.{key}:"):
                        config.parse_config(new, None, current)
    config.parse_config(BASE_CONFIG, None, current)  # control: the complete file


def test_names_that_stand_twice_are_compared_in_their_order() -> None:
    current = {"rows": [{"name": "a", "first": 1}, {"name": "a", "second": 1}]}
    check_no_key_removed(current, copy.deepcopy(current))
    with pytest.raises(ConfigError, match=r"^rows\[a\]\.second: missing"):
        check_no_key_removed(current, {"rows": [{"name": "a", "first": 1}, {"name": "a"}]})
