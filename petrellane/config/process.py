"""The configuration of one gateway process, from its environment and its file.

The PROXY_* variables say where to listen and where the file is: JSON with the limits, the
counter's address, the last endpoint list and the settings. What is missing or wrong raises a
`ConfigError`; unknown keys are ignored.
"""

import json
import os
import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from petrellane.config.endpoints import EndpointListUpdate, parse_endpoint_list
from petrellane.config.reload import check_no_key_removed, reload_settings
from petrellane.config.section import (
    Address,
    ConfigError,
    JsonObject,
    Section,
    abbreviate,
    parse_address,
)
from petrellane.config.settings import Settings, parse_settings

if TYPE_CHECKING:
    from petrellane.config.consensus import ConsensusConfig

VARIABLE_PREFIX = "PROXY_"
KEYS_OF_VARIABLES = ("name", "listen", "discovery", "management")
"""Keys of the file that a variable of the environment may set."""

_DEFAULT_MEMORY_MB = 192
_DEFAULT_SOCKETS = 1024
_MIN_SOCKETS = 64
_MAX_DESCRIPTOR_DIGITS = 7
_NO_ENDPOINTS: JsonObject = {"index": 0, "snapshot": True, "endpoints": []}


class Config(NamedTuple):
    """All that a gateway process is configured with; replaced as a whole at a reload.

    Attributes:
        name: The gateway's name.
        listen: Where clients connect.
        listen_fd: The descriptor of a listening socket that a predecessor left; None without.
        management: Where the management API listens; None without.
        discovery: Where the endpoint list comes from.
        counter: Where the counter is; None where the settings use none.
        seed: Of all random draws.
        memory_mb: The memory that the process may take.
        sockets: The descriptors that the process may hold.
        known: The last endpoint list that was known.
        settings: Methods, plans, and what the site allows.
        consensus: What agreement on settings needs; None where there is no such agreement.
        figures_by_endpoint: Whether the log's figures tell attempts by endpoint.
        raw: What was read, without the endpoint list.
    """

    name: str
    listen: Address
    listen_fd: int | None
    management: Address | None
    discovery: Address
    counter: Address | None
    seed: int
    memory_mb: float
    sockets: int
    known: EndpointListUpdate
    settings: Settings
    consensus: "ConsensusConfig | None"
    figures_by_endpoint: bool
    raw: JsonObject

    def with_settings(self, settings: JsonObject) -> "Config":
        """This configuration with other settings, checked as at a reload.

        Raises:
            ConfigError: The settings are wrong, or can't follow those in force.
        """
        parsed = parse_settings(Section(settings, "settings"))
        return self._replace(settings=reload_settings(self.settings, parsed))


def load(environment: Mapping[str, str], current: Config | None = None) -> Config:
    """The configuration that the PROXY_* variables name.

    Args:
        environment: The environment of the process.
        current: The configuration in force, at a reload. Its file goes before the variables: they
            are those of the start, and only the file can have changed.

    Raises:
        ConfigError: Something is missing or wrong.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError.missing("PROXY_CONFIG", "the path of a JSON file")
    return parse_config(_read_json(path, "PROXY_CONFIG"), environment, current)


def load_settings_file(path: str) -> JsonObject:
    """The settings of a file that an operator names.

    The file holds a settings object, or a gateway's whole configuration.

    Raises:
        ConfigError: The file can't be read, or holds no object.
    """
    section = Section(_read_json(path, "settings"), path)
    if "settings" in section.value:
        return section.section("settings").value
    return section.value


def parse_config(
    content: object, environment: Mapping[str, str] | None = None, current: Config | None = None
) -> Config:
    """The configuration from the content of its file.

    Args:
        content: What the file holds.
        environment: At a start, its PROXY_* variables go before the keys they stand for.
        current: The configuration in force, at a reload.

    Raises:
        ConfigError: Something is missing or wrong, or can't follow the configuration in force.
    """
    environment = environment or {}
    section = _apply_variables(Section(content), environment, current)
    raw = _raw_content(section, current)
    # The order of the reads is that in which errors are reported.
    seed_text = section.text("seed")
    limits = section.section("limits", {})
    settings = _parse_next_settings(section.section("settings"), current)
    seed = _parse_seed(seed_text)
    name = section.text("name")
    management = _parse_management(section)
    return Config(
        name=name,
        listen=section.address("listen"),
        discovery=section.address("discovery"),
        listen_fd=_parse_listen_fd(environment.get("PROXY_LISTEN_FD")),
        management=management,
        consensus=_parse_consensus(section, name, management),
        figures_by_endpoint=section.section("figures", {}).flag("hosts"),
        counter=section.address("counter") if settings.uses_counter else None,
        seed=seed,
        memory_mb=limits.number("memory_mb", _DEFAULT_MEMORY_MB),
        sockets=limits.integer("sockets", _DEFAULT_SOCKETS, _MIN_SOCKETS),
        known=parse_endpoint_list(section.section("known", _NO_ENDPOINTS)),
        settings=settings,
        raw=raw,
    )


def _parse_consensus(
    section: Section, name: str, management: Address | None
) -> "ConsensusConfig | None":
    if section.value.get("agreement") is None:
        return None
    # Imported where it is asked for: a gateway alone starts without it.
    from petrellane.config.consensus import parse_consensus

    return parse_consensus(section, name, management)


def _apply_variables(
    section: Section, environment: Mapping[str, str], current: Config | None
) -> Section:
    """The section with variables in the place of keys; at a reload, of keys that it lacks."""
    content = dict(section.value)
    for key in KEYS_OF_VARIABLES:
        variable = VARIABLE_PREFIX + key.upper()
        text = environment.get(variable)
        if not text or (current and content.get(key) is not None):
            continue
        content[key] = text
        if key != "name":
            parse_address(text, variable)
    return Section(content)


def _raw_content(section: Section, current: Config | None) -> JsonObject:
    """What was read, without the endpoint list; at a reload it may lack no key."""
    raw = {key: value for key, value in section.value.items() if key != "known"}
    if current:
        check_no_key_removed(current.raw, raw)
    return raw


def _parse_next_settings(section: Section, current: Config | None) -> Settings:
    settings = parse_settings(section)
    return reload_settings(current.settings, settings) if current else settings


def _parse_management(section: Section) -> Address | None:
    if section.value.get("management") is None:
        return None
    return section.address("management")


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError("seed", "hex digits", abbreviate(text)) from None


def _parse_listen_fd(text: str | None) -> int | None:
    """The descriptor of a listening TCP socket; None where the variable is not set."""
    if not text:
        return None
    key = "PROXY_LISTEN_FD"
    expected = "the descriptor of a listening TCP socket"
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(key, expected, abbreviate(text))
    try:
        sock = socket.socket(fileno=os.dup(int(text)))
    except OSError as error:
        raise ConfigError(key, expected, text, str(error.strerror)) from None
    with sock:
        if (
            sock.family != socket.AF_INET
            or sock.type != socket.SOCK_STREAM
            or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        ):
            raise ConfigError(key, expected, f"{text}, which is none")
    return int(text)


def _read_json(path: str, key: str) -> object:
    """What a JSON file holds.

    Raises:
        ConfigError: The file, which `key` names, can't be read or is no JSON.
    """
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as error:
        raise ConfigError(key, f"a readable file at {path}", reason=str(error.strerror)) from None
    except ValueError as error:
        raise ConfigError(key, f"JSON in {path}", reason=str(error)) from None
