"""The meet of two versions of settings: the settings that both versions allow.

The meet is safe to admit under while either version may be in force. It contains the methods that
both versions have, with the smaller number of attempts and the shorter times, and with retries only
if both versions allow them; and the plans that both have, with the lower quota and the lower hard
limit. The meet is a greatest lower bound: commutative, associative, and idempotent for settings
with their defaults.

An idempotent method uses another command than the other methods. The meet therefore leaves out a
method that is idempotent in one version only: neither command is right for all gateways while both
versions may be in force.
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
    """Return the lower of two limits, where 0 means no limit."""
    if left and right:
        return min(left, right)
    return left or right


def _both(left: JsonValue, right: JsonValue) -> bool:
    return bool(left) and bool(right)


def _common_names(left: list[str], right: list[str]) -> list[str]:
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
    "fields": _common_names,
    "replicasOfMe": _lower,
}


def meet(left: Settings, right: Settings) -> Settings:
    """Return the settings that allow only what both versions allow, with their defaults."""
    left = with_defaults(left)
    right = with_defaults(right)
    result = _meet_fields(left, right)
    for key in SECTION_DEFAULTS:
        result[key] = _meet_fields(left[key], right[key])
    result["classes"] = _meet_rows(left["classes"], right["classes"], _meet_methods)
    result["contracts"] = _meet_rows(left["contracts"], right["contracts"], _meet_plans)
    return normalize(result)  # type: ignore[no-any-return]  # normalize returns a dict for a dict


def _meet_fields(left: Settings, right: Settings) -> Settings:
    """Return the meet of two objects, field by field.

    A field without a rule in `MEET_RULES` is kept if both objects have the same value.
    """
    result = {}
    for key in left.keys() & right.keys():
        rule = MEET_RULES.get(key)
        if rule:
            result[key] = rule(left[key], right[key])
        elif left[key] == right[key]:
            result[key] = left[key]
    return result


def _meet_rows(
    left: Iterable[Settings],
    right: Iterable[Settings],
    rule: Callable[[Settings, Settings], Settings | None],
) -> list[Settings]:
    """Return the meets of the rows with equal names, without the rows that have no meet."""
    others = {row["name"]: row for row in right}
    results = (rule(row, others[row["name"]]) for row in left if row["name"] in others)
    return [row for row in results if row is not None]


def _meet_methods(left: Settings, right: Settings) -> Settings | None:
    """Return the meet of two methods of one name, or None if no command is right for both.

    A method that only one version deduplicates still requires an idempotency key from clients, but
    is never retried after an attempt that the host may have executed.
    """
    if (left["effect"] == WIRE_IDEMPOTENT) != (right["effect"] == WIRE_IDEMPOTENT):
        return None
    result = _meet_fields(left, right) | {"name": left["name"]}
    if left["effect"] == WIRE_IDEMPOTENT:
        return result | {"effect": WIRE_IDEMPOTENT, "keyScope": "none", "window": 0}
    scope = min(left["keyScope"], right["keyScope"], key=KEY_SCOPES.index)
    has_key = WIRE_DEDUPLICATED in (left["effect"], right["effect"])
    return result | {
        "effect": WIRE_DEDUPLICATED if has_key else WIRE_NON_IDEMPOTENT,
        "keyScope": scope,
        "window": 0 if scope == "none" else min(left["window"], right["window"]),
    }


def _meet_plans(left: Settings, right: Settings) -> Settings:
    """Return the meet of two plans of one name, with the lower quota and hard limit."""
    result = _meet_fields(left, right) | {"name": left["name"]}
    for rate, dependent in PLAN_LIMITS:
        limited = [row for row in (left, right) if row[rate]]
        for key in (rate, *dependent):
            result[key] = min((row[key] for row in limited), default=0)
    return result


def allows(wide: Settings, narrow: Settings) -> bool:
    """Return whether `wide` allows all that `narrow` allows.

    `meet` returns the greatest lower bound in this order.
    """
    return meet(wide, narrow) == with_defaults(narrow)
