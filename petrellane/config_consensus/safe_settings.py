"""What of a gateway's settings is agreed on: its canonical form, its digest, the meet of two, and what one changes.

Settings are the JSON object that a gateway's file holds under `settings`. All of it is agreed on but what is each
gateway's own (`LOCAL_KEYS`). Functions here take and give plain JSON values and change none of them. None of them checks more
than it needs: whether a gateway would take the settings is `petrellane.config`'s to say.

The meet of two settings allows nothing that either forbids: a method that both have, by the fewer attempts and the
shorter times, with an effect that lets it be tried again only where both do; a plan that both have, at the lower rate
and ceiling. It is a greatest lower bound: commutative, associative, and the meet of a thing with itself is that thing,
for settings in the form of `with_defaults`. A method whose command differs (an idempotent one takes the other command than the rest) is
allowed by neither when both are in doubt, and is left out.
"""

import hashlib
import json
import math

LOCAL_KEYS = ("locality",)  # what a gateway knows of itself alone

QUERY = "pure"  # the effect whose RPCs come by the other command
KEYED = "token"
SCOPES = (
    "none",
    "cell",
    "zone",
    "all",
)  # from the scope in which a repeat is discarded nowhere to everywhere


def shared_settings(settings):
    """The part of some settings that is agreed on."""
    return {key: value for key, value in settings.items() if key not in LOCAL_KEYS}


def local_settings(settings):
    """The part of some settings that stays a gateway's own."""
    return {key: value for key, value in settings.items() if key in LOCAL_KEYS}


def plain(value):
    """A JSON value with its keys in order, whole numbers as such and nulls of objects left out."""
    if isinstance(value, dict):
        return {key: plain(value[key]) for key in sorted(value) if value[key] is not None}
    if isinstance(value, list):
        return [plain(one) for one in value]
    if isinstance(value, float) and math.isfinite(value) and value == int(value):
        return int(value)
    return value


def canonical_bytes(settings):
    """The bytes of the agreed part in canonical form: JSON with sorted keys, methods and plans in the order of their
    names, whole numbers without a fraction. Equal for settings that say the same in another order."""
    told = plain(shared_settings(settings))
    for key in ("classes", "contracts"):
        if isinstance(told.get(key), list):
            told[key] = sorted(
                told[key],
                key=lambda row: json.dumps(row.get("name") if isinstance(row, dict) else row),
            )
    return json.dumps(
        told, separators=(",", ":"), sort_keys=True, ensure_ascii=False, allow_nan=False
    ).encode()


def digest(settings):
    """The name of what some settings say: 32 hex digits of blake2b over the canonical form."""
    return hashlib.blake2b(canonical_bytes(settings), digest_size=16).hexdigest()


# The full form: what is left to its default is told.

METHOD = {
    "goalTime": 0,
    "giveUp": 0,
    "keyScope": "",
    "window": 0,
    "worth": 0,
    "lateWorth": 0,
    "streamed": False,
}
PLAN = {
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
BOUNDS = (("quotaRate", ("storeSize",)), ("ceilingRate", ("ceilingBurst", "ceilingSlack")))
PARTS = {
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
TOP = {"discovery": "push", "replicasOfMe": 1_000_000}


def with_defaults(settings):
    """The agreed part with every default told, and methods and plans in the order of their names."""
    told = json.loads(canonical_bytes(settings))
    for key, defaults in PARTS.items():
        told[key] = defaults | told.get(key, {})
    told = TOP | told
    told["report"]["fields"] = sorted(
        set(map(str, told["report"]["fields"]))
    )  # their order says nothing
    told["classes"] = [METHOD | row | keyed(row) for row in told.get("classes", [])]
    told["contracts"] = [PLAN | row for row in told.get("contracts", [])]
    for row in told["contracts"]:
        for rate, rest in BOUNDS:
            row |= dict.fromkeys(rest, 0) if not row[rate] else {}  # of no effect
    return plain(told)


def keyed(row):
    """Where, and for how long, a host discards a repeat of a method's RPC: nowhere, where the method is not keyed."""
    scope, window = row.get("keyScope"), row.get("window", 0)
    if row.get("effect") != KEYED or scope == "none" and not window:
        return {"keyScope": "none", "window": 0}
    return {"keyScope": scope if scope in ("zone", "all") else "cell", "window": window}


# The meet.


def least(one, other):
    return min(one, other)


def bounded(one, other):
    """The lower of two bounds, of which 0 means none."""
    return min(one, other) if one and other else one or other


def both(one, other):
    return bool(one) and bool(other)


def common(one, other):
    return [name for name in one if name in other]


RULES = {
    "goalTime": least,
    "giveUp": least,
    "worth": least,
    "lateWorth": least,
    "streamed": both,
    "window": least,
    "maxOut": bounded,
    "pays": least,
    "extraWorth": least,
    "overrunCost": max,
    "counterTimeout": least,
    "maxUnits": least,
    "maxAttempts": least,
    "dialTimeout": least,
    "connIdle": least,
    "streamsPerConn": least,
    "mayCancel": both,
    "retryAfter": both,
    "maxRetryAfter": least,
    "cold": max,
    "coldFrom": least,
    "crossZone": max,
    "fields": common,
    "replicasOfMe": least,
}


def meet(one, other):
    """The settings that allow what both allow, in full form."""
    one, other = with_defaults(one), with_defaults(other)
    told = fields(one, other)
    for key in PARTS:
        told[key] = fields(one[key], other[key])
    told["classes"] = rows(one["classes"], other["classes"], methods)
    told["contracts"] = rows(one["contracts"], other["contracts"], plans)
    return plain(told)


def fields(one, other):
    """Fields of two objects, each by its rule; one without a rule stays where both say the same."""
    told = {}
    for key in one.keys() & other.keys():
        rule = RULES.get(key)
        if rule:
            told[key] = rule(one[key], other[key])
        elif one[key] == other[key]:
            told[key] = one[key]
    return told


def rows(one, other, rule):
    """Rows of the names that both have, but for those that have no meet."""
    others = {row["name"]: row for row in other}
    met = [rule(row, others[row["name"]]) for row in one if row["name"] in others]
    return [row for row in met if row is not None]


def methods(one, other):
    """The meet of two methods of one name; None where no command is right for both. What is keyed in one alone keeps
    its key, which is asked for, and is never tried again where it may have run."""
    if (one["effect"] == QUERY) != (other["effect"] == QUERY):
        return None
    told = fields(one, other) | {"name": one["name"]}
    if one["effect"] == QUERY:
        return told | {"effect": QUERY, "keyScope": "none", "window": 0}
    narrow = min(one["keyScope"], other["keyScope"], key=SCOPES.index)
    keyed = KEYED in (one["effect"], other["effect"])
    return told | {
        "effect": KEYED if keyed else "side_effect",
        "keyScope": narrow,
        "window": min(one["window"], other["window"]) if narrow != "none" else 0,
    }


def plans(one, other):
    """The meet of two plans of one name: the lower quota and ceiling, where 0 is none."""
    told = fields(one, other) | {"name": one["name"]}
    for rate, rest in BOUNDS:
        for key in (rate, *rest):
            kept = [row[key] for row in (one, other) if row[rate]]
            told[key] = min(kept) if kept else 0
    return told


def allows(wide, narrow):
    """Whether `wide` forbids nothing that `narrow` allows: the order of which `meet` is the lower bound."""
    return meet(wide, narrow) == with_defaults(narrow)


# The comparison, in words.

WORDS = {
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
TIMES = (
    "goalTime",
    "giveUp",
    "window",
    "dialTimeout",
    "connIdle",
    "counterTimeout",
    "maxRetryAfter",
    "cold",
)
EFFECTS = {"pure": "idempotent", "token": "deduplicated", "side_effect": "non-idempotent"}
NONE_AT_ZERO = ("quotaRate", "ceilingRate", "maxOut")


def describe_changes(before, after):
    """What changes for whom, a line each, in the order method, plan, the rest; none where both say the same."""
    before, after = with_defaults(before), with_defaults(after)
    said = []
    for key, kind in (("classes", "method"), ("contracts", "plan")):
        old, new = ({row["name"]: row for row in settings[key]} for settings in (before, after))
        for name in sorted(old.keys() | new.keys()):
            if name not in new:
                said.append(f"{kind} {name}: gone")
            elif name not in old:
                said.append(
                    f"{kind} {name}: new, "
                    + ", ".join(
                        f"{WORDS.get(field, field)} {shown(field, value)}"
                        for field, value in sorted(new[name].items())
                        if field != "name" and value not in (0, "", "none", False)
                    )
                )
            else:
                said += [f"{kind} {name}: {line}" for line in changes(old[name], new[name])]
    rest = {key: value for key, value in before.items() if key not in ("classes", "contracts")}
    other = {key: value for key, value in after.items() if key not in ("classes", "contracts")}
    return said + [f"all: {line}" for line in changes(flat(rest), flat(other))]


def flat(told):
    """An object of objects as one, by the names of the inner fields."""
    inner = {}
    for key, value in told.items():
        inner.update(value if isinstance(value, dict) else {key: value})
    return inner


def changes(old, new):
    for field in sorted(old.keys() | new.keys()):
        one, other = old.get(field), new.get(field)
        if one != other:
            yield f"{WORDS.get(field, field)} {shown(field, one)} to {shown(field, other)}"


def shown(field, value):
    """A value as staff read it."""
    if value is None or field in NONE_AT_ZERO and not value:
        return "none"
    if field in TIMES and isinstance(value, (int, float)):
        return f"{value / 1e6:g} s"
    return EFFECTS.get(value, value) if isinstance(value, str) else json.dumps(value)
