"""Made-up settings and endpoint lists of any size for the runs of `scale.py`."""

from typing import Any

import orjson

from petrellane.config import EndpointListUpdate, Section, parse_endpoint_list

EFFECTS = ("pure", "token", "side_effect")
PLANS = 4
ZONES = 12
GROUPS = 48
WARM_UP_S = 30.0

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"

EndpointRow = dict[str, Any]


def _encode_method(number: int) -> bytes:
    row = {
        "name": f"service{number // 16}.method{number % 16}",
        "effect": EFFECTS[number % 3],
        "goalTime": 1_000_000,
        "giveUp": 4_000_000,
        "worth": 1.0 + number % 4,
        "window": 5_000_000,
        "keyScope": "all",
    }
    return orjson.dumps(row)


def encode_settings(methods: int) -> bytes:
    """Return settings of so many methods and four plans as JSON.

    They are made piece by piece, as the memory of the process is measured afterwards.
    """
    text = bytearray(b'{"classes":[')
    for number in range(methods):
        text += b"," * bool(number) + _encode_method(number)
    plans = [
        {
            "name": f"plan{number}",
            "quotaRate": 20.0 * (number + 1),
            "storeSize": 80.0 * (number + 1),
            "pays": 1.0,
        }
        for number in range(PLANS)
    ]
    rest = {
        "contracts": plans,
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "locality": "zone0",
        "limits": {
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
        },
        "obligations": {"cold": int(WARM_UP_S * 1e6), "coldFrom": 0.25},
    }
    return bytes(text + b"]," + orjson.dumps(rest)[1:])


def build_endpoint_row(
    number: int, status: str = IN_SERVICE, started_at: float = 0.0
) -> EndpointRow:
    """Return an endpoint as discovery lists it."""
    return {
        "name": f"host{number}",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": f"zone{number % ZONES}",
        "type": "standard",
        "group": number % GROUPS,
        "status": status,
        "weight": 1.0,
        "since_ms": int(started_at * 1e3),
    }


def encode_endpoint_list(hosts: int) -> bytes:
    """Return a complete endpoint list as JSON, made piece by piece."""
    text = bytearray(b'{"index":1,"snapshot":true,"endpoints":[')
    for number in range(hosts):
        text += b"," * bool(number) + orjson.dumps(build_endpoint_row(number))
    return bytes(text + b"]}")


def parse_endpoint_changes(index: int, rows: list[EndpointRow]) -> EndpointListUpdate:
    """Return changes to an endpoint list as the executor takes them."""
    return parse_endpoint_list(Section({"index": index, "endpoints": rows}, "list"))
