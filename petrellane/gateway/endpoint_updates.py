"""Converts an endpoint list to events for the admission controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.endpoint_versions import EndpointVersions
from petrellane.decisions.types import GONE, READY, Endpoint, EndpointEvent
from petrellane.gateway.start_times import StartTimes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from petrellane.config import EndpointEntry, EndpointListUpdate
    from petrellane.gateway.runtime import Address


class EndpointUpdate(NamedTuple):
    """The update of one endpoint: its name, its address (None if it is gone), and the event."""

    name: str
    address: Address | None
    event: EndpointEvent


class KnownEndpoints(dict[str, Endpoint]):
    """The known endpoints by name; owned by the action executor.

    Attributes:
        names_by_address: The name that was last listed at each address.
        start_times: The start times of the endpoints on the gateway's clock.
        versions: The version of the endpoint list by which each endpoint is known.
    """

    def __init__(self) -> None:
        super().__init__()
        self.names_by_address: dict[str, str] = {}
        self.start_times = StartTimes()
        self.versions = EndpointVersions()

    def forget(self, name: str) -> bool:
        """Remove an endpoint that is gone; return whether it was known."""
        self.start_times.forget(name)
        endpoint = self.pop(name, None)
        if endpoint is None:
            return False
        if self.names_by_address.get(endpoint.address) == name:
            del self.names_by_address[endpoint.address]
        return True

    def replaced_by(self, address: str, name: str) -> str | None:
        """Return the name of another endpoint that is ready at the address of this one, if any."""
        before = self.names_by_address.get(address)
        if before is None or before == name or before not in self:
            return None
        endpoint = self[before]
        return before if endpoint.address == address and endpoint.state == READY else None


def endpoint_updates(
    endpoint_list: EndpointListUpdate, known: KnownEndpoints, now: float
) -> Iterator[EndpointUpdate]:
    """Yield an update for each endpoint of a list.

    A complete list also yields an update to `GONE` for each known endpoint that it does not
    contain. An endpoint that is listed at the address of another one has replaced it, also where
    the list does not tell the other's end. Endpoints that are new are added to `known`. What is
    known of an endpoint by a later list stays as it is.

    Args:
        endpoint_list: A complete list, or changes.
        known: The known endpoints, by name.
        now: The current time, in Unix seconds.
    """
    index = endpoint_list.index
    versions = known.versions
    missing = dict(known) if endpoint_list.full else {}
    for entry in endpoint_list.entries:
        missing.pop(entry.name, None)
        if versions.is_older(entry.name, index):
            continue
        address = f"{entry.address[0]}:{entry.address[1]}"
        if entry.state != GONE:
            replaced = known.replaced_by(address, entry.name)
            if replaced and versions.is_older(replaced, index):
                continue  # the later one has replaced this one
            known.names_by_address[address] = entry.name
            if replaced:
                missing.pop(replaced, None)
                versions.record(replaced, index)
                yield _gone(replaced, known[replaced])
        versions.record(entry.name, index)
        yield _listed(entry, address, endpoint_list, known, now)
    for name, endpoint in missing.items():
        if not versions.is_older(name, index):
            versions.record(name, index)
            yield _gone(name, endpoint)
    versions.on_list_applied(index, endpoint_list.since)


def _listed(
    entry: EndpointEntry,
    address: str,
    endpoint_list: EndpointListUpdate,
    known: KnownEndpoints,
    now: float,
) -> EndpointUpdate:
    """Return the update of an endpoint to its entry, and make it known."""
    endpoint = known.get(entry.name)
    if endpoint is None:
        endpoint = Endpoint(address)
        known[entry.name] = endpoint
    endpoint.address = address
    inherited_start = endpoint_list.start_times.get(entry.name)
    if inherited_start:
        known.start_times.adopt(entry.name, inherited_start)
    started_at = known.start_times.local_start(entry, now)
    return EndpointUpdate(
        entry.name, entry.address, EndpointEvent(endpoint, *entry[2:-1], started_at)
    )


def _gone(name: str, endpoint: Endpoint) -> EndpointUpdate:
    """Return the update of an endpoint that has gone."""
    event = EndpointEvent(
        endpoint,
        endpoint.zone,
        endpoint.kind,
        endpoint.pod,
        GONE,
        endpoint.weight,
        endpoint.started_at,
    )
    return EndpointUpdate(name, None, event)
