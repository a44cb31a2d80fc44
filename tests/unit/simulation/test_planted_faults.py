"""Tests that the search finds each planted fault, and that a shrunk scenario still shows it."""

import os
from concurrent.futures import ProcessPoolExecutor

from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario_files import format_scenario, parse_scenario
from petrellane.simulation.scenario_generation import generate_scenario
from petrellane.simulation.shrinking import shrink
from petrellane.simulation.timeline import format_timeline
from tests.unit.simulation.planted import (
    FAULTS,
    PlantedFault,
    faulty_controller,
    scenarios_needed,
)
from tests.unit.simulation.scenario_folder import read_scenario

FAULTS_TO_FIND = [fault for fault in FAULTS if not fault.missed]
RULES = {"lost", "twice", "drains", "cold", "ceilings", "forgotten"}


def test_each_rule_has_a_planted_fault() -> None:
    assert len(FAULTS_TO_FIND) >= 10
    assert {fault.rule for fault in FAULTS_TO_FIND} == RULES


def test_planted_faults_are_found() -> None:
    names = [fault.name for fault in FAULTS_TO_FIND]
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(scenarios_needed, FAULTS_TO_FIND))
    missed = [name for name, number in zip(names, results, strict=True) if number is None]
    assert missed == []


def test_a_predecessor_that_keeps_its_leases_is_found() -> None:
    fault = PlantedFault(
        name="a predecessor keeps what it has handed over",
        module="leases",
        before="self.available = 0.0\n        self.hard_limit = kept\n"
        "        self.hard_limit_filled_at = math.inf",
        after="self.hard_limit += stored['ceiling']",
    )
    scenario = read_scenario("hot-restart-then-crash")
    run = FleetSimulation(scenario, faulty_controller(fault)).play()
    assert run.broken == ["ceilings"]


def test_a_broken_rule_is_shrunk_to_a_scenario_with_a_timeline() -> None:
    (fault,) = (fault for fault in FAULTS if fault.name == "any deduplicated RPC may be rejected")
    controller = faulty_controller(fault)
    scenario = generate_scenario(scenarios_needed(fault))  # the fault's first seed is 1
    small = shrink(scenario, "twice", 60, controller)
    assert len(format_scenario(small)) < len(format_scenario(scenario))
    replayed = parse_scenario(format_scenario(small))
    run = FleetSimulation(replayed, controller, keep_records=True).play()
    assert "twice" in run.broken
    assert "was rejected although an attempt" in "\n".join(format_timeline(run))
