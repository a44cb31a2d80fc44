"""A control process that is killed at any step: the next one brings all to one generation."""

from pathlib import Path
from typing import NamedTuple

import pytest

from petrellane import invariants
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_control import FleetControl
from tests.integration.testbed.fleets import (
    AFTER,
    BEFORE,
    CONTROL,
    admitted_methods,
    check_run,
    first_settings,
    make_control,
    running_fleet,
    second_settings,
    wait_for_generation,
    wait_until_leading,
)

SUCCESSOR_PATIENCE_S = 15.0


class KillRun(NamedTuple):
    """What is admitted without a control process, and once its successor leads."""

    meanwhile: set[str]
    afterwards: set[str]


def kill_control_at(fleet: LoopbackFleet, step: str) -> FleetControl:
    """Start the control process anew and have it end at a write to its journal; return it."""
    control = fleet.controls[CONTROL]
    control.kill()
    dying = make_control(fleet, CONTROL, "ends_at_journal_write", step, control.journal)
    fleet.controls[CONTROL] = dying
    dying.start()
    if not step.startswith("epoch"):
        wait_until_leading(fleet, dying)
        dying.ask("propose", settings=second_settings(fleet))
    fleet.run_until(lambda: fleet.crashes, "it ends at its step")
    fleet.crashes.clear()  # that one was planted
    return dying


def start_successor(fleet: LoopbackFleet, journal: str) -> None:
    """Start another control process, and wait until its generation is in force everywhere."""
    successor = fleet.controls[CONTROL] = make_control(fleet, "successor", journal=journal)
    successor.start()
    fleet.run_until(
        lambda: successor.ask("status").get("settled"), "the successor leads", SUCCESSOR_PATIENCE_S
    )
    wait_for_generation(fleet, successor.ask("status")["in_force"]["number"])


def check_generations(fleet: LoopbackFleet, step: str, is_second_decided: bool) -> None:
    """Check the invariants of a run in which it is known what was decided."""
    records = fleet.records
    for number, is_decided in {1: True, 2: is_second_decided}.items():
        records.add(invariants.GenerationDecided(records.now(), number, is_decided))
    verdict = records.close()
    assert verdict.counts == {}, f"{step}: {verdict.violations[:2]}\n{fleet.timeline()}"


def run_with_kill(step: str, *, loses_journal: bool = False) -> KillRun:
    """Kill the control process at a step, and start a successor with or without its journal."""
    with running_fleet() as fleet:
        dying = kill_control_at(fleet, step)
        fleet.run_for(0.7)
        meanwhile = admitted_methods(fleet, 0.6)
        empty_journal = str(Path(fleet.folder) / "empty.db")
        start_successor(fleet, empty_journal if loses_journal else dying.journal)
        afterwards = admitted_methods(fleet)
        fleet.finish_load()
        check_generations(fleet, step, is_second_decided=AFTER in afterwards)
        return KillRun(meanwhile, afterwards)


@pytest.mark.parametrize(
    ("step", "meanwhile", "afterwards"),
    [
        pytest.param("epoch before", {BEFORE}, {BEFORE}, id="before-epoch"),
        pytest.param("epoch after", {BEFORE}, {BEFORE}, id="after-epoch"),
        pytest.param("proposed before", {BEFORE}, {BEFORE}, id="before-proposal"),
        pytest.param("proposed after", {BEFORE}, {BEFORE}, id="after-proposal"),
        pytest.param("decided before", set(), {BEFORE}, id="before-decision"),
        pytest.param("decided after", set(), {AFTER}, id="after-decision"),
    ],
)
def test_killed_at_a_write_to_its_journal(
    step: str, meanwhile: set[str], afterwards: set[str]
) -> None:
    assert run_with_kill(step) == KillRun(meanwhile, afterwards)


@pytest.mark.parametrize(
    "step",
    [
        pytest.param("decided before", id="before-decision"),
        pytest.param("decided after", id="after-decision"),
    ],
)
def test_killed_and_its_journal_lost(step: str) -> None:
    """Nobody knows what was decided: the settings in force come again."""
    assert run_with_kill(step, loses_journal=True) == KillRun(set(), {BEFORE})


def test_two_control_processes_at_once(fleet: LoopbackFleet) -> None:
    control = fleet.controls[CONTROL]
    other = fleet.controls["other"] = make_control(fleet, "other")
    other.start()
    wait_until_leading(fleet, other)
    fleet.run_until(lambda: control.ask("status").get("state") == "deposed", "the first is deposed")
    assert "refused" in control.ask("propose", settings=first_settings(fleet))
    number = other.ask("propose", settings=second_settings(fleet))["number"]
    change = fleet.run_until(lambda: other.ended_change(number), "an end of the change")
    assert change is not None
    assert change["outcome"] == "committed"
    check_run(fleet)


def make_replacement(fleet: LoopbackFleet) -> FleetControl:
    """Return a control process with the name of the fleet's one and an empty journal."""
    replacement = make_control(fleet, "replacement")
    replacement.configured_name = CONTROL
    fleet.controls["replacement"] = replacement
    return replacement


def propose_at_both(fleet: LoopbackFleet, first: FleetControl, second: FleetControl) -> None:
    """Propose different settings at two control processes; check that one of them accepts."""
    answers = [
        first.ask("propose", settings=first_settings(fleet)),
        second.ask("propose", settings=second_settings(fleet)),
    ]
    accepted = [
        control
        for control, answer in zip((first, second), answers, strict=True)
        if "number" in answer
    ]
    assert accepted == [second], answers


def test_stopped_and_replaced_under_its_name(fleet: LoopbackFleet) -> None:
    """Guards against a shared epoch: both control processes led, and neither was deposed."""
    control = fleet.controls[CONTROL]
    assert control.process is not None
    control.process.pause()
    replacement = make_replacement(fleet)
    replacement.start()
    wait_until_leading(fleet, replacement)
    control.process.resume()
    fleet.run_until(lambda: control.ask("status").get("state") == "deposed", "the first is deposed")
    propose_at_both(fleet, control, replacement)
    fleet.run_until(lambda: replacement.ask("status").get("settled"), "the end of the change")
    wait_for_generation(fleet, replacement.ask("status")["in_force"]["number"])
    check_run(fleet)
