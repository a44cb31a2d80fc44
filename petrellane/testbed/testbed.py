"""The processes of a scale run: starts them, sends them commands, and ends them.

The package `scale` decides what to run and evaluates the figures. A caller calls `start`, `run`,
`finish_load` and `close` in this order; `close` ends all processes, also after an error.
"""

import os
import shutil
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from functools import cached_property, partial
from pathlib import Path

from petrellane.net.scheduler import Scheduler
from petrellane.testbed.addresses import AddressPool
from petrellane.testbed.fleet_spec import Settings
from petrellane.testbed.scale_changes import CHANGE_TIMEOUT_S, SettingsChanges
from petrellane.testbed.scale_files import ScaleFiles, ScaleParameters, gateway_names
from petrellane.testbed.scale_process import ScaleProcess, ScaleProcessSpec
from petrellane.testbed.scale_reports import ScaleReports

LAST_PORT = 9999  # the address pool assigns ports above this one
# Files are kept in memory, as the gateways of a real fleet do not share one disk.
MEMORY_DISK = Path("/dev/shm")
READY_PATIENCE_S = 120.0  # for all gateways
SERVICES_PATIENCE_S = 20.0  # for the test doubles
MAX_POLL_MS = 10  # maximum poll timeout of one scheduler turn
WARM_UP_S = 1.0  # between the start and the steady phase
LAST_LINES_S = 1.6  # long enough for each meter to report once more
MAXIMUM_FAULTS_SHOWN = 3


class ScaleRunError(Exception):
    """A scale run could not be started; the message is one line."""


class ScaleTestbed:
    """All processes of a scale run, and their reports; owned by the caller of the run.

    Attributes:
        parameters: The sizes of the run.
        scheduler: The scheduler of this process.
        folder: The path of the directory that holds all files of the run.
        addresses: The pool that assigns ports of the run's loopback address.
        processes: The processes that were started.
        names: The names of all gateways, the hollow gateways first.
        reports: The reports of the processes.
        changes: The changes of settings.
        longest_turn_s: The longest scheduler turn of this process in the steady phase, in seconds.
    """

    def __init__(
        self,
        parameters: ScaleParameters,
        numbers_by_process: Sequence[Sequence[int]],
        settings_of: Callable[[int], Settings],
    ) -> None:
        """Create the directory, without starting a process.

        Args:
            parameters: The sizes of the run.
            numbers_by_process: The numbers of the hollow gateways in each of their processes.
            settings_of: The function that returns the settings after a number of changes.
        """
        self.parameters = parameters
        self.scheduler = Scheduler()
        self.scheduler.exception_handler = self._on_exception
        self.folder = tempfile.mkdtemp(
            prefix=f"petrellane-scale-{os.getpid()}-",
            dir=MEMORY_DISK if MEMORY_DISK.is_dir() else None,
        )
        self.addresses = AddressPool(LAST_PORT)
        self.processes: list[ScaleProcess] = []
        self.names = gateway_names(parameters)
        self.reports = ScaleReports(self.names, parameters.hosts)
        self.changes = SettingsChanges(self, settings_of)
        self.longest_turn_s = 0.0
        self._numbers_by_process = numbers_by_process
        self._settings_of = settings_of

    @cached_property
    def files(self) -> ScaleFiles:
        """The addresses and files of the run, created at first use."""
        return ScaleFiles(self.parameters, self.folder, self.addresses, self._settings_of(0))

    def processes_of_role(self, role: str) -> list[ScaleProcess]:
        """Return the processes with a role."""
        return [process for process in self.processes if process.role == role]

    def command_all(self, name: str) -> None:
        """Send a command to all processes."""
        for process in self.processes:
            process.command(name)

    def start(self) -> None:
        """Start all processes, and wait until they are ready.

        Raises:
            ScaleRunError: A process is not ready in time, or reports a fault.
        """
        hollow = self.parameters.hollow
        ready = self.reports.ready_after
        self._start_services()
        for _ in self._start_hollow(at_rest=True):
            self._run_turn()
        self._run_until(lambda: len(ready) >= hollow, "all hollow gateways ready", READY_PATIENCE_S)
        self._start_real()
        self._run_until(
            lambda: len(ready) >= len(self.names), "all real gateways ready", READY_PATIENCE_S
        )
        if self.parameters.agreement:
            path = self.files.write_control()
            control = self._start(ScaleProcessSpec("control", "control", ["control", path]))
            self._run_until(
                lambda: any(event["event"] == "leading" for event in control.events),
                "control leads",
                READY_PATIENCE_S,
            )
        self._run_for(WARM_UP_S)

    def run(self) -> tuple[float, float]:
        """Run the steady phase, and return the Unix times at which it begins and ends."""
        begin = time.time()
        self.longest_turn_s = 0.0
        self.command_all("begin")
        if self.parameters.settings_changes:
            self.scheduler.spawn(self.changes.run)
        if self.parameters.restart_at:
            restart = partial(self.scheduler.spawn, self._restart)
            self.scheduler.call_later(self.parameters.restart_at, restart)
        self._run_for(self.parameters.seconds)
        return begin, time.time()

    def finish_load(self) -> None:
        """End the load, and wait until pending changes have ended and meters have reported."""
        self.command_all("quiet")
        limit = time.monotonic() + CHANGE_TIMEOUT_S
        expected = self.parameters.settings_changes
        while len(self.changes.proposed) < expected and time.monotonic() < limit:
            self._run_turn()
        self._run_for(LAST_LINES_S)

    def close(self) -> None:
        """End all processes of the run, and remove all files."""
        for process in self.processes:
            process.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start(self, spec: ScaleProcessSpec) -> ScaleProcess:
        process = ScaleProcess(self, spec)
        self.processes.append(process)
        return process

    def _start_services(self) -> None:
        discovery = self.files.discovery_parameters()
        counter = self.files.counter_parameters()
        self._start(ScaleProcessSpec("discovery", "discovery", ["discovery"], discovery))
        self._start(ScaleProcessSpec("counter", "counter", ["counter"], counter))
        self._run_until(
            self._have_services_started,
            "fake counter and fake discovery started",
            SERVICES_PATIENCE_S,
        )

    def _have_services_started(self) -> bool:
        return all(
            process.events and process.events[-1]["event"] == "started"
            for process in self.processes
        )

    def _start_hollow(self, at_rest: bool) -> Iterator[ScaleProcess]:
        """Start the processes of all hollow gateways, one per iteration.

        Args:
            at_rest: Whether the gateways start with the endpoint list and the settings of a fleet
                in steady state.

        Yields:
            The started process.
        """
        path = ""
        if self.parameters.hollow:
            path = self.files.write_gateway(f"hollow-{at_rest}.json", "g0", at_rest)
        for index, numbers in enumerate(self._numbers_by_process):
            yield self._start(
                ScaleProcessSpec(
                    "hollow",
                    f"hollow{index}",
                    ["hollow"],
                    self.files.hollow_parameters(path, numbers, at_rest),
                    gateway_count=len(numbers),
                )
            )

    def _start_real(self) -> None:
        for name in self.names[self.parameters.hollow :]:
            path = self.files.write_gateway(f"{name}.json", name, has_list=True)
            environ = {"PROXY_CONFIG": path, "TMPDIR": self.folder}
            self._start(ScaleProcessSpec("real", name, ["serve"], environ=environ))
            self._run_turn()

    def _restart(self) -> None:
        """Kill all hollow gateways, and restart them with only their durable state.

        The method runs in a greenlet and yields to the scheduler between two processes.
        """
        for process in self.processes_of_role("hollow"):
            process.process.kill()
        for name in self.names[: self.parameters.hollow]:
            self.reports.ready_after.pop(name, None)
        self.reports.first_lists.clear()
        for process in self._start_hollow(at_rest=False):
            process.command("begin")
            self.scheduler.wait(0)

    def _run_turn(self) -> None:
        began = time.monotonic()
        timeout_ms = self.scheduler.poll_timeout_ms()
        self.scheduler.run_once(MAX_POLL_MS if timeout_ms is None else min(MAX_POLL_MS, timeout_ms))
        self.longest_turn_s = max(self.longest_turn_s, time.monotonic() - began)

    def _run_for(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._run_turn()

    def _run_until(self, condition: Callable[[], bool], description: str, patience: float) -> None:
        """Run the scheduler until a condition holds.

        Args:
            condition: The function that is called before each turn.
            description: The awaited state, for the error message.
            patience: The timeout, in seconds.

        Raises:
            ScaleRunError: The condition does not hold in time, or a process has reported a fault.
        """
        limit = time.monotonic() + patience
        while not condition():
            if time.monotonic() > limit or self.reports.faults:
                faults = "".join(
                    f"; {fault}" for fault in self.reports.faults[:MAXIMUM_FAULTS_SHOWN]
                )
                raise ScaleRunError(f"timed out or failed while waiting for: {description}{faults}")
            self._run_turn()

    def _on_exception(self, error: Exception) -> None:
        self.reports.faults.append(f"a fault of the testbed: {error!r}")
