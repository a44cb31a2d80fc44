"""What a change of settings changes for whom, as lines for staff.

Fields are named by the terms of the operators' pages, and times are given in seconds.
"""

import json
from collections.abc import Iterator

from petrellane.config_consensus.canonical_settings import (
    WIRE_DEDUPLICATED,
    WIRE_IDEMPOTENT,
    WIRE_NON_IDEMPOTENT,
    JsonValue,
    Settings,
    with_defaults,
)

FIELD_LABELS = {
    "goalTime": "soft deadline",
    "giveUp": "deadline",
    "keyScope": "scope of its key",
    "window": "time of its key",
    "quotaRate": "quota",
    "storeSize": "store",
    "ceilingRate": "ceiling",
    "ceilingBurst": "ceiling at once",
    "ceilingSlack": "slack of the ceiling",
    "maxOut": "RPCs out at once",
    "pays": "price",
    "worth": "utility",
    "lateWorth": "late utility",
    "maxAttempts": "attempts",
    "extraWorth": "utility past the quota",
    "overrunCost": "cost past the quota",
}
TIME_FIELDS = (  # in microseconds
    "goalTime",
    "giveUp",
    "window",
    "dialTimeout",
    "connIdle",
    "counterTimeout",
    "maxRetryAfter",
    "cold",
)
EFFECT_LABELS = {
    WIRE_IDEMPOTENT: "idempotent",
    WIRE_DEDUPLICATED: "deduplicated",
    WIRE_NON_IDEMPOTENT: "non-idempotent",
}
UNLIMITED_AT_ZERO = ("quotaRate", "ceilingRate", "maxOut")
MICROSECONDS = 1e6  # in a second


def describe_changes(before: Settings, after: Settings) -> list[str]:
    """What changes for whom, a line each: methods, plans, the rest; empty where nothing does."""
    before = with_defaults(before)
    after = with_defaults(after)
    lines = []
    for key, kind in (("classes", "method"), ("contracts", "plan")):
        old = {row["name"]: row for row in before.pop(key)}
        new = {row["name"]: row for row in after.pop(key)}
        for name in sorted(old.keys() | new.keys()):
            lines += _describe_row(f"{kind} {name}", old.get(name), new.get(name))
    rest = _describe_fields(_flatten(before), _flatten(after))
    return lines + [f"all: {line}" for line in rest]


def _describe_row(title: str, old: Settings | None, new: Settings | None) -> list[str]:
    """The lines of one method or plan; None where a version lacks it."""
    if new is None:
        return [f"{title}: gone"]
    if old is None:
        shown = (
            f"{_label(field)} {_show(field, value)}"
            for field, value in sorted(new.items())
            if field != "name" and value not in (0, "", "none", False)
        )
        return [f"{title}: new, " + ", ".join(shown)]
    return [f"{title}: {line}" for line in _describe_fields(old, new)]


def _describe_fields(old: Settings, new: Settings) -> Iterator[str]:
    for field in sorted(old.keys() | new.keys()):
        before = old.get(field)
        after = new.get(field)
        if before != after:
            yield f"{_label(field)} {_show(field, before)} to {_show(field, after)}"


def _flatten(sections: Settings) -> Settings:
    """An object of objects as one, by the names of the inner fields."""
    flat: Settings = {}
    for key, value in sections.items():
        flat.update(value if isinstance(value, dict) else {key: value})
    return flat


def _label(field: str) -> str:
    return FIELD_LABELS.get(field, field)


def _show(field: str, value: JsonValue) -> str:
    """A value as staff read it."""
    is_unlimited = field in UNLIMITED_AT_ZERO and not value
    if value is None or is_unlimited:
        return "none"
    if field in TIME_FIELDS and isinstance(value, (int, float)):
        return f"{value / MICROSECONDS:g} s"
    if isinstance(value, str):
        return EFFECT_LABELS.get(value, value)
    return json.dumps(value)
