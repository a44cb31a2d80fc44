"""Settings that are safe while two versions may be in force: their meet, what both allow.

That is a method that both have, with the fewer attempts and the shorter times, retried only where
both let it be; a plan that both have, at the lower quota and the lower hard limit. The meet is a
greatest lower bound: commutative, associative, and idempotent for settings with their defaults. A
method whose command differs (an idempotent one uses another command than the rest) is right for no
gateway while both versions may be in force: it is left out.
"""

from collections.abc import Callable, Iterable

from petrellane.config_consensus.canonical_settings import (
    KEY_SCOPES,
    PLAN_LIMITS,
    SECTION_DEFAULTS,
    WIRE_DEDUPLICATED,
    WIRE_IDEMPOTENT,
    WIRE_NON_IDEMPOTENT,
    JsonValue,
    Settings,
    normalize,
    with_defaults,
)


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
    return normalize(met)  # type: ignore[no-any-return]  # of an object it is one


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
    if (left["effect"] == WIRE_IDEMPOTENT) != (right["effect"] == WIRE_IDEMPOTENT):
        return None
    met = _meet_fields(left, right) | {"name": left["name"]}
    if left["effect"] == WIRE_IDEMPOTENT:
        return met | {"effect": WIRE_IDEMPOTENT, "keyScope": "none", "window": 0}
    scope = min(left["keyScope"], right["keyScope"], key=KEY_SCOPES.index)
    has_key = WIRE_DEDUPLICATED in (left["effect"], right["effect"])
    return met | {
        "effect": WIRE_DEDUPLICATED if has_key else WIRE_NON_IDEMPOTENT,
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
