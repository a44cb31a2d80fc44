"""Many gateways with little traffic each: the real controller compared with baselines."""

import itertools
from typing import NamedTuple

import pytest

from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import find_idle_periods, measure_span
from petrellane.load_distribution.trace import LoadTrace
from petrellane.simulation.baselines import BASELINES
from petrellane.simulation.fleet import FleetSimulation, Run
from petrellane.simulation.scenario import Fault
from petrellane.simulation.sparse_traffic import ServiceMeasure, measure_service, sparse_scenario
from petrellane.simulation.subsetting_baselines import ring_position

ENDPOINT_COUNT = 20
RATE = 300.0  # total rate of all gateways, in RPCs per second


class BaselineRun(NamedTuple):
    """A run with its service measure and trace, which exclude the first two seconds."""

    service: ServiceMeasure
    trace: LoadTrace
    run: Run


def play_baseline(name: str, gateways: int = 40, load: float = 0.8) -> BaselineRun:
    """Simulate eight seconds with a baseline in place of the real controller."""
    scenario = sparse_scenario(gateways, ENDPOINT_COUNT, load, rate=RATE, length=8.0)
    run = FleetSimulation(scenario, BASELINES[name], keep_records=True).play()
    trace = sources.trace_from_records(run.records, 2.0, 8.0)
    return BaselineRun(measure_service(run, 2.0), trace, run)


@pytest.mark.parametrize("name", BASELINES)
def test_baselines_serve_and_break_no_rule(name: str) -> None:
    played = play_baseline(name, load=0.5)
    assert played.run.broken == []
    assert played.service.ok > 0.97


def test_latency_is_lowest_where_all_queues_are_known() -> None:
    names = ("uniform", "two choices", "sees all")
    p99 = {name: play_baseline(name).service.p99 for name in names}
    assert p99["sees all"] < 0.75 * p99["two choices"]
    assert p99["two choices"] < p99["uniform"]


def test_round_robin_of_few_gateways_with_much_traffic_is_even() -> None:
    assert measure_span(play_baseline("round robin", gateways=2).trace, 5.0).peak < 1.08


@pytest.mark.parametrize("number", [7, 64, 100])
def test_a_ring_is_even_for_any_number(number: int) -> None:
    positions = sorted(map(ring_position, range(number)))
    gaps = [after - before for before, after in itertools.pairwise(positions)]
    assert max(gaps) < 2.01 * min(gaps)


# The real controller under faults.


def play_fault(fault: Fault, length: float) -> Run:
    """Simulate 40 gateways with a fault, at half of the endpoints' capacity."""
    scenario = sparse_scenario(40, ENDPOINT_COUNT, 0.5, rate=RATE, length=length, faults=(fault,))
    return FleetSimulation(scenario, keep_records=True).play()


@pytest.mark.parametrize(
    ("fault", "may_be_idle"),
    [
        (Fault("gateways killed", 4.0, 0.3, 0, 1.0), set()),
        (Fault("host slow", 4.0, 4.0, 0, 10.0), {"h0"}),
        (Fault("hosts drain", 4.0, 2.0, 0, 0.33), {"h0"}),
        (Fault("host hangs", 4.0, 3.0), {"h0"}),
    ],
    ids=["gateways-killed", "host-slow", "hosts-drain", "host-hangs"],
)
def test_a_fault_leaves_no_other_host_idle_and_breaks_no_rule(
    fault: Fault, may_be_idle: set[str]
) -> None:
    run = play_fault(fault, length=10.0)
    assert run.broken == []
    trace = sources.trace_from_records(run.records, 2.0, 10.0)
    idle = {period.host for period in find_idle_periods(trace)}
    assert idle <= may_be_idle
    assert measure_span(trace, 5.0).excess < 1.45


def test_a_host_that_is_back_gets_no_more_than_its_share() -> None:
    run = play_fault(Fault("host killed", 3.0, 2.0), length=12.0)
    assert run.broken == []
    trace = sources.trace_from_records(run.records, 5.0, 12.0)
    times = [sent.at for sent in trace.sent if sent.host == "h0"]
    share = RATE / ENDPOINT_COUNT  # attempts per second
    for since in (5.0, 7.0, 9.0):
        assert sum(since <= time < since + 2 for time in times) < 1.5 * 2 * share
    assert len(times) > 0.3 * 7 * share
