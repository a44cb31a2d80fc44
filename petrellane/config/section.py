"""A typed reader of JSON and TOML objects, with errors that name the key.

`Section` reads one object key by key. A missing or invalid value raises a `ConfigError`, whose
one-line message names the key, the expected value and the value found. Keys that no module reads
are ignored. The modules that read the values interpret them.
"""

import json
import sys
from collections.abc import Iterator
from typing import Any, Self, TypeVar

JsonObject = dict[str, Any]
Address = tuple[str, int]
ValueT = TypeVar("ValueT")

REQUIRED: Any = object()
"""The sentinel default that makes a key mandatory."""

_MICROSECONDS = 1e6
_MAX_PORT = 65535
_MAX_EXCERPT = 40  # characters of a value that an error message quotes


class ConfigError(Exception):
    """A missing or invalid key; the message is one line that names the key.

    Attributes:
        key: The path of the key, or the name of the environment variable.
        expected: A description of the valid values.
        found: A description of the invalid value; None where the message has none.
    """

    def __init__(
        self, key: str, expected: str, found: str | None = None, reason: str | None = None
    ) -> None:
        """Build the message from the key, the expected value and the value found.

        Args:
            key: The path of the key, or the name of the environment variable.
            expected: A description of the valid values.
            found: A description of the invalid value.
            reason: The error text of the operating system or of a parser.
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
        """Return the error for a key that is missing."""
        error = cls(key, expected)
        error.args = (f"{key}: missing, expected {expected}",)
        return error


class Section:
    """One JSON object and its path, read key by key; the parser that reads it owns it.

    Paths and messages are built only when an error occurs, because the settings of a large site
    have many thousands of values.

    Attributes:
        value: The object itself.
        path: The path of the object in the configuration; empty for the root.
    """

    __slots__ = ("path", "value")

    def __init__(self, value: object, path: str = "") -> None:
        """Wrap an object.

        Raises:
            ConfigError: The value is not an object.
        """
        if not isinstance(value, dict):
            raise ConfigError(path or "configuration", "an object", abbreviate(value))
        self.value: JsonObject = value
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the full path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(
        self,
        key: str,
        kinds: tuple[type[ValueT], ...],
        expected: str,
        default: ValueT = REQUIRED,
    ) -> ValueT:
        """Return the value of a key, checked for its type.

        Args:
            key: The key in this object; a null value counts as missing.
            kinds: The accepted types; a bool is accepted only where bool is listed.
            expected: The description of the accepted types in an error.
            default: The value to return where the key is missing.

        Raises:
            ConfigError: The key is missing and has no default, or its value has another type.
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
        """Return a string."""
        return self.get(key, (str,), "text", default)

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean; an integer counts as true unless it is 0."""
        return bool(self.get(key, (bool, int), "true or false", default))

    def number(
        self,
        key: str,
        default: float = REQUIRED,
        minimum: float = 0.0,
        is_exclusive: bool = False,
    ) -> float:
        """Return a finite number.

        Args:
            key: The key in this object.
            default: The value to return where the key is missing; it may be out of range.
            minimum: The lower bound.
            is_exclusive: Whether the minimum itself is out of range.

        Raises:
            ConfigError: The key is missing and has no default, or its value is not a number or is
                out of range.
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
        """Return a whole number; the arguments and errors are those of `number`."""
        value = self.number(key, default, minimum)
        if value is not default and value != int(value):
            raise ConfigError(self.path_of(key), "a whole number", str(value))
        return int(value)

    def seconds(self, key: str, default: float = 0) -> float:
        """Return a time in seconds; the value and the default are in microseconds."""
        return self.number(key, default) / _MICROSECONDS

    def section(self, key: str, default: JsonObject = REQUIRED) -> "Section":
        """Return a nested object."""
        value = self.get(key, (dict,), "an object", default)
        return Section(value, self.path_of(key))

    def sections(self, key: str, default: list[JsonObject] = REQUIRED) -> Iterator["Section"]:
        """Return an iterator over a list of objects that checks each object when it yields it."""
        path = self.path_of(key)
        rows = self.get(key, (list,), "a list of objects", default)
        return (Section(row, f"{path}[{index}]") for index, row in enumerate(rows))

    def address(self, key: str) -> Address:
        """Return the host and port of a HOST:PORT string."""
        text = self.text(key)
        host, _, port = text.rpartition(":")
        if host and _is_port(port):
            return host, int(port)
        return parse_address(text, self.path_of(key))


def abbreviate(value: object) -> str:
    """Return a value as JSON, truncated to the length that error messages allow."""
    text = json.dumps(value, default=str)
    if len(text) <= _MAX_EXCERPT:
        return text
    return text[: _MAX_EXCERPT - 3] + "..."


def parse_address(text: str, key: str) -> Address:
    """Return the host and port of a HOST:PORT string.

    Args:
        text: The string.
        key: The key or variable that holds the string, for the error.

    Raises:
        ConfigError: The string is not an address.
    """
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise ConfigError(key, "HOST:PORT", abbreviate(text))
    return host, int(port)


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= _MAX_PORT
