"""What a gateway that starts waits for, and what it imports."""

import os
import subprocess
import sys
import time

import pytest

from petrellane import invariants
from petrellane.testbed.clients import Customer, Method
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings
from tests.integration.testbed.fleets import check_run, plant_fault
from tests.integration.testbed.management_calls import response_status

METHOD = "look"
SERVED = (METHOD, invariants.OK)
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\n\r\n"
IMPORTED_PACKAGES = {"config", "decisions", "gateway", "net", "operation"}
COSTLY_MODULES = {"typer", "click", "rich", "msgspec", "tomllib", "hashlib"}


def make_fleet() -> LoopbackFleet:
    """Make a fleet of two gateways whose counter answers nobody; it is not started."""
    fleet = LoopbackFleet(
        FleetSpec(
            gateways=2,
            hosts=2,
            relays=(),
            rate=50.0,
            settings=build_settings(SettingsSpec(2, quota=200.0)),
            methods=[Method(METHOD)],
            customers=[Customer(1, "sold", gateway_count=2)],
        )
    )
    fleet.counter.unresponsive = True
    return fleet


def refuse_discovery(fleet: LoopbackFleet) -> None:
    """Have discovery refuse the connections of all gateways."""
    for gateway in fleet.gateways:
        fleet.discovery.listeners[gateway.name].crash()


def is_ready(fleet: LoopbackFleet) -> bool:
    """Return whether all gateways serve."""
    return all(gateway.ready for gateway in fleet.gateways)


@pytest.mark.parametrize("discovery", ["refuses", "is-silent"])
def test_a_start_waits_for_nobody(discovery: str) -> None:
    with make_fleet() as fleet:
        if discovery == "refuses":
            refuse_discovery(fleet)
        else:
            fleet.discovery.unresponsive = True
        limit = time.monotonic() + 10.0
        fleet.start(ready=False)
        fleet.run_until(lambda: is_ready(fleet), "all are ready", limit - time.monotonic())
        fleet.clients.start()
        fleet.run_until(
            lambda: fleet.records.counts.get(SERVED), "one is served", limit - time.monotonic()
        )
        for gateway in fleet.gateways:
            assert response_status(fleet, gateway.management_port, READY_REQUEST) == 200
        check_run(fleet)
        answers = {answer for _, answer in fleet.records.counts}
        assert answers <= {invariants.OK, invariants.REJECTED}


def test_a_gateway_that_waits_for_discovery_is_not_ready() -> None:
    with make_fleet() as fleet:
        refuse_discovery(fleet)
        for gateway in fleet.gateways:
            plant_fault(gateway, "waits_for_discovery")
        limit = time.monotonic() + 2.5
        fleet.start(ready=False)
        while time.monotonic() < limit and not is_ready(fleet):
            fleet.run_turn()
        assert not is_ready(fleet)


def test_a_start_imports_what_serves_alone() -> None:
    """The library of the command line took a third of a start's CPU time.

    A fleet that starts at once shares few cores.
    """
    process = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "petrellane", "serve"],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
        env={**os.environ, "PROXY_CONFIG": ""},
    )
    *rows, last = process.stderr.splitlines()
    assert process.returncode == 2
    assert last == "petrellane: PROXY_CONFIG: missing, expected the path of a JSON file"
    modules = {row.rpartition("|")[2].strip() for row in rows}
    assert "petrellane.gateway.process" in modules
    packages = {name.split(".")[1] for name in modules if name.startswith("petrellane.")}
    assert packages <= IMPORTED_PACKAGES
    assert not {name.partition(".")[0] for name in modules} & COSTLY_MODULES
