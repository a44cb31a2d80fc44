"""Made-up content of control messages: settings, rosters and endpoint lists at the design sizes.

Names have the usual length and all content is the same in every run, so that sizes can be compared
between builds.
"""

from typing import Any

METHODS = 4100
PLANS = 300
ROSTER_SIZE = 1200
HOSTS = 13_000
MICROSECONDS = 1_000_000
EFFECTS = ("pure", "token", "side_effect")
KEY_SCOPES = ("none", "zone", "all")
VERBS = ("get", "list", "put", "drop")

Settings = dict[str, Any]


def _build_method(number: int) -> dict[str, Any]:
    return {
        "name": f"service{number % 250}.resource{number}.{VERBS[number % 4]}",
        "effect": EFFECTS[number % 3],
        "keyScope": KEY_SCOPES[number % 3],
        "window": 4 * MICROSECONDS,
        "goalTime": (50 + number % 200) * 1000,
        "giveUp": (400 + number % 600) * 1000,
        "worth": 1 + number % 5,
        "lateWorth": 0.5,
    }


def _build_plan(number: int) -> dict[str, Any]:
    return {
        "name": f"plan-{number}",
        "quotaRate": 2 + number,
        "storeSize": 10 + 5 * number,
        "pays": 1 + number % 3,
        "ceilingRate": 20 + number,
        "ceilingBurst": 40 + number,
        "ceilingSlack": 8,
    }


def build_settings(methods: int, plans: int = PLANS, revision: int = 0) -> Settings:
    """Return settings of so many methods and plans; a `revision` above 0 changes one method."""
    rows = [_build_method(number) for number in range(methods)]
    if revision:
        rows[0]["giveUp"] += revision
    return {
        "classes": rows,
        "contracts": [_build_plan(number) for number in range(plans)],
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "limits": {
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
        },
        "replicasOfMe": ROSTER_SIZE,
    }


def build_roster(size: int) -> tuple[str, ...]:
    """Return the names of so many participants."""
    return tuple(f"gateway-{number // 100}-{number:04}" for number in range(size))


def build_endpoint(number: int) -> dict[str, Any]:
    """Return one row of an endpoint list."""
    return {
        "name": f"host-{number % 250}-{number:05}",
        "address": f"10.{number >> 12 & 255}.{number >> 4 & 255}.{number % 16 + 10}:18800",
        "zone": f"zone-{number % 12}",
        "type": "standard",
        "group": number % 52,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 1_780_000_000_000 + number,
    }
