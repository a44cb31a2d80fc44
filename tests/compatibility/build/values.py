"""Values without any type of the program."""

import dataclasses
import enum
from typing import Any, TypeAlias

Json: TypeAlias = Any

# Words that records hold here, and those that stand in the recorded digests, where they differ.
RECORD_WORDS: dict[str, str] = {}


def plain(value: object) -> Json:
    """A value without any type of the program."""
    if isinstance(value, enum.Enum):
        return plain(value.value)
    if isinstance(value, str):
        return RECORD_WORDS.get(value, str(value))
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    raise TypeError(f"expected plain values in a record, found {type(value).__name__}")
