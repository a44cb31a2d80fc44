"""The canonical form of shared settings, with sorted keys and rows and with all defaults.

Settings are the JSON object under `settings` in a gateway's file. Consensus changes all of its
keys except those in `LOCAL_KEYS`, which belong to each gateway alone. A row is one object in the
list of methods or of plans. The functions take and return plain JSON values and do not modify their
arguments. They check only what they depend on: `petrellane.config` decides whether a gateway
accepts the settings.
"""

import hashlib
import json
import math
from typing import Any

Settings = dict[str, Any]
JsonValue = Any  # any value that JSON can represent

LOCAL_KEYS = ("locality",)  # keys that each gateway sets for itself

WIRE_IDEMPOTENT = "pure"  # values of a method's `effect` in the settings file
WIRE_DEDUPLICATED = "token"
WIRE_NON_IDEMPOTENT = "side_effect"
KEY_SCOPES = ("none", "cell", "zone", "all")  # where duplicates are discarded, narrowest first
DEFAULT_KEY_SCOPE = "cell"

NAMED_ROW_LISTS = ("classes", "contracts")  # keys of the lists of methods and of plans
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
PLAN_LIMITS = (  # a rate, where 0 means no limit, and the fields that depend on the rate
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
    """Return the part of settings that consensus changes."""
    return {key: value for key, value in settings.items() if key not in LOCAL_KEYS}


def local_settings(settings: Settings) -> Settings:
    """Return the part of settings that each gateway sets for itself."""
    return {key: value for key, value in settings.items() if key in LOCAL_KEYS}


def normalize(value: JsonValue) -> JsonValue:
    """Return a JSON value with sorted keys, whole numbers as integers and no null members."""
    if isinstance(value, dict):
        return {key: normalize(value[key]) for key in sorted(value) if value[key] is not None}
    if isinstance(value, list):
        return [normalize(item) for item in value]
    if isinstance(value, float) and math.isfinite(value) and value == int(value):
        return int(value)
    return value


def _row_sort_key(row: JsonValue) -> str:
    """Return a key that sorts rows by their names, whatever the type of the names."""
    return json.dumps(row.get("name") if isinstance(row, dict) else row)


def canonical_bytes(settings: Settings) -> bytes:
    """Return the canonical form of the shared settings, as JSON in UTF-8.

    Keys are sorted, methods and plans are sorted by name, null members are left out and whole
    numbers have no fraction. Settings that differ only in these points have equal canonical forms.

    Raises:
        ValueError, TypeError: A value has no canonical JSON.
    """
    shared = normalize(shared_settings(settings))
    for key in NAMED_ROW_LISTS:
        if isinstance(shared.get(key), list):
            shared[key] = sorted(shared[key], key=_row_sort_key)
    text = json.dumps(
        shared, separators=(",", ":"), sort_keys=True, ensure_ascii=False, allow_nan=False
    )
    return text.encode()


def digest(settings: Settings) -> str:
    """Return the digest of the shared settings: 32 hex digits of BLAKE2b of the canonical form."""
    return hashlib.blake2b(canonical_bytes(settings), digest_size=DIGEST_BYTES).hexdigest()


def with_defaults(settings: Settings) -> Settings:
    """Return the shared settings in canonical order, with all defaults filled in."""
    shared = json.loads(canonical_bytes(settings))
    for key, defaults in SECTION_DEFAULTS.items():
        shared[key] = defaults | shared.get(key, {})
    shared = TOP_LEVEL_DEFAULTS | shared
    shared["report"]["fields"] = sorted(set(map(str, shared["report"]["fields"])))
    shared["classes"] = [_method_with_defaults(row) for row in shared.get("classes", [])]
    shared["contracts"] = [_plan_with_defaults(row) for row in shared.get("contracts", [])]
    return normalize(shared)  # type: ignore[no-any-return]  # normalize returns a dict for a dict


def _method_with_defaults(row: Settings) -> Settings:
    return METHOD_DEFAULTS | row | _effective_key(row)


def _effective_key(row: Settings) -> Settings:
    """Return the scope and the window in which hosts discard duplicates by idempotency key.

    The scope is "none" and the window 0 for a method that is not deduplicated, or whose scope is
    "none" without a window.
    """
    scope = row.get("keyScope")
    window = row.get("window", 0)
    is_off = scope == "none" and not window
    if row.get("effect") != WIRE_DEDUPLICATED or is_off:
        return {"keyScope": "none", "window": 0}
    return {"keyScope": scope if scope in ("zone", "all") else DEFAULT_KEY_SCOPE, "window": window}


def _plan_with_defaults(row: Settings) -> Settings:
    plan = PLAN_DEFAULTS | row
    for rate, dependent in PLAN_LIMITS:
        if not plan[rate]:
            plan |= dict.fromkeys(dependent, 0)  # they have no effect without the rate
    return plan
