"""Simulated runs of `load_balancing_comparison.py`: policies side by side, and hard cases."""

from typing import Any, NamedTuple

from petrellane.decisions.controller import AdmissionController
from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import compute_figures
from petrellane.simulation.baselines import BASELINES
from petrellane.simulation.fleet import FleetSimulation, Run
from petrellane.simulation.scenario import Fault, Scenario
from petrellane.simulation.sparse_traffic import measure_service, sparse_scenario

WARM_UP_S = 5.0  # of a run that is left out
SPAN_S = 5.0  # of the windows whose evenness is shown
MODULE = "module"
POLICIES = (MODULE, *BASELINES)
FAULT_AT_S = 8.0
RETURN_AT_S = 10.0
CASE_LENGTH_S = 20.0
CASE_SEED = 1
FIRST_HOST = "h0"  # that faults of one endpoint hit

HARD_CASES: dict[str, tuple[Fault, ...]] = {
    "no fault": (),
    "all gateways restart at once": (Fault("gateways killed", FAULT_AT_S, 0.3, 0, 1.0),),
    "one host back, cold": (Fault("host killed", FAULT_AT_S, RETURN_AT_S - FAULT_AT_S),),
    "one ten times as slow": (Fault("host slow", FAULT_AT_S, 6.0, 0, 10.0),),
    "one fails all": (Fault("host fails", FAULT_AT_S, 6.0, 0, 1.0),),
    "one hangs": (Fault("host hangs", FAULT_AT_S, 5.0),),
    "a third drains": (Fault("hosts drain", FAULT_AT_S, 3.0, 0, 0.33),),
    "a third drains, list late": (
        Fault("list late", 6.0, 6.0, 0, 3.0),
        Fault("hosts drain", FAULT_AT_S, 3.0, 0, 0.33),
    ),
}

Row = dict[str, Any]  # one run in the JSON line


class ModelRun(NamedTuple):
    """What one run of the model is made of; `objective` is in mean works."""

    policy: str
    gateways: int
    hosts: int
    load: float
    objective: float
    rate: float
    seed: int
    length: float


class CaseRun(NamedTuple):
    """What one run of a hard case is made of; `objective` is in mean works."""

    case: str
    policy: str
    gateways: int
    hosts: int
    load: float
    objective: float
    rate: float


def simulate(scenario: Scenario, policy: str) -> Run:
    """Play a scenario with a policy, and keep its records."""
    controller = BASELINES.get(policy, AdmissionController)
    return FleetSimulation(scenario, controller, keep_records=True).play()


def play_model(options: ModelRun) -> Row:
    """Return the figures of one run of the model."""
    scenario = sparse_scenario(
        options.gateways,
        options.hosts,
        options.load,
        options.seed,
        options.rate,
        options.length,
        options.objective,
    )
    run = simulate(scenario, options.policy)
    service = measure_service(run, WARM_UP_S)
    work = scenario.methods[0].work
    evenness = compute_figures(
        sources.trace_from_records(run.records or [], WARM_UP_S, options.length)
    )
    span = next(span for span in evenness.spans if span.seconds == SPAN_S)
    return {
        "who": options.policy,
        "load": options.load,
        "seed": options.seed,
        "pushed": service.rejected,
        "late": service.late,
        "ok": service.ok,
        "p50": service.p50 / work,
        "p99": service.p99 / work,
        "excess": span.excess,
        "peak": span.peak,
        "trough": span.trough,
        "herd": evenness.herd,
        "herd_by_chance": evenness.herd_by_chance,
        "idle": len(evenness.idle),
        "broken": run.broken,
    }


def shares_after_return(run: Run, options: CaseRun) -> list[float]:
    """Return the attempts that the first endpoint gets by second, over its fair part."""
    trace = sources.trace_from_records(run.records or [], RETURN_AT_S, CASE_LENGTH_S)
    seconds = [int(at) for at, _, host, _ in trace.sent if host == FIRST_HOST]
    return [
        round(seconds.count(second) * options.hosts / options.rate, 2)
        for second in range(int(RETURN_AT_S), int(CASE_LENGTH_S))
    ]


def play_case(options: CaseRun) -> Row:
    """Return the figures of one hard case, from its fault on."""
    scenario = sparse_scenario(
        options.gateways,
        options.hosts,
        options.load,
        CASE_SEED,
        options.rate,
        CASE_LENGTH_S,
        options.objective,
        faults=HARD_CASES[options.case],
    )
    run = simulate(scenario, options.policy)
    service = measure_service(run, WARM_UP_S)
    evenness = compute_figures(
        sources.trace_from_records(run.records or [], FAULT_AT_S, CASE_LENGTH_S)
    )
    return {
        "case": options.case,
        "who": options.policy,
        "rpcs": service.rpcs,
        "ok": service.ok,
        "pushed": service.rejected,
        "late": service.late,
        "p50": service.p50,
        "p99": service.p99 / scenario.methods[0].work,
        "call_outs": service.attempts,
        "excess": [span.excess for span in evenness.spans],
        "idle": len(evenness.idle),
        "herd": evenness.herd,
        "herd_by_chance": evenness.herd_by_chance,
        "period": evenness.period,
        "broken": run.broken,
        "back": shares_after_return(run, options) if "back" in options.case else [],
    }
