"""The configuration of one gateway process, read from its environment and its file.

The PROXY_* variables set the listening addresses and the path of the file. The file is JSON with
the limits, the counter's address, the last known endpoint list and the settings. A missing or
invalid value raises a `ConfigError`; unknown keys are ignored.
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
VARIABLE_KEYS = ("name", "listen", "discovery", "management")
"""The keys of the file that an environment variable may set."""

_DEFAULT_MEMORY_MB = 192
_DEFAULT_SOCKETS = 1024
_MIN_SOCKETS = 64
_MAX_DESCRIPTOR_DIGITS = 7
_NO_ENDPOINTS: JsonObject = {"index": 0, "snapshot": True, "endpoints": []}


class Config(NamedTuple):
    """The configuration of a gateway process; a reload replaces the whole object.

    Attributes:
        name: The gateway's name.
        listen: The address on which the gateway accepts clients.
        listen_fd: The inherited descriptor of a listening socket; None where there is none.
        management: The address of the management API; None where it is disabled.
        discovery: The address of the discovery service.
        counter: The address of the shared counter; None where the settings do not use it.
        seed: The seed of the gateway's random draws.
        memory_mb: The memory limit of the process, in MiB.
        sockets: The maximum number of descriptors that the process may hold.
        known: The last known endpoint list.
        settings: The methods, the plans and the options of the site.
        consensus: The configuration of the agreement on settings; None where it is disabled.
        metrics_by_endpoint: Whether the metrics in the log count attempts by endpoint.
        raw: The JSON object that was read, without the endpoint list.
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
    metrics_by_endpoint: bool
    raw: JsonObject

    def with_settings(self, settings: JsonObject) -> "Config":
        """Return this configuration with other settings, checked as in a reload.

        Raises:
            ConfigError: The settings are invalid, or change a value that is fixed at start.
        """
        parsed = parse_settings(Section(settings, "settings"))
        return self._replace(settings=reload_settings(self.settings, parsed))


def load(environment: Mapping[str, str], current: Config | None = None) -> Config:
    """Return the configuration that the PROXY_* variables and the file define.

    Args:
        environment: The environment of the process.
        current: The configuration in force, in a reload; None at the start. In a reload the file
            takes precedence over the variables, because only the file can have changed.

    Raises:
        ConfigError: A value is missing or invalid, or cannot change in a reload.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError.missing("PROXY_CONFIG", "the path of a JSON file")
    return parse_config(_read_json(path, "PROXY_CONFIG"), environment, current)


def load_settings_file(path: str) -> JsonObject:
    """Return the settings object of a file that an operator passes.

    The file holds either a settings object or the whole configuration of a gateway.

    Raises:
        ConfigError: The file cannot be read, or does not hold an object.
    """
    section = Section(_read_json(path, "settings"), path)
    if "settings" in section.value:
        return section.section("settings").value
    return section.value


def parse_config(
    content: object, environment: Mapping[str, str] | None = None, current: Config | None = None
) -> Config:
    """Return the configuration for the parsed content of its file.

    Args:
        content: The parsed JSON of the file.
        environment: The environment of the process. At the start, its PROXY_* variables take
            precedence over the corresponding keys.
        current: The configuration in force, in a reload; None at the start.

    Raises:
        ConfigError: A value is missing or invalid, or cannot change in a reload.
    """
    environment = environment or {}
    section = _apply_variables(Section(content), environment, current)
    raw = _raw_content(section, current)
    # If several keys are invalid, the error names the one that is read first here.
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
        metrics_by_endpoint=section.section("figures", {}).flag("hosts"),
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
    # Imported on demand, so that a gateway without agreement on settings starts without it.
    from petrellane.config.consensus import parse_consensus

    return parse_consensus(section, name, management)


def _apply_variables(
    section: Section, environment: Mapping[str, str], current: Config | None
) -> Section:
    """Return the section with the values of the variables.

    At the start a variable overrides its key. In a reload it only replaces a missing key.
    """
    content = dict(section.value)
    for key in VARIABLE_KEYS:
        variable = VARIABLE_PREFIX + key.upper()
        text = environment.get(variable)
        if not text or (current and content.get(key) is not None):
            continue
        content[key] = text
        if key != "name":
            parse_address(text, variable)
    return Section(content)


def _raw_content(section: Section, current: Config | None) -> JsonObject:
    """Return the object without the endpoint list.

    Raises:
        ConfigError: In a reload, a key of the configuration in force is missing.
    """
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
    """Return the descriptor of a listening TCP socket; None where the variable is not set.

    Raises:
        ConfigError: The variable does not name such a descriptor.
    """
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
            raise ConfigError(key, expected, f"{text}, a descriptor of another type")
    return int(text)


def _read_json(path: str, key: str) -> object:
    """Return the parsed content of a JSON file.

    Args:
        path: The path of the file.
        key: The key or variable that names the file, for the error.

    Raises:
        ConfigError: The file cannot be read, or does not hold JSON.
    """
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as error:
        raise ConfigError(key, f"a readable file at {path}", reason=str(error.strerror)) from None
    except ValueError as error:
        raise ConfigError(key, f"JSON in {path}", reason=str(error)) from None
