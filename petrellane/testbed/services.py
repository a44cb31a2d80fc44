"""The fakes of a scale run, each in a separate process.

Separate processes keep the testbed's single scheduler from becoming a bottleneck. The counter is
the same as in other fleets; discovery serves thousands of gateways.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Self

import orjson

from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address
from petrellane.testbed.command_pipe import CommandPipe
from petrellane.testbed.fake_counter import FakeCounter
from petrellane.testbed.scale_discovery import EndpointChanges, ScaleDiscovery

if TYPE_CHECKING:
    from petrellane.testbed.metered import Meter

BACKLOG = 4096  # many gateways connect at the same time
MAXIMUM_LOG_LINES = 100_000  # buffered while the testbed does not read them
STANDARD_OUTPUT = 1


@dataclass(frozen=True)
class ServiceParameters:
    """The parameters that the testbed passes to a fake in a file.

    Attributes:
        address: The address to listen at.
        command_descriptor: The descriptor of the pipe on which the testbed sends commands.
        rows: The endpoint list of discovery.
        rate: The requests that discovery serves per second; 0 for no limit.
        changes: The rate of host changes, per second.
        seed: The seed of the random changes.
    """

    address: Address
    command_descriptor: int
    rows: list[dict[str, Any]]
    rate: float
    changes: float
    seed: int

    @classmethod
    def read(cls, path: str) -> Self:
        """Read the parameters from the testbed's JSON file."""
        with open(path, "rb") as file:
            stored = orjson.loads(file.read())
        return cls(
            (stored["ip"], stored["port"]),
            stored["words"],
            stored.get("rows", []),
            stored.get("rate", 0.0),
            stored.get("changes", 0.0),
            stored.get("seed", 0),
        )


def run(program: str, path: str, meter: "Meter") -> int:
    """Run one of the fakes until the testbed ends this process.

    Args:
        program: "counter" or "discovery".
        path: The path of the parameter file.
        meter: The meter that reports the resource usage of this process.

    Returns:
        The exit code.
    """
    parameters = ServiceParameters.read(path)
    scheduler = Scheduler()
    log = Logger(STANDARD_OUTPUT, program, scheduler.now, MAXIMUM_LOG_LINES)
    scheduler.exception_handler = log.fault
    if program == "counter":
        handlers = _start_counter(scheduler, parameters, meter)
    else:
        handlers = _start_discovery(scheduler, log, parameters, meter)
    CommandPipe(scheduler, parameters.command_descriptor, handlers)
    log.event("started")
    scheduler.run()
    return 0


def _start_counter(
    scheduler: Scheduler, parameters: ServiceParameters, meter: "Meter"
) -> dict[str, Callable[[], object]]:
    """Start the counter; return its command handlers, of which there are none."""
    counter = FakeCounter(scheduler, parameters.address)
    counter.set_backlog(BACKLOG)
    meter.more = lambda: {"adds": counter.adds, "connections": len(counter.streams)}
    return {}


def _start_discovery(
    scheduler: Scheduler, log: Logger, parameters: ServiceParameters, meter: "Meter"
) -> dict[str, Callable[[], object]]:
    """Start discovery; return its command handlers."""
    discovery = ScaleDiscovery(scheduler, parameters.rows, parameters.rate)
    discovery.listener_for("all", parameters.address).set_backlog(BACKLOG)
    changes = EndpointChanges(scheduler, log, discovery, parameters.changes, parameters.seed)
    meter.more = lambda: {
        "calls": discovery.calls,
        "refused": discovery.refused,
        "index": discovery.index,
        "watches": discovery.watch_count,
    }
    return {"begin": changes.begin, "quiet": changes.end}
