"""Settings that the tests of config consensus propose."""

from typing import Any


def settings_with_timeout(timeout: int) -> dict[str, Any]:
    """Return settings with one method.

    Args:
        timeout: The deadline of the method, in microseconds.
    """
    return {
        "classes": [{"name": "look", "effect": "pure", "giveUp": timeout}],
        "contracts": [],
    }


OLD_SETTINGS = settings_with_timeout(4)
NEW_SETTINGS = settings_with_timeout(2)
OTHER_SETTINGS = settings_with_timeout(3)
ALL_SETTINGS = (OLD_SETTINGS, NEW_SETTINGS, OTHER_SETTINGS)


def accept(_settings: dict[str, Any]) -> str | None:
    """Accept any settings, as a `Validator`."""
    return None
