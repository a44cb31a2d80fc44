"""Parsing and validation of endpoint lists.

Discovery's responses and the configuration file use the same format. The gateway and the package
`decisions` process the parsed endpoints.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from petrellane.config.section import Address, ConfigError, JsonObject, Section
from petrellane.decisions.types import DRAINING, GONE, READY, EndpointState

STATES = {
    "in_service": READY,
    "terminating": DRAINING,
    "terminated": GONE,
}
"""The state of an endpoint by its `status` value; any other value counts as draining."""

_STATUS_BY_STATE = {state: status for status, state in STATES.items()}

_MILLISECONDS = 1e3
MAX_INDEX = 2**53
"""The upper bound of a version: beyond it, JSON numbers are not exact."""


class EndpointEntry(NamedTuple):
    """One entry of an endpoint list.

    The fields from `zone` on are those of `decisions.types.EndpointEvent`, in the same order.

    Attributes:
        name: The name of the endpoint.
        address: The address to which the gateway connects.
        zone: The zone of the endpoint; empty where the list names none.
        kind: The type of the endpoint; empty where the list names none.
        pod: The number of the endpoint's pod.
        state: The state of the endpoint.
        weight: The load-balancing weight.
        started_at: The Unix time, in seconds, at which the endpoint started; 0 where the list has
            no start time, which counts as long ago.
    """

    name: str
    address: Address
    zone: str
    kind: str
    pod: int
    state: EndpointState
    weight: float
    started_at: float


class StartTime(NamedTuple):
    """A start time as it was listed, and on the gateway's clock, in Unix seconds."""

    listed: float
    local: float


@dataclass(eq=False, slots=True)
class EndpointListUpdate:
    """A complete endpoint list, or the changes to one.

    Attributes:
        index: The version of the list, which discovery assigns.
        full: Whether the list is complete; otherwise it contains only the changed entries.
        entries: The entries of the list.
        since: The version that the changes continue from; None for a complete list.
        start_times: The start times that another process of this gateway knows, by name of the
            endpoint; empty for a list of discovery.
    """

    index: int
    full: bool
    entries: list[EndpointEntry]
    since: int | None = None
    start_times: Mapping[str, StartTime] = field(default_factory=dict)


def parse_endpoint_list(section: Section) -> EndpointListUpdate:
    """Parse a whole endpoint list in one call.

    Raises:
        ConfigError: A value is missing or invalid.
    """
    return EndpointListUpdate(
        parse_index(section),
        section.flag("snapshot"),
        list(iter_endpoint_entries(section)),
    )


def encode_endpoint_entry(entry: EndpointEntry) -> JsonObject:
    """Return the row of an entry, in the form that `parse_endpoint_entry` reads."""
    host, port = entry.address
    return {
        "name": entry.name,
        "address": f"{host}:{port}",
        "zone": entry.zone,
        "type": entry.kind,
        "group": entry.pod,
        "status": _STATUS_BY_STATE[entry.state],
        "weight": entry.weight,
        "since_ms": entry.started_at * _MILLISECONDS,
    }


def parse_index(section: Section) -> int:
    """Parse the version of a list.

    One that is far too high would make all later lists count as older.

    Raises:
        ConfigError: The value is missing or invalid.
    """
    index = section.integer("index")
    if index > MAX_INDEX:
        raise ConfigError(section.path_of("index"), f"a number up to {MAX_INDEX}", f"{index:g}")
    return index


def iter_endpoint_entries(section: Section) -> Iterator[EndpointEntry]:
    """Return an iterator over a list's entries that parses each entry when it yields it."""
    return map(parse_endpoint_entry, section.sections("endpoints"))


def parse_endpoint_entry(row: Section) -> EndpointEntry:
    """Parse one entry of an endpoint list.

    Raises:
        ConfigError: A value is missing or invalid.
    """
    return EndpointEntry(
        row.text("name"),
        row.address("address"),
        row.text("zone", ""),
        row.text("type", ""),
        row.integer("group", 0),
        STATES.get(row.text("status"), DRAINING),
        row.number("weight", 1.0),
        row.number("since_ms", 0) / _MILLISECONDS,
    )
