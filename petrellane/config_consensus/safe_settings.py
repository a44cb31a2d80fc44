"""Shared settings: their canonical form and digest, what all versions allow, what a change changes.

Settings are the JSON object that a gateway's file holds under `settings`. All of it is shared, and
changed by consensus, except what is each gateway's own (`LOCAL_KEYS`). Functions here take and
return plain JSON values and modify none of them. They check no more than they need: whether a
gateway accepts settings is decided by `petrellane.config`.

The meet of two settings is what both allow: a method that both have, with the fewer attempts and
the shorter times, retried only where both let it be; a plan that both have, at the lower quota and
the lower hard limit. It is a greatest lower bound: commutative, associative, and idempotent for
settings with their defaults. A method whose command differs (an idempotent one uses another
command than the rest) is right for no gateway while both versions may be in force: it is left out.
"""

import hashlib
import json
import math
from collections.abc import Callable, Iterable, Iterator
from typing import Any

Settings = dict[str, Any]
JsonValue = Any  # whatever JSON can express

LOCAL_KEYS = ("locality",)  # what a gateway knows of itself alone

IDEMPOTENT = "pure"  # effects of methods; an idempotent one uses another command than the rest
DEDUPLICATED = "token"
NON_IDEMPOTENT = "side_effect"
KEY_SCOPES = ("none", "cell", "zone", "all")  # where a repeat is discarded, narrowest first
DEFAULT_KEY_SCOPE = "cell"

NAMED_ROWS = ("classes", "contracts")  # lists of methods and of plans, by name
DIGEST_BYTES = 16

METHOD_DEFAULTS = {
    "goalTime": 0,
    "giveUp": 0,
    "keyScope": "",
    "window": 0,
    "worth": 0,
    "lateWorth": 0,
    "streamed": False,
}
PLAN_DEFAULTS = {
    "quotaRate": 0,
    "storeSize": 0,
    "ceilingRate": 0,
    "ceilingBurst": 0,
    "ceilingSlack": 0,
    "maxOut": 0,
    "pays": 0,
    "extraWorth": 0,
    "overrunCost": 0,
}
PLAN_LIMITS = (  # a rate, 0 where there is no limit, and the fields that depend on it
    ("quotaRate", ("storeSize",)),
    ("ceilingRate", ("ceilingBurst", "ceilingSlack")),
)
SECTION_DEFAULTS: dict[str, Settings] = {
    "familyInfo": {"mayCount": False, "counterTimeout": 0, "maxUnits": 1_000_000_000},
    "limits": {
        "maxAttempts": 1,
        "dialTimeout": 1_000_000,
        "connIdle": 30_000_000,
        "streamsPerConn": 1,
        "mayCancel": False,
        "retryAfter": False,
        "maxRetryAfter": 0,
    },
    "obligations": {"cold": 0, "coldFrom": 1},
    "prices": {"crossZone": 0},
    "report": {"fields": []},
}
TOP_LEVEL_DEFAULTS = {"discovery": "push", "replicasOfMe": 1_000_000}


def shared_settings(settings: Settings) -> Settings:
    """The part of settings that is changed by consensus."""
    return {key: value for key, value in settings.items() if key not in LOCAL_KEYS}


def local_settings(settings: Settings) -> Settings:
    """The part of settings that stays a gateway's own."""
    return {key: value for key, value in settings.items() if key in LOCAL_KEYS}


# The canonical form.


def _normalize(value: JsonValue) -> JsonValue:
    """A JSON value with sorted keys, whole numbers as integers, and without null members."""
    if isinstance(value, dict):
        return {key: _normalize(value[key]) for key in sorted(value) if value[key] is not None}
    if isinstance(value, list):
        return [_normalize(item) for item in value]
    if isinstance(value, float) and math.isfinite(value) and value == int(value):
        return int(value)
    return value


def _row_order(row: JsonValue) -> str:
    """Sorts rows by their names, whatever these are."""
    return json.dumps(row.get("name") if isinstance(row, dict) else row)


def canonical_bytes(settings: Settings) -> bytes:
    """The canonical form of the shared settings, equal for settings that say the same.

    JSON with sorted keys, methods and plans in the order of their names, whole numbers without a
    fraction.

    Raises:
        ValueError, TypeError: a value has no canonical JSON.
    """
    shared = _normalize(shared_settings(settings))
    for key in NAMED_ROWS:
        if isinstance(shared.get(key), list):
            shared[key] = sorted(shared[key], key=_row_order)
    text = json.dumps(
        shared, separators=(",", ":"), sort_keys=True, ensure_ascii=False, allow_nan=False
    )
    return text.encode()


def digest(settings: Settings) -> str:
    """The identity of shared settings: 32 hex digits of blake2b over the canonical form."""
    return hashlib.blake2b(canonical_bytes(settings), digest_size=DIGEST_BYTES).hexdigest()


def with_defaults(settings: Settings) -> Settings:
    """The shared settings in canonical order, with every default filled in."""
    shared = json.loads(canonical_bytes(settings))
    for key, defaults in SECTION_DEFAULTS.items():
        shared[key] = defaults | shared.get(key, {})
    shared = TOP_LEVEL_DEFAULTS | shared
    shared["report"]["fields"] = sorted(set(map(str, shared["report"]["fields"])))
    shared["classes"] = [_complete_method(row) for row in shared.get("classes", [])]
    shared["contracts"] = [_complete_plan(row) for row in shared.get("contracts", [])]
    return _normalize(shared)  # type: ignore[no-any-return]  # of an object it is one


def _complete_method(row: Settings) -> Settings:
    return METHOD_DEFAULTS | row | _effective_key(row)


def _effective_key(row: Settings) -> Settings:
    """Where, and for how long, a host discards a repeat; nowhere for a method without a key."""
    scope = row.get("keyScope")
    window = row.get("window", 0)
    is_off = scope == "none" and not window
    if row.get("effect") != DEDUPLICATED or is_off:
        return {"keyScope": "none", "window": 0}
    return {"keyScope": scope if scope in ("zone", "all") else DEFAULT_KEY_SCOPE, "window": window}


def _complete_plan(row: Settings) -> Settings:
    plan = PLAN_DEFAULTS | row
    for rate, dependent in PLAN_LIMITS:
        if not plan[rate]:
            plan |= dict.fromkeys(dependent, 0)  # without a rate they have no effect
    return plan


# The meet.


def _lower(left: JsonValue, right: JsonValue) -> JsonValue:
    return min(left, right)


def _higher(left: JsonValue, right: JsonValue) -> JsonValue:
    return max(left, right)


def _lower_limit(left: JsonValue, right: JsonValue) -> JsonValue:
    """The lower of two limits, of which 0 means none."""
    if left and right:
        return min(left, right)
    return left or right


def _both(left: JsonValue, right: JsonValue) -> bool:
    return bool(left) and bool(right)


def _common(left: list[str], right: list[str]) -> list[str]:
    return [name for name in left if name in right]


MEET_RULES: dict[str, Callable[[JsonValue, JsonValue], JsonValue]] = {
    "goalTime": _lower,
    "giveUp": _lower,
    "worth": _lower,
    "lateWorth": _lower,
    "streamed": _both,
    "window": _lower,
    "maxOut": _lower_limit,
    "pays": _lower,
    "extraWorth": _lower,
    "overrunCost": _higher,
    "counterTimeout": _lower,
    "maxUnits": _lower,
    "maxAttempts": _lower,
    "dialTimeout": _lower,
    "connIdle": _lower,
    "streamsPerConn": _lower,
    "mayCancel": _both,
    "retryAfter": _both,
    "maxRetryAfter": _lower,
    "cold": _higher,
    "coldFrom": _lower,
    "crossZone": _higher,
    "fields": _common,
    "replicasOfMe": _lower,
}


def meet(left: Settings, right: Settings) -> Settings:
    """The settings that allow what both allow, with their defaults."""
    left = with_defaults(left)
    right = with_defaults(right)
    met = _meet_fields(left, right)
    for key in SECTION_DEFAULTS:
        met[key] = _meet_fields(left[key], right[key])
    met["classes"] = _meet_rows(left["classes"], right["classes"], _meet_methods)
    met["contracts"] = _meet_rows(left["contracts"], right["contracts"], _meet_plans)
    return _normalize(met)  # type: ignore[no-any-return]  # of an object it is one


def _meet_fields(left: Settings, right: Settings) -> Settings:
    """Fields of two objects, each by its rule; one without a rule stays where both agree."""
    met = {}
    for key in left.keys() & right.keys():
        rule = MEET_RULES.get(key)
        if rule:
            met[key] = rule(left[key], right[key])
        elif left[key] == right[key]:
            met[key] = left[key]
    return met


def _meet_rows(
    left: Iterable[Settings],
    right: Iterable[Settings],
    rule: Callable[[Settings, Settings], Settings | None],
) -> list[Settings]:
    """The meets of the rows whose names both have, without those that have none."""
    others = {row["name"]: row for row in right}
    met = (rule(row, others[row["name"]]) for row in left if row["name"] in others)
    return [row for row in met if row is not None]


def _meet_methods(left: Settings, right: Settings) -> Settings | None:
    """The meet of two methods of one name; None where no command is right for both.

    What is deduplicated in one alone keeps its key, which clients are asked for, and is never
    retried where it may have run.
    """
    if (left["effect"] == IDEMPOTENT) != (right["effect"] == IDEMPOTENT):
        return None
    met = _meet_fields(left, right) | {"name": left["name"]}
    if left["effect"] == IDEMPOTENT:
        return met | {"effect": IDEMPOTENT, "keyScope": "none", "window": 0}
    scope = min(left["keyScope"], right["keyScope"], key=KEY_SCOPES.index)
    has_key = DEDUPLICATED in (left["effect"], right["effect"])
    return met | {
        "effect": DEDUPLICATED if has_key else NON_IDEMPOTENT,
        "keyScope": scope,
        "window": 0 if scope == "none" else min(left["window"], right["window"]),
    }


def _meet_plans(left: Settings, right: Settings) -> Settings:
    """The meet of two plans of one name: the lower quota and hard limit, where 0 is none."""
    met = _meet_fields(left, right) | {"name": left["name"]}
    for rate, dependent in PLAN_LIMITS:
        limited = [row for row in (left, right) if row[rate]]
        for key in (rate, *dependent):
            met[key] = min((row[key] for row in limited), default=0)
    return met


def allows(wide: Settings, narrow: Settings) -> bool:
    """Whether `wide` allows all that `narrow` allows: the order whose lower bound is the meet."""
    return meet(wide, narrow) == with_defaults(narrow)


# What a change changes, for people.

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
    IDEMPOTENT: "idempotent",
    DEDUPLICATED: "deduplicated",
    NON_IDEMPOTENT: "non-idempotent",
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
