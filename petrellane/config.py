"""The one place where configuration is read, checked and given defaults.

The PROXY_* variables say where to listen and where the rest of the configuration is: a JSON file with the limits, the
counter's address, the last host list and the settings. Whatever is missing or wrong raises a ConfigError whose one
line names the key and what was expected. Unknown keys are passed over. Times of the settings are microseconds there
and seconds here.
"""

import json
import os
import socket
import sys
from dataclasses import dataclass, fields, replace
from operator import attrgetter
from typing import NamedTuple

from petrellane.decisions import types as api

EFFECTS = {"pure": api.IDEMPOTENT, "token": api.DEDUPLICATED, "side_effect": api.NON_IDEMPOTENT}
STATES = {"in_service": api.READY, "terminating": api.DRAINING, "terminated": api.GONE}
REQUIRED = object()
SAID = {
    kind: attrgetter(*(one.name for one in fields(kind) if one.name != "identity"))
    for kind in (api.Method, api.Plan)
}


class ConfigError(Exception):
    """A key that is missing or wrong; the text is one line that names it."""


class Section:
    """One JSON object under its path, read key by key. What is right is taken at once: the words of an error are put
    together where there is one."""

    __slots__ = ("value", "path")

    def __init__(self, value, path=""):
        self.value, self.path = value, path
        if not isinstance(value, dict):
            raise ConfigError(
                f"{path or 'configuration'}: expected an object, found {brief(value)}"
            )

    def at(self, key):
        """The whole path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key, kinds, expected, default=REQUIRED):
        value = self.value.get(key)
        if value is None:
            if default is REQUIRED:
                raise ConfigError(f"{self.at(key)}: missing, expected {expected}")
            return default
        if not isinstance(value, kinds) or isinstance(value, bool) and bool not in kinds:
            raise ConfigError(f"{self.at(key)}: expected {expected}, found {brief(value)}")
        return value

    def text(self, key, default=REQUIRED):
        return self.get(key, (str,), "text", default)

    def flag(self, key, default=False):
        return bool(self.get(key, (bool, int), "true or false", default))

    def number(self, key, default=REQUIRED, least=0.0, above=False):
        value = self.value.get(key, default)
        kind = type(value)
        if (
            (kind is int or kind is float)
            and least <= value <= sys.float_info.max
            and not (above and value == least)
        ):
            return value
        if value is default and default is not REQUIRED:
            return default
        expected = f"a number {'above' if above else 'from'} {least:g}"
        if key in self.value and value is None:
            raise ConfigError(f"{self.at(key)}: expected {expected}, found null")
        value = self.get(key, (int, float), expected)
        raise ConfigError(f"{self.at(key)}: expected {expected}, found {str(value)[:40]}")

    def whole(self, key, default=REQUIRED, least=0):
        value = self.number(key, default, least)
        if value is not default and value != int(value):
            raise ConfigError(f"{self.at(key)}: expected a whole number, found {value}")
        return int(value)

    def seconds(self, key, default=0):
        return self.number(key, default) / 1e6

    def section(self, key, default=REQUIRED):
        value = self.get(key, (dict,), "an object", default)
        return Section(value, self.at(key))

    def sections(self, key, default=REQUIRED):
        """The objects of a list, each looked at when it is taken."""
        path = self.at(key)
        rows = self.get(key, (list,), "a list of objects", default)
        return (Section(row, f"{path}[{at}]") for at, row in enumerate(rows))

    def address(self, key):
        text = self.text(key)
        host, _, port = text.rpartition(":")
        return (host, int(port)) if host and is_port(port) else address(text, self.at(key))


def brief(value):
    text = json.dumps(value, default=str)
    return text if len(text) <= 40 else text[:37] + "..."


def is_port(text):
    return text.isascii() and text.isdigit() and int(text) < 65536


def address(text, key):
    """HOST:PORT as a pair."""
    host, _, port = text.rpartition(":")
    if not host or not is_port(port):
        raise ConfigError(f"{key}: expected HOST:PORT, found {brief(text)}")
    return host, int(port)


@dataclass(frozen=True)
class Settings:
    """The settings object: the module's own part of it ready to hand over, and what the network needs."""

    methods: dict
    plans: dict
    uses_counter: bool
    must_watch: bool
    gateway: dict
    report_fields: list
    counter_timeout: float
    dial_timeout: float
    conn_idle: float
    streams: int
    most_units: float
    gateways: int


def settings(told):
    """The settings object, checked; the simulator's wire and the configuration file give the same one."""
    family, limits = told.section("familyInfo", {}), told.section("limits", {})
    rules, report = told.section("obligations", {}), told.section("report", {})
    attempts = limits.whole("maxAttempts", 1, 1)
    methods = [method(row, attempts) for row in told.sections("classes")]
    plans = [plan(row) for row in told.sections("contracts")]
    each_once(methods, "settings.classes")
    each_once(plans, "settings.contracts")
    may_count, counter_timeout = family.flag("mayCount"), family.seconds("counterTimeout")
    return Settings(
        methods={row.name: row for row in methods},
        plans={row.name: row for row in plans},
        report_fields=report.get("fields", (list,), "a list of names", []),
        uses_counter=may_count,
        must_watch=told.text("discovery", "push") == "ask",
        counter_timeout=counter_timeout,
        dial_timeout=limits.seconds("dialTimeout", 1_000_000),
        conn_idle=limits.seconds("connIdle", 30_000_000),
        streams=limits.whole("streamsPerConn", 1, 1),
        most_units=family.number("maxUnits", 1e9),
        gateways=told.whole("replicasOfMe", 1_000_000, 1),
        gateway=dict(
            zone=told.text("locality", ""),
            counter_timeout=counter_timeout,
            may_cancel=limits.flag("mayCancel"),
            max_retry_after=limits.seconds("maxRetryAfter") if limits.flag("retryAfter") else 0.0,
            slow_start=rules.seconds("cold"),
            slow_start_minimum=rules.number("coldFrom", 1.0),
            cross_zone_price=told.section("prices", {}).number("crossZone", 0.0),
            method_identities={row.identity for row in methods},
        ),
    )


def each_once(rows, path):
    """Raise a ConfigError where two rows have one name."""
    seen = set()
    for row in rows:
        if row.name in seen:
            raise ConfigError(f"{path}: expected each name once, found {brief(row.name)} twice")
        seen.add(row.name)


def renewed(before, now):
    """The settings that follow others: what has not changed keeps its object, and a method that has its root. Raises
    ConfigError where something differs that holds from a start to an end."""
    for key, one, other in (
        ("familyInfo.mayCount", before.uses_counter, now.uses_counter),
        ("discovery", before.must_watch, now.must_watch),
    ):
        if one != other:
            raise ConfigError(f"settings.{key}: expected what it was at the start, found another")
    methods = {name: kept(before.methods.get(name), row) for name, row in now.methods.items()}
    return replace(
        now,
        methods=methods,
        plans={name: kept(before.plans.get(name), row) for name, row in now.plans.items()},
        gateway=now.gateway | {"method_identities": {row.identity for row in methods.values()}},
    )


def kept(old, row):
    """The object of that name from before where it says the same, else this one; a method has the root of the one before."""
    if old is None:
        return row
    said = SAID[type(row)]
    if said(old) == said(row):
        return old
    return replace(row, identity=old.identity) if isinstance(row, api.Method) else row


def method(row, max_attempts):
    effect = row.text("effect")
    if effect not in EFFECTS:
        raise ConfigError(
            f"{row.path}.effect: expected one of {', '.join(EFFECTS)}, found {brief(effect)}"
        )
    return api.Method(
        name=row.text("name"),
        effect=EFFECTS[effect],
        latency_objective=row.seconds("goalTime", REQUIRED),
        deadline=row.number("giveUp", above=True) / 1e6,
        key_scope=row.text("keyScope", ""),
        key_window=row.seconds("window"),
        priority_weight=row.number("worth", 0.0),
        late_priority_weight=row.number("lateWorth", 0.0),
        is_streaming=row.flag("streamed"),
        max_attempts=max_attempts,
    )


def plan(row):
    return api.Plan(
        name=row.text("name"),
        rate=row.number("quotaRate", 0.0),
        burst=row.number("storeSize", 0.0),
        hard_limit_rate=row.number("ceilingRate", 0.0),
        hard_limit_burst=row.number("ceilingBurst", 0.0),
        hard_limit_slack=row.number("ceilingSlack", 0.0),
        max_in_flight=row.whole("maxOut", 0),
        price=row.number("pays", 0.0),
        over_quota_weight=row.number("extraWorth", 0.0),
        over_quota_cost=row.number("overrunCost", 0.0),
    )


class Entry(NamedTuple):
    """One host as a host list tells of it."""

    name: str
    address: tuple
    zone: str
    kind: str
    pod: int
    state: str
    share: float
    up_since: float


class HostList(NamedTuple):
    """A host list or changes to one, in discovery's form."""

    index: int
    full: bool
    entries: list


def host_list(told):
    """A host list, checked: as the configuration holds the last one."""
    return HostList(told.whole("index"), told.flag("snapshot"), list(host_entries(told)))


def host_entries(told):
    """The rows of a host list, each checked when it is taken."""
    return map(host_entry, told.sections("endpoints"))


def host_entry(row):
    return Entry(
        row.text("name"),
        row.address("address"),
        row.text("zone", ""),
        row.text("type", ""),
        row.whole("group", 0),
        STATES.get(row.text("status"), api.DRAINING),
        row.number("weight", 1.0),
        row.number("since_ms", 0) / 1e3,
    )


def lacks(before, told, path=""):
    """Raise a ConfigError where an object lacks what the one before it had: a file that was cut short and closed again
    would read as one that leaves things at their defaults. What a list holds may come and go."""
    for key, value in before.items():
        here = f"{path}.{key}".lstrip(".")
        if value is not None and told.get(key) is None:
            raise ConfigError(f"{here}: missing, expected it as in the file in force")
        if isinstance(value, dict) and isinstance(told[key], dict):
            lacks(value, told[key], here)


@dataclass(frozen=True)
class Agreement:
    """What a gateway needs to take part in agreement on settings: the key that all share, a folder that outlives it, and
    where each gateway's management listens (one address, or several where processes follow each other)."""

    key: bytes
    state: str
    members: dict  # name -> addresses


def agreement(told, name, management):
    """The section `agreement` of a gateway's file, checked; None where there is none."""
    if told.value.get("agreement") is None:
        return None
    section = told.section("agreement")
    if not management:
        raise ConfigError("management: missing, expected HOST:PORT, as agreement needs it")
    members = roster(section.section("members"))
    if name not in members:
        raise ConfigError(
            f"agreement.members: expected {name} among them, found {brief(sorted(members))}"
        )
    state = section.text("state")
    if not os.path.isdir(state):
        raise ConfigError(f"agreement.state: expected a folder, found {brief(state)}")
    return Agreement(key_file(section.text("key_file"), "agreement.key_file"), state, members)


def roster(section):
    """Gateways by name, each with one address or several; no address twice."""
    members, owners = {}, {}
    for name, value in section.value.items():
        path = f"{section.path}.{name}"
        texts = value if isinstance(value, list) else [value]
        if not texts or not all(isinstance(text, str) for text in texts):
            raise ConfigError(
                f"{path}: expected HOST:PORT or a list of these, found {brief(value)}"
            )
        members[name] = [address(text, path) for text in texts]
        for one in members[name]:
            if one in owners:
                raise ConfigError(
                    f"{path}: expected an address of its own, found that of {owners[one]}"
                )
            owners[one] = name
    if not members:
        raise ConfigError(f"{section.path}: expected at least one gateway, found none")
    return members


def key_file(path, key):
    """The shared key that a file holds, without white space around it."""
    try:
        with open(path, "rb") as file:
            found = file.read(4096).strip()
    except OSError as error:
        raise ConfigError(f"{key}: expected a readable file at {path}: {error.strerror}") from None
    if len(found) < 16:
        raise ConfigError(f"{key}: expected at least 16 bytes in {path}, found {len(found)}")
    return found


@dataclass(frozen=True)
class Control:
    """What a control process is told: its name, where staff call, its journal, the key and the roster."""

    name: str
    listen: tuple
    journal: str
    key: bytes
    members: dict


def control(path):
    """A control process's configuration from a TOML file; paths in it are taken from its folder. Raises ConfigError."""
    import tomllib  # 4 ms that a gateway's start does without

    try:
        with open(path, "rb") as file:
            told = Section(tomllib.load(file))
    except OSError as error:
        raise ConfigError(f"{path}: expected a readable file: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: expected TOML: {error}") from None
    folder, name = os.path.dirname(os.path.abspath(path)), told.text("name")
    if not 0 < len(name) <= 64:
        raise ConfigError(f"name: expected 1 to 64 characters, found {brief(name)}")
    if unknown := sorted(told.value.keys() - {"name", "listen", "journal", "key_file", "gateways"}):
        raise ConfigError(f"{unknown[0]}: expected no such key")
    return Control(
        name,
        told.address("listen"),
        os.path.join(folder, told.text("journal")),
        key_file(os.path.join(folder, told.text("key_file")), "key_file"),
        roster(told.section("gateways")),
    )


def settled(before, told):
    """The configuration in force with other settings, checked as at a reload. Raises ConfigError."""
    return replace(before, settings=renewed(before.settings, settings(Section(told, "settings"))))


@dataclass(frozen=True)
class Config:
    """All that a gateway is told at its start."""

    name: str
    listen: tuple
    listen_fd: int | None
    management: tuple | None
    discovery: tuple
    counter: tuple | None
    seed: int
    memory_mb: float
    sockets: int
    known: HostList
    settings: Settings
    agreement: Agreement | None
    by_host: bool  # whether figures tell call-outs by host
    raw: dict  # as it was read, but for the host list


def listening(text):
    """The descriptor of a listening TCP socket, from PROXY_LISTEN_FD; None where it is not set."""
    if not text:
        return None
    expected = "PROXY_LISTEN_FD: expected the descriptor of a listening TCP socket, found"
    if not (text.isascii() and text.isdigit() and len(text) < 8):
        raise ConfigError(f"{expected} {brief(text)}")
    try:
        sock = socket.socket(fileno=os.dup(int(text)))
    except OSError as error:
        raise ConfigError(f"{expected} {text}: {error.strerror}") from None
    with sock:
        if (
            sock.family != socket.AF_INET
            or sock.type != socket.SOCK_STREAM
            or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        ):
            raise ConfigError(f"{expected} {text}, which is none")
    return int(text)


def load(environ, before=None):
    """The configuration that the PROXY_* variables name. Where one is in force already, the file goes before the
    variables: they are those of the start, and only the file can have changed."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: missing, expected the path of a JSON file")
    return read(json_file(path, "PROXY_CONFIG"), environ, before)


def json_file(path, key):
    """What a JSON file holds; raises ConfigError, which names the key that named the file."""
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as error:
        raise ConfigError(f"{key}: expected a readable file at {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{key}: expected JSON in {path}: {error}") from None


def settings_file(path):
    """The settings of a file for staff: a settings object, or a gateway's whole configuration. Raises ConfigError."""
    told = Section(json_file(path, "settings"), path)
    return told.section("settings").value if "settings" in told.value else told.value


def read(told, environ=None, before=None):
    """The configuration from its JSON; at a start, a PROXY_* variable goes before the key that says the same. Raises
    ConfigError where it will not do, or can't follow the one `before`."""
    told = Section(told)
    for key in ("name", "listen", "discovery", "management"):
        variable = "PROXY_" + key.upper()
        if environ and environ.get(variable) and not (before and told.value.get(key) is not None):
            told.value = {**told.value, key: environ[variable]}
            if key != "name":
                address(environ[variable], variable)
    raw = {key: value for key, value in told.value.items() if key != "known"}
    if before:
        lacks(before.raw, raw)
    seed, limits, set_up = (
        told.text("seed"),
        told.section("limits", {}),
        settings(told.section("settings")),
    )
    set_up = renewed(before.settings, set_up) if before else set_up
    try:
        seed = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, found {brief(seed)}") from None
    name, management = told.text("name"), None
    if told.value.get("management") is not None:
        management = told.address("management")
    return Config(
        name=name,
        listen=told.address("listen"),
        discovery=told.address("discovery"),
        listen_fd=listening((environ or {}).get("PROXY_LISTEN_FD")),
        management=management,
        agreement=agreement(told, name, management),
        by_host=told.section("figures", {}).flag("hosts"),
        counter=told.address("counter") if set_up.uses_counter else None,
        seed=seed,
        memory_mb=limits.number("memory_mb", 192),
        sockets=limits.whole("sockets", 1024, 64),
        known=host_list(told.section("known", {"index": 0, "snapshot": True, "endpoints": []})),
        settings=set_up,
        raw=raw,
    )
