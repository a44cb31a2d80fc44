"""Simulated runs of `endpoint_list_delay.py`: four endpoints drain while discovery is away."""

import json
from typing import Any, NamedTuple

from petrellane.invariants import EndpointNotified
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario import Scenario
from petrellane.simulation.scenario_files import parse_scenario

OUTAGE_AT_S = 10.0
OUTAGE_S = 8.0
FIRST_DRAIN_AT_S = 14.0  # the others follow a second apart
DRAINING_HOSTS = 4
LAST_COUNTED_S = 38  # of the calls by second
LENGTH_S = 45.0
REJECTED = "turned away"  # no outage, but all watches end at once
FAULTS = ("refused", "silent", REJECTED)


class ModelResult(NamedTuple):
    """What one run showed.

    Attributes:
        delays: Seconds from the return of discovery, or from the change if that is later, until a
            gateway is notified of a drain; None where it never is.
        calls: Calls of discovery by second from its return on.
        rejected: Calls that it rejected, likewise.
        broken: The rules that were broken.
    """

    delays: list[float | None]
    calls: list[int]
    rejected: list[int]
    broken: list[str]


def build_scenario(seed: int, gateways: int, fault: str, rate: float) -> Scenario:
    """Return the scenario; discovery serves `rate` calls a second all along."""
    rows: list[dict[str, Any]] = [
        {
            "kind": "world",
            "model": 1,
            "seed": seed,
            "length": LENGTH_S,
            "gateways": gateways,
            "hosts": 40,
            "cores": 4.0,
        },
        {"kind": "plan", "name": "free", "rate": 1000.0, "store": 2000.0},
        {"kind": "method", "name": "look", "effect": "idempotent", "work": 0.01},
        {"kind": "customer", "name": "ann", "plan": "free", "rate": 40.0, "spread": gateways},
        {
            "kind": "fault",
            "what": "discovery turned away",
            "at": OUTAGE_AT_S,
            "length": LENGTH_S - OUTAGE_AT_S,
            "size": rate,
        },
    ]
    if fault != REJECTED:
        outage = {"what": f"discovery {fault}", "at": OUTAGE_AT_S, "length": OUTAGE_S}
        rows.append({"kind": "fault", **outage})
    for host in range(DRAINING_HOSTS):
        drain = {"what": "host drains", "at": FIRST_DRAIN_AT_S + host, "length": 25.0, "whom": host}
        rows.append({"kind": "fault", **drain})
    return parse_scenario("\n".join(json.dumps(row) for row in rows))


def play_outage(seed: int, gateways: int, fault: str, rate: float) -> ModelResult:
    """Play one run."""
    fleet = FleetSimulation(build_scenario(seed, gateways, fault, rate), keep_records=True)
    run = fleet.play()
    returned_at = OUTAGE_AT_S if fault == REJECTED else OUTAGE_AT_S + OUTAGE_S
    notified_at: dict[tuple[object, object], float] = {}
    for record in run.records or []:
        if isinstance(record, EndpointNotified) and record.state == "draining":
            notified_at.setdefault((record.gateway, record.host), record.at)
    delays: list[float | None] = []
    for gateway in fleet.gateways:
        for host in range(DRAINING_HOSTS):
            at = notified_at.get((gateway.name, f"h{host}"))
            due_at = max(returned_at, FIRST_DRAIN_AT_S + host)
            delays.append(None if at is None else at - due_at)
    seconds = range(int(returned_at), LAST_COUNTED_S)
    calls = [fleet.discovery.polls[second] for second in seconds]
    rejected = [fleet.discovery.rejected_polls[second] for second in seconds]
    return ModelResult(delays, calls, rejected, run.broken)
