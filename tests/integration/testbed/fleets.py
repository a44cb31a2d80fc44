"""Fleets of real processes under load, whose settings change through a control process.

The methods that gateways admit tell which settings are in force there: `before` is a method of
generation 1 alone, `after` of generation 2 alone.
"""

import contextlib
from collections.abc import Iterator, Mapping

from petrellane import invariants
from petrellane.testbed.clients import Method
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_control import FleetControl
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_spec import FleetSpec, Settings, SettingsSpec, build_settings
from petrellane.testbed.processes import Build
from tests.integration.testbed.planted import FAULT_VARIABLE, STEP_VARIABLE

CONTROL = "control"  # the name of the control process that a fleet starts with
BEFORE = "before"
AFTER = "after"
METHODS = [
    Method("look", 0.3),
    Method("lodge", 0.1, invariants.DEDUPLICATED),
    Method("post", 0.1, invariants.NON_IDEMPOTENT),
    Method(BEFORE, 0.25),
    Method(AFTER, 0.25),
]
WORK_S = 0.004
WARM_UP_S = 0.3  # of load before a test begins
ANSWER_TIME_S = 0.3  # in which what was admitted earlier is answered


@contextlib.contextmanager
def running_fleet(
    gateways: int = 3,
    rate: float = 150.0,
    gateway_faults: Mapping[int, str] | None = None,
    control_fault: str = "",
    holds_listeners: bool = False,
) -> Iterator[LoopbackFleet]:
    """Run a fleet under load that has generation 1 in force.

    Args:
        gateways: How many gateways.
        rate: RPCs a second.
        gateway_faults: Planted faults by the number of their gateway.
        control_fault: The planted fault of the control process; "" for none.
        holds_listeners: Whether one process of a gateway can succeed another.
    """
    spec = FleetSpec(
        gateways=gateways,
        agreement=True,
        rate=rate,
        methods=METHODS,
        generation_by_method={BEFORE: 1, AFTER: 2},
        settings=build_settings(SettingsSpec(gateways)),
        work=WORK_S,
        holds_listeners=holds_listeners,
    )
    with LoopbackFleet(spec) as fleet:
        for number, fault in (gateway_faults or {}).items():
            plant_fault(fleet.gateways[number], fault)
        fleet.start(controls=())
        control = fleet.controls[CONTROL] = make_control(fleet, CONTROL, control_fault)
        control.start()
        wait_until_leading(fleet, control)
        change = fleet.change_settings(first_settings(fleet))
        assert change["outcome"] == "committed", change
        fleet.clients.start()
        fleet.run_for(WARM_UP_S)
        yield fleet


def first_settings(fleet: LoopbackFleet) -> Settings:
    """Return the settings of generation 1."""
    return build_settings(SettingsSpec(fleet.spec.gateways, extra_methods=(BEFORE,)))


def second_settings(fleet: LoopbackFleet) -> Settings:
    """Return the settings that tests change to."""
    return build_settings(SettingsSpec(fleet.spec.gateways, extra_methods=(AFTER,)))


def plant_fault(party: FleetGateway | FleetControl, fault: str, step: str = "") -> None:
    """Have a party's next process run with a planted fault, which may happen at a step."""
    party.build = Build(module="tests.integration.testbed.planted")
    party.environ = {FAULT_VARIABLE: fault, STEP_VARIABLE: step}


def make_control(
    fleet: LoopbackFleet,
    name: str,
    fault: str = "",
    step: str = "",
    journal: str | None = None,
) -> FleetControl:
    """Make a control process that is not started; whoever makes it adds it to `fleet.controls`.

    Args:
        fleet: The fleet.
        name: The control process's name.
        fault: Its planted fault; "" for none.
        step: The step at which that happens.
        journal: The journal that it goes on with; None for its own.
    """
    control = FleetControl(fleet, name, journal)
    if fault:
        plant_fault(control, fault, step)
    return control


def wait_until_leading(fleet: LoopbackFleet, control: FleetControl) -> None:
    """Run a fleet until a control process says that it leads."""
    fleet.run_until(
        lambda: control.ask("status").get("state") == "leading", f"{control.name} leads"
    )


def wait_for_generation(fleet: LoopbackFleet, number: int, patience: float = 10.0) -> None:
    """Run a fleet until a generation is in force at all gateways."""
    fleet.run_until(
        lambda: fleet.agreed_generation() == number, f"generation {number} everywhere", patience
    )


def propose_second_settings(fleet: LoopbackFleet) -> int:
    """Propose the second settings; return the number of the change."""
    return int(fleet.controls[CONTROL].ask("propose", settings=second_settings(fleet))["number"])


def wait_for_decision(fleet: LoopbackFleet, number: int) -> None:
    """Run a fleet until its control process has decided a change."""
    control = fleet.controls[CONTROL]
    fleet.run_until(lambda: control.events[-1].get("number") == number, "a decision")


def admitted_methods(fleet: LoopbackFleet, seconds: float = 0.5) -> set[str]:
    """Return which of `before` and `after` are admitted from now on.

    What was admitted before this call is answered first.
    """
    fleet.run_for(ANSWER_TIME_S)
    counts = dict(fleet.records.counts)
    fleet.run_for(seconds)
    return {
        method
        for method in (BEFORE, AFTER)
        if fleet.records.counts.get((method, invariants.OK), 0)
        > counts.get((method, invariants.OK), 0)
    }


def count_answers(fleet: LoopbackFleet, kind: str) -> int:
    """Return how many answers of a kind clients have had."""
    return sum(count for (_, answer), count in fleet.records.counts.items() if answer == kind)


def finish(fleet: LoopbackFleet) -> invariants.Verdict:
    """End the load, and return the verdict of a run."""
    fleet.finish_load()
    return fleet.verdict()


def check_run(fleet: LoopbackFleet, crash_count: int = 0) -> invariants.Verdict:
    """End the load; check that no rule is broken, and that nothing crashed but what had to."""
    verdict = finish(fleet)
    assert not verdict.counts, f"{verdict.violations[:3]}\n{fleet.timeline()}"
    assert len(fleet.crashes) == crash_count, fleet.crashes
    assert not fleet.faults, fleet.faults[:2]
    return verdict
