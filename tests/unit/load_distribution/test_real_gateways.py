"""Figures of real gateways on loopback sockets: logs, hosts and records agree."""

from petrellane import invariants
from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import compute_figures
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec

SPEC = FleetSpec(gateways=12, hosts=8, rate=240.0, work=0.01, relays=())
LOAD_S = 6.0
LAST_LINE_S = 1.5  # a gateway logs once per second, so the last second may be missing


def all_endpoints_known(fleet: LoopbackFleet) -> bool:
    """Return whether each gateway has been notified of each endpoint."""
    notified = {
        (record.gateway, record.host)
        for record in fleet.records.history
        if isinstance(record, invariants.EndpointNotified)
    }
    return len(notified) == SPEC.gateways * SPEC.hosts


def test_figures_of_real_gateways_by_log_and_by_record() -> None:
    with LoopbackFleet(SPEC) as fleet:
        fleet.start()
        fleet.clients.start()
        fleet.run_until(lambda: all_endpoints_known(fleet), "all gateways know all endpoints")
        began = fleet.records.now()
        fleet.run_for(LOAD_S)
        fleet.finish_load()
        fleet.run_for(LAST_LINE_S)
        verdict = fleet.verdict()
        records = fleet.records.history
        recorded = sum(isinstance(record, invariants.AttemptSent) for record in records)
        logged = sum(
            sum(event["to"].values())
            for gateway in fleet.gateways
            for event in gateway.events
            if event["event"] == "figures"
        )
        trace = sources.trace_from_records(records, began, began + LOAD_S)
    assert (verdict.counts, fleet.crashes) == ({}, [])
    assert logged == recorded
    # A host does not execute the attempts that it rejects.
    assert abs(logged - sum(host.ran for host in fleet.hosts)) <= 60
    figures = compute_figures(trace)
    assert (figures.gateways, figures.hosts, figures.idle) == (12, 8, ())
    assert figures.spans[1].excess < 1.4
