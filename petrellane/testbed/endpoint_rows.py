"""Rows of the endpoint list, in the format of discovery responses and configuration files."""

from typing import Any

IN_SERVICE = "in_service"  # the status of an endpoint that accepts RPCs

EndpointRow = dict[str, Any]  # a decoded JSON object


def build_endpoint_row(
    name: str, address: str, status: str = IN_SERVICE, started_at: float = 0.0
) -> EndpointRow:
    """Return the row of an endpoint; all rows share one zone and one group.

    Args:
        name: The endpoint's name.
        address: The endpoint's address, as host:port.
        status: The endpoint's status, as spelled on the wire.
        started_at: The Unix time of the endpoint's start, in seconds; 0 if it is long past.
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
