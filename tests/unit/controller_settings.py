"""Settings of an admission controller that several tests use."""

from typing import Any

CONTROLLER_SETTINGS: dict[str, Any] = {
    "zone": "z1",
    "uses_counter": True,
    "counter_timeout": 0.05,
    "may_cancel": True,
    "max_retry_after": 0.5,
    "slow_start": 10.0,
    "slow_start_minimum": 0.25,
    "cross_zone_price": 0.0,
    "must_watch": False,
}
