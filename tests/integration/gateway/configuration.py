"""The base configuration of the gateway scenarios, and helpers to change it."""

import copy
import json
import re
from typing import Any, TypeAlias

Config: TypeAlias = dict[str, Any]

LOOK: Config = {
    "name": "look",
    "effect": "pure",
    "goalTime": 1000000,
    "giveUp": 4000000,
    "worth": 1.0,
    "lateWorth": 0.5,
}
BASE_CONFIG: Config = {
    "name": "g1",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "counter": "127.0.0.1:1",
    "seed": "5eed",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "classes": [
            LOOK,
            {
                "name": "lodge",
                "effect": "token",
                "keyScope": "all",
                "window": 4000000,
                "goalTime": 1000000,
                "giveUp": 4000000,
                "worth": 1.0,
                "lateWorth": 0.5,
            },
            {
                "name": "post",
                "effect": "side_effect",
                "goalTime": 1000000,
                "giveUp": 4000000,
                "worth": 1.0,
            },
        ],
        "contracts": [{"name": "basic", "quotaRate": 50, "storeSize": 100, "pays": 1.0}],
        "familyInfo": {"mayCount": True, "counterTimeout": 80000},
        "limits": {
            "connIdle": 30000000,
            "dialTimeout": 250000,
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500000,
            "streamsPerConn": 4,
        },
        "obligations": {"cold": 0, "coldFrom": 1.0},
        "discovery": "push",
    },
}


def unescape(text: str) -> bytes:
    r"""Return the bytes of a step's text.

    \r, \n and \s stand for a carriage return, a line feed and a space, and {N} for the letter x,
    repeated N times.
    """
    text = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\s", " ")
    return re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), text).encode("latin-1")


def with_changes(base: Config, words: list[str]) -> Config:
    """Return a copy of a configuration with changes of the form KEY.KEY=JSON applied."""
    changed = copy.deepcopy(base)
    for word in words:
        path, value = word.split("=", 1)
        *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
        place: Any = changed
        for step in steps:
            place = place[step]
        place[last] = json.loads(value)
    return changed


def endpoint_row(name: str, address: str, status: str = "in_service") -> Config:
    """Return a row of an endpoint list, as in the configuration and in responses of discovery."""
    return {
        "name": name,
        "address": address,
        "zone": "z",
        "type": "k",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


def as_options(words: tuple[str, ...]) -> dict[str, str]:
    """Return the NAME=VALUE words of a step as a mapping; a word without `=` maps to ""."""
    return dict(word.partition("=")[::2] for word in words)


def required_times(word: str) -> int:
    """Return N from the word times=N of a step."""
    return int(word.partition("=")[2])
