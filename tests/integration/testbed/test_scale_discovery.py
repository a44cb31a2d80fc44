"""The test double of discovery before thousands of gateways."""

from typing import Any, NamedTuple

import orjson
import pytest

from petrellane.net.scheduler import Scheduler
from petrellane.testbed.scale_discovery import ScaleDiscovery

ALL_HOSTS = ["h0", "h1", "h2", "h3"]


class ListUpdate(NamedTuple):
    """What discovery answers: its index, whether the list is complete, and names of hosts."""

    list_index: int
    is_complete: bool
    names: list[str]


@pytest.fixture
def discovery() -> ScaleDiscovery:
    """Discovery with four hosts, and thus at index 4."""
    rows = [{"name": name, "address": "10.0.0.1:1", "status": "in_service"} for name in ALL_HOSTS]
    return ScaleDiscovery(Scheduler(), rows, 0.0)


def body_of(response: bytes) -> dict[str, Any]:
    """Return the body of a response."""
    body: dict[str, Any] = orjson.loads(response.partition(b"\r\n\r\n")[2])
    return body


def update_since(discovery: ScaleDiscovery, index: int | None) -> ListUpdate:
    """Return what discovery answers to a gateway that knows an index."""
    body = body_of(discovery.response(index))
    names = [row["name"] for row in body["endpoints"]]
    return ListUpdate(body["index"], body["snapshot"], names)


def test_a_gateway_gets_what_is_newer_once(discovery: ScaleDiscovery) -> None:
    assert update_since(discovery, None) == ListUpdate(4, True, ALL_HOSTS)
    assert update_since(discovery, 4) == ListUpdate(4, False, [])
    discovery.change("h2", "terminating")
    discovery.change("h0", "terminating")
    discovery.change("h2", "in_service")
    assert update_since(discovery, 4) == ListUpdate(7, False, ["h2", "h0"])
    assert update_since(discovery, 6) == ListUpdate(7, False, ["h2"])
    assert body_of(discovery.response(4))["endpoints"][0]["status"] == "in_service"
    assert discovery.response(4) is discovery.response(4)


@pytest.mark.parametrize("index", [3, 5, -1])
def test_a_gateway_too_far_behind_or_ahead_gets_the_complete_list(
    discovery: ScaleDiscovery, index: int
) -> None:
    assert update_since(discovery, index) == ListUpdate(4, True, ALL_HOSTS)
