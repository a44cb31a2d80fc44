"""Shrinking: reduces a scenario that breaks a rule to a smaller one that still breaks it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

import msgspec

from petrellane.decisions.controller import AdmissionController
from petrellane.simulation.controllers import ControllerFactory
from petrellane.simulation.fleet import FleetSimulation, Run
from petrellane.simulation.scenario import Expectation, Scenario, ScenarioLine
from petrellane.simulation.scenario_files import Line, find_error

MAX_RUNS = 400
AFTER_VIOLATION_S = 0.1  # time that a shortened run continues after the violation
MIN_FAULT_LENGTH_S = 0.2  # seconds; faults up to this length are not shortened

WORLD_CHANGES: tuple[Mapping[str, Any], ...] = (
    {"zones": 1},
    {"retries": 0},
    {"clock_skew": 0.0},
    {"counter_parts": 1},
    {"patience": 1.0},
)
"""Changes that simplify the world; each is tried on its own."""

LineT = TypeVar("LineT", bound=ScenarioLine)


def shrink(
    scenario: Scenario,
    rule: str,
    max_runs: int = MAX_RUNS,
    controller_factory: ControllerFactory = AdmissionController,
) -> Scenario:
    """Reduce a scenario for as long as it still breaks a rule.

    Args:
        scenario: The scenario, which breaks the rule.
        rule: The name of the rule.
        max_runs: The maximum number of runs, including that of the given scenario.
        controller_factory: The factory of the gateways' controllers.

    Returns:
        The smallest scenario found, which expects the rules that it breaks; the given scenario
        unchanged if it does not break the rule.
    """
    run = find_violating_run(scenario, rule, controller_factory)
    if run is None:
        return scenario
    runs = 0
    is_reduced = True
    while is_reduced and runs < max_runs:
        is_reduced = False
        for candidate in (_shorten(scenario, run, rule), *_simplify(scenario)):
            if candidate == scenario or not _is_valid(candidate):
                continue
            runs += 1
            if runs >= max_runs:
                break
            candidate_run = find_violating_run(candidate, rule, controller_factory)
            if candidate_run:
                scenario = candidate
                run = candidate_run
                is_reduced = True
                break
    return scenario.replace(expected=Expectation(run.broken))


def find_violating_run(
    scenario: Scenario, rule: str, controller_factory: ControllerFactory = AdmissionController
) -> Run | None:
    """Play a scenario, and return the run if it breaks a rule."""
    run = FleetSimulation(scenario, controller_factory).play()
    return run if rule in run.verdict.counts else None


def _is_valid(scenario: Scenario) -> bool:
    plan_names = {plan.name for plan in scenario.plans}
    lines: list[Line] = [scenario.world, *scenario.customers, *scenario.faults]
    return not any(find_error(line, plan_names) for line in lines)


def _shorten(scenario: Scenario, run: Run, rule: str) -> Scenario:
    """Return the scenario up to the first violation, without the faults that start after it."""
    world = scenario.world
    first_violation = min(
        (violation.at for violation in run.verdict.violations if violation.rule == rule),
        default=world.length,
    )
    if first_violation + AFTER_VIOLATION_S < world.length:
        length = round(first_violation + AFTER_VIOLATION_S, 3)
        world = msgspec.structs.replace(world, length=length)
    faults = tuple(fault for fault in scenario.faults if fault.at <= first_violation)
    return scenario.replace(world=world, faults=faults)


def _simplify(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios that are simpler in one respect, the largest reductions first."""
    for index in range(len(scenario.faults)):
        yield scenario.replace(faults=_without(scenario.faults, index))
    if len(scenario.customers) > 1:
        for index in range(len(scenario.customers)):
            yield scenario.replace(customers=_without(scenario.customers, index))
    yield from _simplify_world(scenario)
    yield from _simplify_customers(scenario)
    yield from _shorten_faults(scenario)
    used_plans = {customer.plan for customer in scenario.customers}
    if len(used_plans) < len(scenario.plans):
        plans = tuple(plan for plan in scenario.plans if plan.name in used_plans)
        yield scenario.replace(plans=plans)
    if len(scenario.methods) > 1:
        for index in range(len(scenario.methods)):
            yield scenario.replace(methods=_without(scenario.methods, index))


def _simplify_world(scenario: Scenario) -> Iterator[Scenario]:
    world = scenario.world
    for gateways in _smaller_counts(world.gateways):
        yield scenario.replace(world=msgspec.structs.replace(world, gateways=gateways))
    for endpoints in _smaller_counts(world.endpoints):
        yield scenario.replace(world=msgspec.structs.replace(world, endpoints=endpoints))
    for change in WORLD_CHANGES:
        yield scenario.replace(world=msgspec.structs.replace(world, **change))


def _smaller_counts(count: int) -> set[int]:
    return {1, count // 2, count - 1} - {0, count}


def _simplify_customers(scenario: Scenario) -> Iterator[Scenario]:
    for index, customer in enumerate(scenario.customers):
        changes: tuple[Mapping[str, Any], ...] = (
            {"rate": round(customer.rate / 2, 2)},
            {"units": 1},
            {"move_interval": 0.0},
            {"concentration": 0.0},
        )
        for change in changes:
            simpler = msgspec.structs.replace(customer, **change)
            yield scenario.replace(customers=_replaced(scenario.customers, index, simpler))


def _shorten_faults(scenario: Scenario) -> Iterator[Scenario]:
    for index, fault in enumerate(scenario.faults):
        if fault.length > MIN_FAULT_LENGTH_S:
            shorter = msgspec.structs.replace(fault, length=round(fault.length / 2, 3))
            yield scenario.replace(faults=_replaced(scenario.faults, index, shorter))


def _without(lines: tuple[LineT, ...], index: int) -> tuple[LineT, ...]:
    return lines[:index] + lines[index + 1 :]


def _replaced(lines: tuple[LineT, ...], index: int, line: LineT) -> tuple[LineT, ...]:
    return (*lines[:index], line, *lines[index + 1 :])
