"""The differences between two versions of settings, as lines of text for staff (operators).

The lines name fields by the terms of the operators' pages and give times in seconds.
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
ZERO_MEANS_UNLIMITED = ("quotaRate", "ceilingRate", "maxOut")
MICROSECONDS_PER_SECOND = 1e6


def describe_changes(before: Settings, after: Settings) -> list[str]:
    """Return one line per difference, first of methods, then of plans, then of the rest."""
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
    """Return the lines for one method or plan.

    Args:
        title: The kind and the name, which start each line.
        old: The earlier row, or None if the earlier version lacks it.
        new: The later row, or None if the later version lacks it.
    """
    if new is None:
        return [f"{title}: gone"]
    if old is None:
        shown = (
            f"{_field_label(field)} {_format_value(field, value)}"
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
            yield (
                f"{_field_label(field)} {_format_value(field, before)} "
                f"to {_format_value(field, after)}"
            )


def _flatten(sections: Settings) -> Settings:
    """Return the fields of all sections in one object, under the names of the inner fields."""
    flat: Settings = {}
    for key, value in sections.items():
        flat.update(value if isinstance(value, dict) else {key: value})
    return flat


def _field_label(field: str) -> str:
    return FIELD_LABELS.get(field, field)


def _format_value(field: str, value: JsonValue) -> str:
    """Return a value as text for staff."""
    is_unlimited = field in ZERO_MEANS_UNLIMITED and not value
    if value is None or is_unlimited:
        return "none"
    if field in TIME_FIELDS and isinstance(value, (int, float)):
        return f"{value / MICROSECONDS_PER_SECOND:g} s"
    if isinstance(value, str):
        return EFFECT_LABELS.get(value, value)
    return json.dumps(value)
