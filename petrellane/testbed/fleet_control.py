"""A control process of a fleet: its files, its process, and calls to it as staff makes them."""

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

Roster = dict[str, str | list[str]]  # gateway names to addresses of their management


class FleetControl:
    """A control process, owned by its fleet.

    Attributes:
        name: Its name.
        port: Where staff reaches it.
        folder: Its own folder.
        file: Its configuration file.
        journal: Its journal.
        events: What its processes have logged.
        process: Its process; None before the first start.
        roster: The gateways that it knows; None for all of the fleet.
        environ: Variables of its next process.
        build: The build that its next process runs.
    """

    def __init__(
        self,
        fleet: "LoopbackFleet",
        name: str,
        journal: str | None = None,
    ) -> None:
        """Take a port and make the folder; nothing is started.

        Args:
            fleet: The fleet that it is of.
            name: Its name.
            journal: The journal of another control process, to go on with; None for its own.
        """
        self.name = name
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
        """Write its file, and start its process."""
        if self.process is not None:
            self.process.read_output()  # its end may not have been reported yet
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
        """Kill it outright.

        Raises:
            RuntimeError: It was never started.
        """
        if self.process is None:
            raise RuntimeError(f"expected a process of {self.name}, found none")
        self._fleet.records.note(f"{self.name} is killed")
        self.process.kill()
        self.process.popen.wait()

    def is_leading(self) -> bool:
        """Return whether one of its processes has led."""
        return any(event["event"] == "leading" for event in self.events)

    def ask(self, command: str, **arguments: object) -> dict[str, Any]:
        """Call it as staff does, and run the fleet until the answer.

        Returns:
            The answer; {"none": why} where there is none.
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
        """Return a change that has ended and is known to all that serve; None before."""
        change = self.ask("change", number=number)
        outcome = change.get("outcome")
        is_known = outcome == "committed" and not change["owed"]
        return change if outcome in ("aborted", "superseded") or is_known else None

    def close(self) -> None:
        """End its process."""
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
            f'name = "{self.name}"',
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
