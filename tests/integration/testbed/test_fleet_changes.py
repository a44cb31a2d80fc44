"""Changes of settings at gateways that differ: busy, drained, of an older build, short of disk."""

import signal
from pathlib import Path

import pytest

from petrellane import invariants
from petrellane.testbed.addresses import format_address
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import SettingsSpec, build_settings
from tests.integration.testbed.fleets import (
    AFTER,
    BEFORE,
    CONTROL,
    admitted_methods,
    check_run,
    finish,
    plant_fault,
    running_fleet,
    second_settings,
    wait_for_generation,
    wait_until_leading,
)
from tests.integration.testbed.management_calls import call_gateway

SLOWDOWN = 40.0  # of hosts, so that RPCs stay open over a change
OPEN_RPCS = 5  # of the method that is dropped, when the change begins
READ_TIME_S = 0.03  # in which gateways have read what clients sent last
STALL_S = 1.3  # long enough that a gateway asks again what is in force


def test_a_change_without_a_fault_rejects_nothing(fleet: LoopbackFleet) -> None:
    assert admitted_methods(fleet) == {BEFORE}
    assert fleet.change_settings(second_settings(fleet))["reached"] == 3
    assert admitted_methods(fleet) == {AFTER}
    check_run(fleet)
    assert invariants.REJECTED not in {answer for _, answer in fleet.records.counts}


def count_open_rpcs(fleet: LoopbackFleet, method: str) -> int:
    """Return how many RPCs of a method are open, as the invariant checker sees it."""
    open_rpcs = fleet.records.checker.open_rpcs.by_id.values()
    return sum(rpc.received.method == method for rpc in open_rpcs)


def new_answers(fleet: LoopbackFleet, method: str, earlier: dict[tuple[str, str], int]) -> set[str]:
    """Return the kinds of answers of a method that have come since some counts were taken."""
    return {
        answer
        for (name, answer), count in fleet.records.counts.items()
        if name == method and count > earlier.get((name, answer), 0)
    }


def test_open_rpcs_keep_the_method_that_is_dropped() -> None:
    with running_fleet(rate=120.0) as fleet:
        for host in fleet.hosts:
            host.slowdown = SLOWDOWN
        fleet.run_until(lambda: count_open_rpcs(fleet, BEFORE) > OPEN_RPCS, "open RPCs")
        fleet.clients.stop()
        fleet.run_for(READ_TIME_S)
        earlier = dict(fleet.records.counts)
        assert fleet.change_settings(second_settings(fleet))["reached"] == 3
        check_run(fleet)
        answers = new_answers(fleet, BEFORE, earlier)
        assert invariants.OK in answers
        # An RPC of much work may be rejected, with or without a change.
        assert answers <= {invariants.OK, invariants.REJECTED}


def test_a_gateway_of_an_older_build_rejects_the_change() -> None:
    with running_fleet(gateway_faults={1: "rejects_many_methods"}) as fleet:
        change = fleet.change_settings(
            build_settings(SettingsSpec(3, extra_methods=(BEFORE, "x", "y")))
        )
        assert change["outcome"] == "aborted"
        assert change["why"] == "refused by g1: settings.classes: expected three at most"
        wait_for_generation(fleet, 1)
        check_run(fleet)


def test_clock_skew_and_state_that_cannot_be_written(fleet: LoopbackFleet) -> None:
    drifting, unwritable = fleet.gateways[1:]
    drifting.kill()
    drifting.skew_s = 2.0
    drifting.start()
    fleet.run_until(lambda: drifting.ready, "g1 serves with its clock off")
    state = Path(unwritable.folder) / "state"
    moved = state.rename(state.with_name("state.away"))
    change = fleet.change_settings(second_settings(fleet))
    assert change["outcome"] == "aborted"
    assert "refused by g2" in change["why"]
    moved.rename(state)
    fleet.records.generation_by_method[AFTER] = 3
    assert fleet.change_settings(second_settings(fleet))["reached"] == 3
    check_run(fleet)


def test_what_peers_answer_holds_without_a_disk(fleet: LoopbackFleet) -> None:
    """A gateway that cannot write learns from peers all the same, also after a stall."""
    gateway = fleet.gateways[2]
    gateway.kill()
    assert fleet.change_settings(second_settings(fleet))["absent"] == ["g2"]
    plant_fault(gateway, "disk_is_full")
    gateway.start()
    fleet.run_until(lambda: gateway.ready, "g2 serves")
    assert fleet.agreed_generation(["g2"]) == 2
    gateway.pause()
    fleet.run_for(STALL_S)
    gateway.resume()
    assert admitted_methods(fleet, 1.0) == {AFTER}
    numbers = [event["number"] for event in gateway.events if event["event"] == "generation"]
    assert numbers[numbers.index(2) :] == [2]  # never back to the first
    check_run(fleet)


@pytest.mark.parametrize(
    ("fault", "admitted", "drift"),
    [
        pytest.param("", {BEFORE}, "method before: gone", id="logged-as-drift"),
        pytest.param("file_is_adopted", {BEFORE, AFTER}, None, id="without-that-adopted"),
    ],
)
def test_a_file_changed_by_hand(fault: str, admitted: set[str], drift: str | None) -> None:
    faults = dict.fromkeys(range(3), fault) if fault else None
    with running_fleet(gateway_faults=faults) as fleet:
        gateway = fleet.gateways[0]
        settings = {**second_settings(fleet), "locality": "z"}
        gateway.write_config({**gateway.config(), "settings": settings})
        gateway.running_process().signal(signal.SIGHUP)
        fleet.run_until(lambda: gateway.last_event("reloaded"), "the file is read")
        assert admitted_methods(fleet) == admitted
        finish(fleet)
        event = gateway.last_event("drift")
        if drift is not None:
            assert event is not None
            assert drift in event["lines"]


def test_a_successor_of_a_process_has_the_generation() -> None:
    with running_fleet(holds_listeners=True) as fleet:
        fleet.gateways[0].replace()
        assert fleet.change_settings(second_settings(fleet))["reached"] == 3
        fleet.run_for(0.5)
        assert admitted_methods(fleet) == {AFTER}
        check_run(fleet)


def test_a_drained_gateway_takes_part(fleet: LoopbackFleet) -> None:
    gateway, connections = fleet.gateways[1], fleet.gateway_connections[1]
    connections.in_rotation = False
    call_gateway(gateway, "drain")
    assert fleet.change_settings(second_settings(fleet))["reached"] == 3
    call_gateway(gateway, "resume")
    connections.in_rotation = True
    assert admitted_methods(fleet) == {AFTER}
    check_run(fleet)


def restart_with_wrong_roster(fleet: LoopbackFleet) -> None:
    """Start the control process anew without g3, and with a gateway that does not exist."""
    control = fleet.controls[CONTROL]
    control.kill()
    ghost = format_address((fleet.addresses.ip, fleet.addresses.next_port()))
    control.roster = {
        gateway.name: gateway.management_addresses(CONTROL) for gateway in fleet.gateways[:3]
    }
    control.roster["ghost"] = ghost
    control.start()
    wait_until_leading(fleet, control)


def test_a_roster_with_one_missing_and_one_too_many() -> None:
    with running_fleet(4) as fleet:
        missing = fleet.gateways[3]
        restart_with_wrong_roster(fleet)
        # g3 is a member of what is in force: it is asked all the same.
        change = fleet.change_settings(second_settings(fleet))
        assert change["outcome"] == "aborted"
        assert "g3 (no address in the roster)" in change["why"]
        missing.kill()  # it leaves for good, as staff confirm
        fleet.records.generation_by_method[AFTER] = 3
        change = fleet.change_settings(second_settings(fleet), without=["g3"])
        assert (change["outcome"], change["absent"]) == ("committed", ["ghost"])
        missing.start()
        fleet.run_until(
            lambda: missing.last_event("not_on_roster"), "g3 learns that it is no member"
        )
        assert not missing.ready
        check_run(fleet)
