"""Tests of simulated runs: searched scenarios break no rule, and a seed determines its run."""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest

from benchmarks.endpoint_list_delay_model import play_outage
from petrellane.net.limits import Limits
from petrellane.operation.backoff import PollTimes
from petrellane.simulation.discovery import POLL_TIMES
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.property_search import search
from petrellane.simulation.scenario_generation import generate_scenario, with_hot_restarts
from tests.unit.simulation.scenario_folder import SCENARIO_NAMES, read_scenario

SEARCHED_SCENARIOS = 1500  # a third of them are mutations of the scenarios nearest to a rule
HOT_RESTART_SEEDS = range(1, 401)


def test_no_rule_is_broken() -> None:
    result = search(1, SEARCHED_SCENARIOS, enough=1)
    assert [(found.name, found.counts) for found in result.found] == []
    assert result.runs == SEARCHED_SCENARIOS


@pytest.mark.parametrize("seed", [3, 17, 40])
def test_a_seed_is_the_same_run_to_the_letter(seed: int) -> None:
    first = FleetSimulation(generate_scenario(seed), keep_records=True).play()
    second = FleetSimulation(generate_scenario(seed), keep_records=True).play()
    assert first.records == second.records
    assert first.figures == second.figures


@pytest.mark.parametrize("name", SCENARIO_NAMES)
def test_hard_cases(name: str) -> None:
    scenario = read_scenario(name)
    run = FleetSimulation(scenario).play()
    assert run.broken == scenario.expected.broken, run.verdict.violations
    assert run.figures.ok_share > 0


def broken_by_hot_restarts(seed: int) -> list[str]:
    """Return the rules that the scenario of a seed with added hot restarts breaks."""
    return FleetSimulation(with_hot_restarts(generate_scenario(seed), seed)).play().broken


def test_hot_restarts_break_no_rule_wherever_the_handover_is_cut() -> None:
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = pool.map(broken_by_hot_restarts, HOT_RESTART_SEEDS, chunksize=10)
        broken = {
            seed: rules for seed, rules in zip(HOT_RESTART_SEEDS, results, strict=True) if rules
        }
    assert broken == {}


# The delay until gateways learn of changes after an outage of discovery.


def test_simulated_polls_have_the_times_of_the_gateway() -> None:
    assert (
        PollTimes(
            max_interval=Limits.watch_interval,
            first_interval=Limits.watch_interval,
            max_hold=Limits.max_watch_hold,
            grace=Limits.watch_grace,
            poll_timeout=Limits.watch_timeout,
            initial_pause=Limits.initial_backoff,
        )
        == POLL_TIMES
    )


@pytest.mark.parametrize(
    "fault", ["refused", "silent", "turned away"], ids=["refused", "silent", "rejected"]
)
def test_gateways_are_notified_in_time_once_discovery_has_recovered(fault: str) -> None:
    """Discovery serves slightly less than one call per second for each of sixty gateways."""
    result = play_outage(1, 60, fault, 50.0)
    assert None not in result.delays
    assert max(result.delays) < 6.0
    assert result.broken == []
    assert sum(result.rejected[10:]) == 0
    assert max(result.calls[10:]) < 50
