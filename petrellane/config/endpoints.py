"""The endpoint list in discovery's form, checked.

Discovery's answers and the configuration file carry the same form. What becomes of the endpoints
is left to the gateway and the decisions.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from petrellane.config.section import Address, Section
from petrellane.decisions.types import DRAINING, GONE, READY, EndpointState

STATES = {
    "in_service": READY,
    "terminating": DRAINING,
    "terminated": GONE,
}
"""The state of an endpoint, by discovery's words; any other word counts as draining."""

_MILLISECONDS = 1e3


class EndpointEntry(NamedTuple):
    """One endpoint as an endpoint list describes it; `started_at` is Unix seconds, 0 is long ago.

    From `zone` on, the fields are those of the decisions' `EndpointEvent`, in its order.
    """

    name: str
    address: Address
    zone: str
    kind: str
    pod: int
    state: EndpointState
    weight: float
    started_at: float


@dataclass(eq=False, slots=True)
class EndpointListUpdate:
    """An endpoint list, or changes to one.

    Attributes:
        index: Discovery's version of the list.
        full: Whether the list is complete; else the entries are those that changed.
        entries: The endpoints.
    """

    index: int
    full: bool
    entries: list[EndpointEntry]


def parse_endpoint_list(section: Section) -> EndpointListUpdate:
    """Check an endpoint list at once, as the configuration holds the last one.

    Raises:
        ConfigError: Something is missing or wrong.
    """
    return EndpointListUpdate(
        section.integer("index"),
        section.flag("snapshot"),
        list(iter_endpoint_entries(section)),
    )


def iter_endpoint_entries(section: Section) -> Iterator[EndpointEntry]:
    """The entries of an endpoint list, each checked when it is taken."""
    return map(parse_endpoint_entry, section.sections("endpoints"))


def parse_endpoint_entry(row: Section) -> EndpointEntry:
    """Check one entry of an endpoint list.

    Raises:
        ConfigError: Something is missing or wrong.
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
