"""Converts an endpoint list to events for the admission controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.types import GONE, Endpoint, EndpointEvent

if TYPE_CHECKING:
    from collections.abc import Iterator

    from petrellane.config import EndpointListUpdate
    from petrellane.gateway.runtime import Address


class EndpointUpdate(NamedTuple):
    """The update of one endpoint: its name, its address (None if it is gone), and the event."""

    name: str
    address: Address | None
    event: EndpointEvent


def endpoint_updates(
    endpoint_list: EndpointListUpdate, known: dict[str, Endpoint]
) -> Iterator[EndpointUpdate]:
    """Yield an update for each endpoint of a list.

    A complete list also yields an update to `GONE` for each known endpoint that it does not
    contain. Endpoints that are new are added to `known`.

    Args:
        endpoint_list: A complete list, or changes.
        known: The known endpoints, by name.
    """
    missing = dict(known) if endpoint_list.full else {}
    for entry in endpoint_list.entries:
        address = f"{entry.address[0]}:{entry.address[1]}"
        endpoint = known.get(entry.name)
        if endpoint is None:
            endpoint = Endpoint(address)
            known[entry.name] = endpoint
        endpoint.address = address
        missing.pop(entry.name, None)
        yield EndpointUpdate(entry.name, entry.address, EndpointEvent(endpoint, *entry[2:]))
    for name, endpoint in missing.items():
        event = EndpointEvent(
            endpoint,
            endpoint.zone,
            endpoint.kind,
            endpoint.pod,
            GONE,
            endpoint.weight,
            endpoint.started_at,
        )
        yield EndpointUpdate(name, None, event)
