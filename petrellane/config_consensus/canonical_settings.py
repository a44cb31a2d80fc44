"""Shared settings in canonical form: with sorted keys and rows, and with every default filled in.

Settings are the JSON object that a gateway's file holds under `settings`. All of it is shared, and
changed by consensus, except what is each gateway's own (`LOCAL_KEYS`). Functions here take and
return plain JSON values and modify none of them. They check no more than they need: whether a
gateway accepts settings is decided by `petrellane.config`.
"""

import hashlib
import json
import math
from typing import Any

Settings = dict[str, Any]
JsonValue = Any  # whatever JSON can express

LOCAL_KEYS = ("locality",)  # what a gateway knows of itself alone

WIRE_IDEMPOTENT = "pure"  # effects of methods, in the words of the settings file
WIRE_DEDUPLICATED = "token"
WIRE_NON_IDEMPOTENT = "side_effect"
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


def normalize(value: JsonValue) -> JsonValue:
    """A JSON value with sorted keys, whole numbers as integers, and without null members."""
    if isinstance(value, dict):
        return {key: normalize(value[key]) for key in sorted(value) if value[key] is not None}
    if isinstance(value, list):
        return [normalize(item) for item in value]
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
    shared = normalize(shared_settings(settings))
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
    return normalize(shared)  # type: ignore[no-any-return]  # of an object it is one


def _complete_method(row: Settings) -> Settings:
    return METHOD_DEFAULTS | row | _effective_key(row)


def _effective_key(row: Settings) -> Settings:
    """Where, and for how long, a host discards a repeat; nowhere for a method without a key."""
    scope = row.get("keyScope")
    window = row.get("window", 0)
    is_off = scope == "none" and not window
    if row.get("effect") != WIRE_DEDUPLICATED or is_off:
        return {"keyScope": "none", "window": 0}
    return {"keyScope": scope if scope in ("zone", "all") else DEFAULT_KEY_SCOPE, "window": window}


def _complete_plan(row: Settings) -> Settings:
    plan = PLAN_DEFAULTS | row
    for rate, dependent in PLAN_LIMITS:
        if not plan[rate]:
            plan |= dict.fromkeys(dependent, 0)  # without a rate they have no effect
    return plan
