"""Rows of the endpoint list, as discovery and configurations write them."""

from typing import Any

IN_SERVICE = "in_service"  # the status of an endpoint that takes RPCs

EndpointRow = dict[str, Any]  # as JSON has it


def build_endpoint_row(
    name: str, address: str, status: str = IN_SERVICE, started_at: float = 0.0
) -> EndpointRow:
    """Return the row of an endpoint; all of them are of one zone and one pod.

    Args:
        name: The endpoint's name.
        address: Its address as host:port.
        status: Its status, in the words of the wire.
        started_at: The Unix time of its start; 0 for long ago.
    """
    return {
        "name": name,
        "address": address,
        "zone": "z",
        "type": "k",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": int(started_at * 1e3),
    }
