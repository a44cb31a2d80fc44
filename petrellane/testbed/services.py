"""The test doubles of a scale run, each in a process of its own.

So the testbed's one scheduler is no bottleneck: the counter as in other fleets, and discovery
before thousands of gateways.
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

BACKLOG = 4096  # many gateways dial at once
MAXIMUM_LOG_LINES = 100_000  # that wait for the testbed
STANDARD_OUTPUT = 1


@dataclass(frozen=True)
class ServiceParameters:
    """What the testbed writes for a test double.

    Attributes:
        address: Where it listens.
        command_descriptor: The pipe on which the testbed gives commands.
        rows: Discovery's list.
        rate: Requests that discovery serves a second; 0 for no limit.
        changes: Changes of hosts a second.
        seed: Of the draws.
    """

    address: Address
    command_descriptor: int
    rows: list[dict[str, Any]]
    rate: float
    changes: float
    seed: int

    @classmethod
    def read(cls, path: str) -> Self:
        """Read the testbed's file."""
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
    """Be one of the test doubles until the testbed ends this process.

    Args:
        program: "counter" or "discovery".
        path: The testbed's file for it.
        meter: Reports what it spends.

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
    """Start the counter; return the handlers of commands, of which it knows none."""
    counter = FakeCounter(scheduler, parameters.address)
    counter.widen_queue(BACKLOG)
    meter.more = lambda: {"adds": counter.adds, "connections": len(counter.streams)}
    return {}


def _start_discovery(
    scheduler: Scheduler, log: Logger, parameters: ServiceParameters, meter: "Meter"
) -> dict[str, Callable[[], object]]:
    """Start discovery; return the handlers of commands."""
    discovery = ScaleDiscovery(scheduler, parameters.rows, parameters.rate)
    discovery.listener_for("all", parameters.address).widen_queue(BACKLOG)
    changes = EndpointChanges(scheduler, log, discovery, parameters.changes, parameters.seed)
    meter.more = lambda: {
        "calls": discovery.calls,
        "refused": discovery.refused,
        "index": discovery.index,
        "watches": discovery.watch_count,
    }
    return {"begin": changes.begin, "quiet": changes.end}
