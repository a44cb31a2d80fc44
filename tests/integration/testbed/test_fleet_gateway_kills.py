"""Gateways that are killed: at each write of their state, with the control process, alone."""

import contextlib
import tempfile
from collections.abc import Iterator

import pytest

from petrellane.net.scheduler import Scheduler
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.processes import Build, LogEvent, Process, ProcessSpec
from tests.integration.testbed.fleets import (
    CONTROL,
    check_run,
    plant_fault,
    propose_second_settings,
    wait_for_decision,
    wait_for_generation,
)

STATE_WRITES = ["2 before", "2 after", "3 before", "3 after"]  # 2: the prepare, 3: the commit
PEERS_ASKED_S = 1.2  # after which the state was written at the start, with an old epoch


@pytest.mark.parametrize(
    "step", [pytest.param(step, id=step.replace(" ", "-")) for step in STATE_WRITES]
)
def test_a_gateway_killed_at_a_write_of_its_state(fleet: LoopbackFleet, step: str) -> None:
    gateway, control = fleet.gateways[2], fleet.controls[CONTROL]
    gateway.kill()
    plant_fault(gateway, "ends_at_state_write", step)
    gateway.start()
    fleet.run_until(lambda: gateway.ready, "g2 serves")
    fleet.run_for(PEERS_ASKED_S)
    number = propose_second_settings(fleet)
    fleet.run_until(lambda: fleet.crashes, "it ends at its write")
    fleet.crashes.clear()  # that one was planted
    gateway.build, gateway.environ = Build(), {}
    gateway.start()
    change = fleet.run_until(lambda: control.ended_change(number), "an end of the change")
    assert change is not None
    assert change["outcome"] in ("committed", "aborted")
    wait_for_generation(fleet, 2 if change["outcome"] == "committed" else 1)
    check_run(fleet)


def test_a_gateway_that_is_started_before_its_end_was_reported(fleet: LoopbackFleet) -> None:
    """What its predecessor had received is answered by nobody, and sent again by nobody."""
    gateway = fleet.gateways[2]

    def received() -> set[str]:
        open_rpcs = fleet.records.open_rpcs
        return {name for name, rpc in open_rpcs.items() if rpc.gateway == gateway.name}

    fleet.run_until(received, "an RPC that g2 has received")
    # Not by the fleet, which learns it from the output of the process alone.
    popen = gateway.running_process().popen
    popen.kill()
    popen.wait()
    gateway.start()
    assert received() == set()
    assert [crash.name for crash in fleet.crashes] == [gateway.name]
    fleet.run_until(lambda: gateway.ready, "g2 serves")
    check_run(fleet, crash_count=1)


class WriterProcess:
    """A process that writes a line and ends; its events, and its ends as they are reported."""

    def __init__(self, scheduler: Scheduler, folder: str) -> None:
        self.events: list[LogEvent] = []
        self.ends: list[Process] = []
        spec = ProcessSpec("writer", [], folder, build=Build(module="platform"))
        self.process = Process(
            scheduler, spec, lambda _, event: self.events.append(event), self.ends.append
        )


@pytest.fixture
def scheduler() -> Scheduler:
    """A scheduler that runs nothing yet."""
    return Scheduler()


@pytest.fixture
def writer(scheduler: Scheduler) -> Iterator[WriterProcess]:
    """A process that has written its line and ended, which is not reported yet."""
    with tempfile.TemporaryDirectory() as folder:
        writer = WriterProcess(scheduler, folder)
        with contextlib.closing(writer.process):
            writer.process.popen.wait()
            yield writer


def test_the_end_is_reported_in_the_turn_of_the_last_line(
    scheduler: Scheduler, writer: WriterProcess
) -> None:
    """Else clients of a gateway that logs and ends see its connections close before that."""
    scheduler.run_once(0)
    assert len(writer.events) == 1
    assert writer.ends == [writer.process]


def test_the_control_process_and_a_gateway_killed_together(fleet: LoopbackFleet) -> None:
    control, gateway = fleet.controls[CONTROL], fleet.gateways[2]
    number = propose_second_settings(fleet)
    wait_for_decision(fleet, number)
    control.kill()
    gateway.kill()
    gateway.start()  # it asks the other two, of which each may be in doubt or not
    fleet.run_until(lambda: gateway.ready, "g2 serves without a control process")
    fleet.run_for(0.5)
    control.start()
    fleet.run_until(lambda: control.ask("status").get("settled"), "it leads again")
    wait_for_generation(fleet, number)
    check_run(fleet)
