"""A control process of a fleet: its files, its operating system process, and calls to it."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from petrellane.config_consensus import message_authentication, rpc_client
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.processes import Build, LogEvent, Process, ProcessSpec

if TYPE_CHECKING:
    from petrellane.testbed.fleet import LoopbackFleet

CALL_TIMEOUT_S = 3.0
ANSWER_PATIENCE_S = 6.0

Roster = dict[str, str | list[str]]  # management addresses by gateway name


class FleetControl:
    """A control process, owned by its fleet.

    Attributes:
        name: The name of the control process in the fleet.
        configured_name: The name in its configuration file, which another one may have too.
        port: The port on which it serves calls.
        folder: The path of its directory.
        file: The path of its configuration file.
        journal: The path of its journal.
        events: The events that its processes have logged.
        process: The current or last process; None before the first start.
        roster: The gateways in its configuration; None for all gateways of the fleet.
        environ: The environment variables of the next process.
        build: The build that the next process runs.
    """

    def __init__(
        self,
        fleet: "LoopbackFleet",
        name: str,
        journal: str | None = None,
    ) -> None:
        """Take a port and create the directory, without starting a process.

        Args:
            fleet: The fleet that owns the control process.
            name: The name of the control process.
            journal: The path of another control process's journal to continue; None for a journal
                in the directory of this control process.
        """
        self.name = name
        self.configured_name = name
        self.port = fleet.addresses.next_port()
        self.folder = str(Path(fleet.folder) / name)
        Path(self.folder).mkdir(exist_ok=True)
        self.file = str(Path(self.folder) / "control.toml")
        self.journal = journal or str(Path(self.folder) / "journal.db")
        self.events: list[LogEvent] = []
        self.process: Process | None = None
        self.roster: Roster | None = None
        self.environ: dict[str, str] = {}
        self.build = Build()
        self._fleet = fleet

    def start(self) -> None:
        """Write the configuration file, and start a process."""
        if self.process is not None:
            self.process.read_output()  # handles the exit if the scheduler has not reported it yet
            self.process.close()
        self._write_config()
        self._fleet.records.note(f"{self.name} starts")
        self.events.append({"event": "begins"})
        spec = ProcessSpec(
            self.name,
            ["control", self.file],
            self._fleet.folder,
            self.environ,
            self.build,
        )
        self.process = Process(self._fleet.scheduler, spec, self._on_event, self._on_ended)

    def kill(self) -> None:
        """Kill the process with SIGKILL.

        Raises:
            RuntimeError: No process was started.
        """
        if self.process is None:
            raise RuntimeError(f"{self.name} has no process: it was never started")
        self._fleet.records.note(f"{self.name} is killed")
        self.process.kill()
        self.process.popen.wait()

    def is_leading(self) -> bool:
        """Return whether a process of this control process has become the leader."""
        return any(event["event"] == "leading" for event in self.events)

    def ask(self, command: str, **arguments: object) -> dict[str, Any]:
        """Make the same call as an operator, and run the fleet until the answer arrives.

        Args:
            command: The command.
            **arguments: Further fields of the message.

        Returns:
            The answer; {"none": reason} if the call failed.

        Raises:
            AssertionError: The call does not end in time.
        """
        client = rpc_client.RpcClient(self._fleet.scheduler, LIMITS, self._fleet.key)
        message = {"do": command, "to": "control", **arguments}
        answers: list[dict[str, Any]] = []

        def call() -> None:
            address = (self._fleet.addresses.ip, self.port)
            path = message_authentication.STAFF_PATH
            try:
                answers.append(client.call(address, path, message, CALL_TIMEOUT_S))
            except rpc_client.RpcError as error:
                answers.append({"none": str(error)})

        self._fleet.scheduler.spawn(call)
        self._fleet.run_until(
            lambda: answers, "an answer of the control process", ANSWER_PATIENCE_S
        )
        return answers[0]

    def ended_change(self, number: int) -> dict[str, Any] | None:
        """Return a change that is complete; None before.

        A committed change is complete once all serving gateways know it; an aborted or superseded
        change is complete immediately.
        """
        change = self.ask("change", number=number)
        outcome = change.get("outcome")
        is_known = outcome == "committed" and not change["owed"]
        return change if outcome in ("aborted", "superseded") or is_known else None

    def close(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.close()

    def _write_config(self) -> None:
        roster = self.roster
        if roster is None:
            roster = {
                gateway.name: gateway.management_addresses(self.name)
                for gateway in self._fleet.gateways
            }
        lines = [
            f'name = "{self.configured_name}"',
            f'listen = "{self._fleet.addresses.ip}:{self.port}"',
            f'journal = "{self.journal}"',
            f'key_file = "{self._fleet.key_file}"',
            "",
            "[gateways]",
        ]
        lines += [f"{name} = {orjson.dumps(address).decode()}" for name, address in roster.items()]
        Path(self.file).write_text("".join(f"{line}\n" for line in lines))

    def _on_event(self, _: Process, event: LogEvent) -> None:
        self.events.append(event)
        self._fleet.on_event(self.name, event)

    def _on_ended(self, process: Process) -> None:
        if not process.expected and process.popen.returncode:
            self._fleet.on_crash(process)
