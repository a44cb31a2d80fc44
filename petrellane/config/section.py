"""A typed reader of JSON and TOML objects, with errors that name the key.

`Section` reads one object key by key. A value that is missing or wrong raises a `ConfigError`,
whose one line says which key, what was expected and what was found; keys that nobody reads are
ignored. What the values mean is left to the modules that read them.
"""

import json
import sys
from collections.abc import Iterator
from typing import Any, Self, TypeVar

JsonObject = dict[str, Any]
Address = tuple[str, int]
ValueT = TypeVar("ValueT")

REQUIRED: Any = object()
"""Given as a default, it makes a key mandatory."""

_MICROSECONDS = 1e6
_MAX_PORT = 65535
_MAX_EXCERPT = 40


class ConfigError(Exception):
    """A key that is missing or wrong; the text is one line that names it.

    Attributes:
        key: The path of the key, or the variable.
        expected: What would be right.
        found: What is there instead, where that says something.
    """

    def __init__(
        self, key: str, expected: str, found: str | None = None, reason: str | None = None
    ) -> None:
        """Describe what is wrong.

        Args:
            key: The path of the key, or the variable.
            expected: What would be right.
            found: What is there instead.
            reason: Why it is wrong, as the operating system or a parser puts it.
        """
        text = f"{key}: expected {expected}"
        if found is not None:
            text += f", found {found}"
        if reason is not None:
            text += f": {reason}"
        super().__init__(text)
        self.key = key
        self.expected = expected
        self.found = found

    @classmethod
    def missing(cls, key: str, expected: str) -> Self:
        """The error of a key that is not there."""
        error = cls(key, expected)
        error.args = (f"{key}: missing, expected {expected}",)
        return error


class Section:
    """One JSON object with its path, read key by key; lives as long as the reading takes.

    The text of an error is put together only where there is an error: the settings of a large
    site have many thousand values.

    Attributes:
        value: The object itself.
        path: Its path in the configuration; empty for the whole of it.
    """

    __slots__ = ("path", "value")

    def __init__(self, value: object, path: str = "") -> None:
        """Wrap an object.

        Raises:
            ConfigError: The value is no object.
        """
        if not isinstance(value, dict):
            raise ConfigError(path or "configuration", "an object", abbreviate(value))
        self.value: JsonObject = value
        self.path = path

    def path_of(self, key: str) -> str:
        """The full path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(
        self,
        key: str,
        kinds: tuple[type[ValueT], ...],
        expected: str,
        default: ValueT = REQUIRED,
    ) -> ValueT:
        """A value of one of some types.

        Args:
            key: The key in this object; null counts as missing.
            kinds: The types that are right; bool is no int here.
            expected: The words for these in an error.
            default: What a missing key stands for.

        Raises:
            ConfigError: The key is missing without a default, or of another type.
        """
        value = self.value.get(key)
        if value is None:
            if default is REQUIRED:
                raise ConfigError.missing(self.path_of(key), expected)
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ConfigError(self.path_of(key), expected, abbreviate(value))
        return value

    def text(self, key: str, default: str = REQUIRED) -> str:
        """A string."""
        return self.get(key, (str,), "text", default)

    def flag(self, key: str, default: bool = False) -> bool:
        """A boolean; a number counts as true unless it is 0."""
        return bool(self.get(key, (bool, int), "true or false", default))

    def number(
        self,
        key: str,
        default: float = REQUIRED,
        minimum: float = 0.0,
        is_exclusive: bool = False,
    ) -> float:
        """A finite number.

        Args:
            key: The key in this object.
            default: What a missing key stands for; it need not be in the range.
            minimum: The least number that is right.
            is_exclusive: The number has to be above the minimum.

        Raises:
            ConfigError: The key is missing without a default, no number, or out of range.
        """
        value = self.value.get(key, default)
        kind = type(value)
        if (
            (kind is int or kind is float)
            and minimum <= value <= sys.float_info.max
            and not (is_exclusive and value == minimum)
        ):
            number: float = value
            return number
        is_default = value is default
        if is_default and default is not REQUIRED:
            return default
        bound = "above" if is_exclusive else "from"
        expected = f"a number {bound} {minimum:g}"
        if key in self.value and value is None:
            raise ConfigError(self.path_of(key), expected, "null")
        value = self.get(key, (int, float), expected)
        raise ConfigError(self.path_of(key), expected, str(value)[:_MAX_EXCERPT])

    def integer(self, key: str, default: int = REQUIRED, minimum: int = 0) -> int:
        """A whole number; see `number`."""
        value = self.number(key, default, minimum)
        if value is not default and value != int(value):
            raise ConfigError(self.path_of(key), "a whole number", str(value))
        return int(value)

    def seconds(self, key: str, default: float = 0) -> float:
        """Seconds, from a key (and a default) in microseconds."""
        return self.number(key, default) / _MICROSECONDS

    def section(self, key: str, default: JsonObject = REQUIRED) -> "Section":
        """An object inside this one."""
        value = self.get(key, (dict,), "an object", default)
        return Section(value, self.path_of(key))

    def sections(self, key: str, default: list[JsonObject] = REQUIRED) -> Iterator["Section"]:
        """The objects of a list, each checked when it is taken."""
        path = self.path_of(key)
        rows = self.get(key, (list,), "a list of objects", default)
        return (Section(row, f"{path}[{index}]") for index, row in enumerate(rows))

    def address(self, key: str) -> Address:
        """A host and port, from HOST:PORT."""
        text = self.text(key)
        host, _, port = text.rpartition(":")
        if host and _is_port(port):
            return host, int(port)
        return parse_address(text, self.path_of(key))


def abbreviate(value: object) -> str:
    """A value as JSON, cut to the length that an error has room for."""
    text = json.dumps(value, default=str)
    if len(text) <= _MAX_EXCERPT:
        return text
    return text[: _MAX_EXCERPT - 3] + "..."


def parse_address(text: str, key: str) -> Address:
    """A host and port, from HOST:PORT.

    Raises:
        ConfigError: The text, which `key` holds, is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise ConfigError(key, "HOST:PORT", abbreviate(text))
    return host, int(port)


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= _MAX_PORT
