"""Settings that the simulated gateways agree on."""

from typing import Any


def settings_with_timeout(timeout: int) -> dict[str, Any]:
    """Return settings of one method, which gives up after this time."""
    return {
        "classes": [{"name": "look", "effect": "pure", "giveUp": timeout}],
        "contracts": [],
    }


OLD_SETTINGS = settings_with_timeout(4)
NEW_SETTINGS = settings_with_timeout(2)
OTHER_SETTINGS = settings_with_timeout(3)
ALL_SETTINGS = (OLD_SETTINGS, NEW_SETTINGS, OTHER_SETTINGS)


def accept(_settings: dict[str, Any]) -> str | None:
    """Find nothing wrong with any settings."""
    return None
