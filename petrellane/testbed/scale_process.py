"""One process of a scale run: what it is, and what its meter has reported."""

import contextlib
import os
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from petrellane.testbed.processes import Build, LogEvent, Process, ProcessSpec

if TYPE_CHECKING:
    from petrellane.testbed.testbed import ScaleTestbed

METERED_PROGRAM = "petrellane.testbed.metered"
METER_VARIABLE = "LAB_METER"
TRAFFIC_FIGURES = 4  # of a meter's line, for each kind of stream
METER_INTERVAL_S = 0.5  # between two lines of a meter
LINE_TOLERANCE_S = 0.1  # by which a line may come after the end of a time
FIRST_LINE_S = 0.3  # a line so soon after a begin is taken as of the begin
LAST_LINE_S = 0.6  # a process whose last line is older has ended meanwhile
MINIMUM_SECONDS = 1e-3


@dataclass(frozen=True)
class ScaleProcessSpec:
    """What a process of a run is.

    Attributes:
        role: Its role: hollow, real, control, discovery or counter.
        name: Its name, for messages.
        arguments: Of the metered program.
        parameters: What the testbed writes for it, as the last argument names; None for nothing,
            and then it takes no commands either.
        environ: Variables beside those of this process.
        gateway_count: The gateways in it; 1 for any other process.
    """

    role: str
    name: str
    arguments: Sequence[str]
    parameters: Mapping[str, Any] | None = None
    environ: Mapping[str, str] = field(default_factory=dict)
    gateway_count: int = 1


class Usage(NamedTuple):
    """What a process spent a second: CPU seconds and figures of traffic; the latter by kind."""

    total: list[float]
    by_kind: dict[str, list[float]]


class ScaleProcess:
    """One process of a run, owned by its testbed until `close`.

    Attributes:
        role: Its role.
        name: Its name.
        gateway_count: The gateways in it; 1 for any other process.
        process: The process.
        started_at: Unix time of its start.
        meter_lines: What its meter has logged, in order.
        events: The first events that it has logged of some kinds.
        empty_rss: Its memory before it held a gateway, in bytes; None where it does not say.
    """

    def __init__(self, testbed: "ScaleTestbed", spec: ScaleProcessSpec) -> None:
        """Start the process."""
        self.role = spec.role
        self.name = spec.name
        self.gateway_count = spec.gateway_count
        self.started_at = time.time()
        self.meter_lines: list[dict[str, Any]] = []
        self.events: list[LogEvent] = []
        self.empty_rss: int | None = None
        self._testbed = testbed
        self._command_descriptor: int | None = None
        arguments = list(spec.arguments)
        descriptors: tuple[int, ...] = ()
        if spec.parameters is not None:
            reading_end, self._command_descriptor = os.pipe()
            descriptors = (reading_end,)
            path = Path(testbed.folder) / f"{spec.name}.{len(testbed.processes)}.json"
            path.write_bytes(orjson.dumps({**spec.parameters, "words": reading_end}))
            arguments.append(str(path))
        meter = orjson.dumps(testbed.files.meter_configuration(spec.role)).decode()
        self.process = Process(
            testbed.scheduler,
            ProcessSpec(
                spec.name,
                arguments,
                testbed.folder,
                {METER_VARIABLE: meter, **spec.environ},
                Build(module=METERED_PROGRAM),
                descriptors=descriptors,
            ),
            self._on_event,
            self._on_ended,
        )
        for descriptor in descriptors:
            os.close(descriptor)

    def command(self, name: str) -> None:
        """Give it a command; no effect on one that takes none, or has ended."""
        if self._command_descriptor is not None and self.process.is_running:
            with contextlib.suppress(BrokenPipeError):
                os.write(self._command_descriptor, name.encode() + b"\n")

    def close(self) -> None:
        """End it for good."""
        self.process.close()
        if self._command_descriptor is not None:
            os.close(self._command_descriptor)
            self._command_descriptor = None

    def usage(self, begin: float, end: float) -> Usage:
        """Return what it spent a second from one Unix time to another.

        A process that starts or ends within counts for its part.
        """
        lines = [
            line
            for line in self.meter_lines
            if begin - METER_INTERVAL_S <= line["at"] <= end + LINE_TOLERANCE_S
        ]
        if not lines:
            return Usage([0.0] * (1 + TRAFFIC_FIGURES), {})
        last = lines[-1]
        first = lines[0]
        if first["at"] >= begin + FIRST_LINE_S:
            first = {"cpu": 0.0, "by": {}, "at": last["at"] - (end - begin)}
        seconds = end - begin
        if last["at"] > end - LAST_LINE_S:
            seconds = max(last["at"] - first["at"], MINIMUM_SECONDS)
        by_kind = {
            kind: [
                (figure - before) / seconds
                for figure, before in zip(
                    row, first["by"].get(kind, [0] * TRAFFIC_FIGURES), strict=True
                )
            ]
            for kind, row in last["by"].items()
        }
        traffic = [sum(row[index] for row in by_kind.values()) for index in range(TRAFFIC_FIGURES)]
        return Usage([(last["cpu"] - first["cpu"]) / seconds, *traffic], by_kind)

    def _on_event(self, _: Process, event: LogEvent) -> None:
        self._testbed.reports.on_event(self, event)

    def _on_ended(self, process: Process) -> None:
        if not process.expected:
            self._testbed.reports.faults.append(
                f"{self.name} ended: exit code {process.popen.returncode}: {process.stderr_tail()}"
            )
