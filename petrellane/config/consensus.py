"""The configuration of the agreement on settings: the shared key and the roster of gateways.

The module parses the section `agreement` of a gateway's file, and the TOML file of a control
process.
"""

import os
from dataclasses import dataclass

from petrellane.config.section import Address, ConfigError, Section, abbreviate, parse_address

Roster = dict[str, list[Address]]
"""The management addresses of each gateway, by its name.

A gateway has several where its predecessor and successor processes use different addresses.
"""

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 4096
MAX_NAME_LENGTH = 64
_CONTROL_KEYS = {"name", "listen", "journal", "key_file", "gateways"}


@dataclass(frozen=True)
class ConsensusConfig:
    """The configuration of a gateway that participates in the agreement on settings.

    Attributes:
        key: The secret key that all processes share.
        state: The path of a directory that persists when the gateway restarts.
        members: The roster of gateways.
    """

    key: bytes
    state: str
    members: Roster


@dataclass(frozen=True)
class ControlConfig:
    """The configuration of a control process.

    Attributes:
        name: The name of the control process.
        listen: The address on which it accepts operators' requests.
        journal: The path of its journal.
        key: The secret key that all processes share.
        members: The roster of gateways.
    """

    name: str
    listen: Address
    journal: str
    key: bytes
    members: Roster


def parse_consensus(
    section: Section, name: str, management: Address | None
) -> ConsensusConfig | None:
    """Parse the section `agreement` of a gateway's file; return None where there is none.

    Args:
        section: The root section of the file.
        name: The gateway's name.
        management: The address of the gateway's management API; None where it is disabled.

    Raises:
        ConfigError: A value is missing or invalid.
    """
    if section.value.get("agreement") is None:
        return None
    agreement = section.section("agreement")
    if not management:
        raise ConfigError.missing("management", "HOST:PORT, which `agreement` requires")
    members = parse_roster(agreement.section("members"))
    if name not in members:
        raise ConfigError("agreement.members", f"{name} among them", abbreviate(sorted(members)))
    state = agreement.text("state")
    if not os.path.isdir(state):
        raise ConfigError("agreement.state", "a folder", abbreviate(state))
    key = read_key_file(agreement.text("key_file"), "agreement.key_file")
    return ConsensusConfig(key, state, members)


def parse_roster(section: Section) -> Roster:
    """Return the gateways by name, each with one or more addresses.

    Raises:
        ConfigError: An address is invalid or occurs twice, or there is no gateway.
    """
    members: Roster = {}
    owners: dict[Address, str] = {}
    for name, value in section.value.items():
        path = section.path_of(name)
        members[name] = _parse_addresses(value, path)
        for address in members[name]:
            if address in owners:
                raise ConfigError(path, "an address of its own", f"that of {owners[address]}")
            owners[address] = name
    if not members:
        raise ConfigError(section.path, "at least one gateway", "none")
    return members


def _parse_addresses(value: object, path: str) -> list[Address]:
    items = value if isinstance(value, list) else [value]
    texts = [item for item in items if isinstance(item, str)]
    if not items or len(texts) < len(items):
        raise ConfigError(path, "HOST:PORT or a list of these", abbreviate(value))
    return [parse_address(text, path) for text in texts]


def read_key_file(path: str, key: str) -> bytes:
    """Return the shared key that a file holds, without leading and trailing whitespace.

    Args:
        path: The path of the file.
        key: The configuration key that names the file, for the error.

    Raises:
        ConfigError: The file cannot be read, or holds fewer than `MIN_KEY_BYTES` bytes.
    """
    try:
        with open(path, "rb") as file:
            shared_key = file.read(MAX_KEY_BYTES).strip()
    except OSError as error:
        raise ConfigError(key, f"a readable file at {path}", reason=str(error.strerror)) from None
    if len(shared_key) < MIN_KEY_BYTES:
        raise ConfigError(key, f"at least {MIN_KEY_BYTES} bytes in {path}", str(len(shared_key)))
    return shared_key


def load_control_config(path: str) -> ControlConfig:
    """Return the configuration of a control process from a TOML file.

    Paths in the file are relative to the directory of the file.

    Raises:
        ConfigError: The file cannot be read, or a value is missing, invalid or unknown.
    """
    section = _read_toml(path)
    folder = os.path.dirname(os.path.abspath(path))
    name = section.text("name")
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ConfigError("name", f"1 to {MAX_NAME_LENGTH} characters", abbreviate(name))
    if unknown_keys := sorted(section.value.keys() - _CONTROL_KEYS):
        raise ConfigError(unknown_keys[0], f"a key among {', '.join(sorted(_CONTROL_KEYS))}")
    return ControlConfig(
        name=name,
        listen=section.address("listen"),
        journal=os.path.join(folder, section.text("journal")),
        key=read_key_file(os.path.join(folder, section.text("key_file")), "key_file"),
        members=parse_roster(section.section("gateways")),
    )


def _read_toml(path: str) -> Section:
    import tomllib  # not imported at a gateway's start: the import takes 4 ms

    try:
        with open(path, "rb") as file:
            return Section(tomllib.load(file))
    except OSError as error:
        raise ConfigError(path, "a readable file", reason=str(error.strerror)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(path, "TOML", reason=str(error)) from None
