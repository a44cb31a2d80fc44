"""Changes of settings while gateways are cut off, down or stopped.

Each guard is taken out once, by a planted fault, and the invariants notice it.
"""

from pathlib import Path
from typing import Any, NamedTuple

import pytest

from petrellane import invariants
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_relays import RouteKind
from tests.integration.testbed.fleets import (
    AFTER,
    BEFORE,
    CONTROL,
    admitted_methods,
    check_run,
    count_answers,
    finish,
    propose_second_settings,
    running_fleet,
    second_settings,
    wait_for_decision,
    wait_for_generation,
)

Counts = dict[str, int]  # violations by rule


class DoubtRun(NamedTuple):
    """What came of gateways in doubt: violations, what was admitted, what they had prepared."""

    violations: Counts
    admitted: set[str]
    prepared: list[list[int]]


def run_with_doubt(fault: str = "") -> DoubtRun:
    """Cut off three of seven gateways between the decision and its message, and heal that later."""
    faults = dict.fromkeys(range(7), fault) if fault else None
    with running_fleet(7, gateway_faults=faults) as fleet:
        cut_off = ["g4", "g5", "g6"]
        for relay in fleet.between(RouteKind.AGENT, to=cut_off, of=[CONTROL]):
            relay.fault("late", 0.15)
        number = propose_second_settings(fleet)
        wait_for_decision(fleet, number)
        fleet.partition(cut_off)
        fleet.run_until(
            lambda: fleet.agreed_generation(["g0", "g1", "g2", "g3"]) == number,
            "in force at a majority",
        )
        admitted = admitted_methods(fleet, 1.0)
        prepared = [last_generation(gateway)["possible"] for gateway in fleet.gateways[4:]]
        fleet.heal()
        wait_for_generation(fleet, number, 4.0)
        return DoubtRun(finish(fleet).counts, admitted, prepared)


def last_generation(gateway: FleetGateway) -> dict[str, Any]:
    """Return the last event of a gateway that names its generation."""
    event = gateway.last_event("generation")
    assert event is not None
    return event


def test_a_gateway_in_doubt_admits_what_both_generations_allow() -> None:
    assert run_with_doubt() == DoubtRun({}, {AFTER}, [[2], [2], [2]])


def test_where_doubt_is_ignored_generations_mix() -> None:
    assert invariants.GENERATION in run_with_doubt("doubt_is_ignored").violations


class AbsenceRun(NamedTuple):
    """What came of a gateway that was down: violations, and its generation when it serves."""

    violations: Counts
    generation: int | None


def run_with_absence(fault: str = "", *, loses_state: bool = True) -> AbsenceRun:
    """Start a gateway after a change, with its old file and without the control process."""
    with running_fleet(4, gateway_faults={3: fault} if fault else None) as fleet:
        absent = fleet.gateways[3]
        absent.kill()
        change = fleet.change_settings(second_settings(fleet))
        assert change["outcome"] == "committed"
        assert (change["absent"], change["owed"]) == (["g3"], [])
        fleet.run_for(0.7)
        for relay in fleet.between(RouteKind.AGENT, to=["g3"], of=[CONTROL]):
            relay.fault("cut")
        if loses_state:  # as a new machine does
            for file in (Path(absent.folder) / "state").iterdir():
                file.unlink()
        absent.start()
        fleet.run_until(lambda: absent.ready, "g3 serves")
        fleet.run_for(1.0)
        generation = fleet.agreed_generation(["g3"])
        fleet.heal()
        return AbsenceRun(finish(fleet).counts, generation)


def test_a_gateway_that_was_down_asks_peers_before_it_serves() -> None:
    assert run_with_absence() == AbsenceRun({}, 2)


def test_where_it_serves_before_peers_answer_generations_mix() -> None:
    run = run_with_absence("serves_before_peers_answer", loses_state=False)
    assert invariants.GENERATION in run.violations


def test_a_gateway_that_reaches_no_majority_does_not_serve() -> None:
    with running_fleet(5) as fleet:
        gateway = fleet.gateways[4]
        gateway.kill()
        fleet.partition(["g4"])
        gateway.start()
        fleet.run_for(2.0)
        assert not gateway.ready
        fleet.heal()
        fleet.run_until(lambda: gateway.ready, "g4 serves")
        check_run(fleet)


class StallRun(NamedTuple):
    """What came of a gateway that was stopped: violations, and rejected RPCs."""

    violations: Counts
    rejected: int


def run_with_stall(fault: str = "") -> StallRun:
    """Stop a gateway from before the prepare until after the decision.

    It goes on with RPCs in its socket buffers, though staff confirmed that it had ended.
    """
    faults = {3: fault} if fault else None
    with running_fleet(4, gateway_faults=faults, rate=300.0) as fleet:
        stopped = fleet.gateways[3]
        fleet.partition(["g3"])  # it would learn of the change within a second
        stopped.pause()
        fleet.run_for(0.3)
        change = fleet.change_settings(second_settings(fleet), without=["g3"])
        assert change["outcome"] == "committed", change
        fleet.run_for(0.8)
        stopped.resume()
        fleet.run_for(1.0)
        rejected = count_answers(fleet, invariants.REJECTED)
        fleet.heal()
        wait_for_generation(fleet, 2)
        return StallRun(finish(fleet).counts, rejected)


def test_a_gateway_that_was_stopped_admits_nothing_before_it_has_asked() -> None:
    run = run_with_stall()
    assert run.violations == {}
    assert run.rejected > 0  # what waited there is answered at once


def test_where_a_stall_is_ignored_generations_mix() -> None:
    assert invariants.GENERATION in run_with_stall("stall_is_ignored").violations


class SilenceRun(NamedTuple):
    """What came of a change while a gateway was silent."""

    outcome: str
    reason: str
    admitted: set[str]
    generation: int | None
    violations: Counts


def wait_for_outcome(fleet: LoopbackFleet, number: int) -> dict[str, Any]:
    """Run a fleet until a change is decided; return the change."""

    def decided_change() -> dict[str, Any] | None:
        change = fleet.controls[CONTROL].ask("change", number=number)
        return change if change["outcome"] != "preparing" else None

    return fleet.run_until(decided_change, "an outcome") or {}


def run_with_silence(control_fault: str = "") -> SilenceRun:
    """Change settings while a gateway answers nobody, though it may be serving."""
    with running_fleet(4, control_fault=control_fault) as fleet:
        fleet.partition(["g3"])
        change = wait_for_outcome(fleet, propose_second_settings(fleet))
        fleet.run_for(1.2)
        admitted = admitted_methods(fleet, 0.8)
        fleet.heal()
        fleet.run_for(1.5)
        fleet.finish_load()
        generation = fleet.agreed_generation()
        return SilenceRun(
            change["outcome"], change["why"], admitted, generation, fleet.verdict().counts
        )


def test_a_silent_gateway_aborts_the_change() -> None:
    run = run_with_silence()
    assert (run.outcome, run.admitted) == ("aborted", {BEFORE})
    assert (run.generation, run.violations) == (1, {})
    assert "no word from g3" in run.reason


@pytest.mark.parametrize("fault", ["no_answer_is_absence", "majority_commits"])
def test_where_a_change_commits_without_a_silent_gateway_generations_mix(fault: str) -> None:
    assert invariants.GENERATION in run_with_silence(fault).violations


def test_answers_are_lost_and_requests_arrive(fleet: LoopbackFleet) -> None:
    for relay in fleet.between(RouteKind.AGENT, of=[CONTROL]):
        relay.fault("mute")
    assert fleet.change_settings(second_settings(fleet))["outcome"] == "aborted"
    assert admitted_methods(fleet, 0.4) == set()  # all in doubt: what both generations allow
    fleet.heal()
    wait_for_generation(fleet, 1)
    assert admitted_methods(fleet) == {BEFORE}
    check_run(fleet)
