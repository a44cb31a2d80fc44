"""One gateway of a fleet: its addresses, its configuration file and its process."""

import signal
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from petrellane import invariants
from petrellane.testbed.addresses import format_address
from petrellane.testbed.fleet_relays import Route, RouteKind
from petrellane.testbed.processes import Build, LogEvent, Process, ProcessSpec
from petrellane.testbed.relay import Relay

if TYPE_CHECKING:
    from petrellane.testbed.fleet import LoopbackFleet

LISTEN_BACKLOG = 256


class FleetGateway:
    """One gateway, owned by its fleet; its process can be killed, restarted and hot-restarted.

    Attributes:
        name: The name of the gateway: "g" and the number.
        number: The index of the gateway in the fleet, from 0.
        fleet: The fleet that owns the gateway.
        port: The port on which it serves clients.
        management_port: The port on which it serves operators, control processes and gateways.
        folder: The path of its directory, which also holds its durable state.
        file: The path of its configuration file.
        events: The events that its processes have logged.
        process: The current or last process; None before the first start.
        predecessors: The predecessors that hot restarts have replaced.
        ready: Whether the process serves clients.
        skew_s: The clock skew of the next process, in seconds.
        build: The build that the next process runs.
        environ: The environment variables of the next process.
        listener: The listening socket for clients if the fleet holds it; else None.
    """

    def __init__(self, fleet: "LoopbackFleet", number: int) -> None:
        """Take ports and create the directory, without starting a process."""
        self.name = f"g{number}"
        self.number = number
        self.fleet = fleet
        self.port = fleet.addresses.next_port()
        self.management_port = fleet.addresses.next_port()
        self.folder = str(Path(fleet.folder) / self.name)
        (Path(self.folder) / "state").mkdir(parents=True)
        self.file = str(Path(self.folder) / "config.json")
        self.events: list[LogEvent] = []
        self.process: Process | None = None
        self.predecessors: list[Process] = []
        self.ready = False
        self.skew_s = 0.0
        self.build = Build()
        self.environ: dict[str, str] = {}
        self.listener: socket.socket | None = None
        self._successor_management_port = 0
        if fleet.spec.holds_listeners:
            address = (fleet.addresses.ip, self.port)
            self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
            self._successor_management_port = fleet.addresses.next_port()

    def config(self) -> dict[str, Any]:
        """Return the content of the configuration file."""
        fleet = self.fleet
        config = {
            "name": self.name,
            "listen": self._at(self.port),
            "management": self._at(self.management_port),
            "discovery": fleet.reachable_address(Route(RouteKind.DISCOVERY, self.name, self.name)),
            "counter": fleet.reachable_address(Route(RouteKind.COUNTER, self.name, self.name)),
            "seed": f"{fleet.spec.seed * 1000 + self.number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "index": 1,
                "snapshot": True,
                "endpoints": fleet.discovery.rows_seen_by(self.name),
            },
            "figures": {"hosts": True},
            "settings": {**fleet.settings, "locality": "z"},
        }
        if fleet.spec.agreement:
            config["agreement"] = {
                "key_file": fleet.key_file,
                "state": str(Path(self.folder) / "state"),
                "members": {
                    other.name: other.management_addresses(self.name) for other in fleet.gateways
                },
            }
        return config

    def management_addresses(self, party: str) -> str | list[str]:
        """Return the addresses at which a party reaches the management API of this gateway.

        Args:
            party: The name of the control process or gateway that connects.

        Returns:
            One address; with hot restarts a list of two, of which the second is the successor's.
        """
        address = self.fleet.reachable_address(Route(RouteKind.AGENT, party, self.name))
        if self.listener is None:
            return address
        return [address, self._at(self._successor_management_port)]

    def write_config(self, config: dict[str, Any] | None = None) -> None:
        """Replace the configuration file.

        Args:
            config: The new content; None for the result of `config`.
        """
        new_file = Path(self.file + ".new")
        new_file.write_bytes(orjson.dumps(config or self.config()))
        new_file.rename(self.file)

    def start(self) -> None:
        """Start a process.

        Raises:
            RuntimeError: The previous process is still running.
        """
        if self.process is not None:
            if self.process.is_running:
                raise RuntimeError(
                    f"cannot start {self.name}: its previous process is still running"
                )
            self.process.read_output()  # handles the exit if the scheduler has not reported it yet
            self.process.close()
        self.ready = False
        self.fleet.records.note(f"{self.name} starts")
        self._follow_target()
        self.process = self._run({})

    def replace(self) -> None:
        """Hot-restart the gateway: start a successor, then send SIGTERM to its predecessor.

        Raises:
            AssertionError: The successor does not start in time.
            RuntimeError: No process was started.
        """
        old = self.running_process()
        self.fleet.records.note(f"{self.name} is replaced")
        event_count = len(self.events)
        management = self._at(self._successor_management_port)
        self.process = self._run({"PROXY_MANAGEMENT": management})
        self.predecessors.append(old)
        self.fleet.run_until(
            lambda: any(event["event"] == "started" for event in self.events[event_count:]),
            f"the successor of {self.name} started",
        )
        old.expected = True
        old.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process with SIGKILL: the RPCs that it has received get no answer.

        Raises:
            RuntimeError: No process was started.
        """
        process = self.running_process()
        self.fleet.records.note(f"{self.name} is killed")
        self.ready = False
        process.kill()
        process.popen.wait()
        self._follow_target()
        self._forget()

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        self.fleet.records.note(f"{self.name} is paused")
        self.running_process().pause()
        self._record("paused")

    def resume(self) -> None:
        """Resume the suspended process."""
        self.fleet.records.note(f"{self.name} is resumed")
        self.running_process().resume()
        self._record("resumed")

    def last_event(self, name: str) -> LogEvent | None:
        """Return the latest logged event with a name; None if there is none."""
        return next((event for event in reversed(self.events) if event["event"] == name), None)

    def running_process(self) -> Process:
        """Return the current or last process.

        Raises:
            RuntimeError: No process was started.
        """
        if self.process is None:
            raise RuntimeError(f"{self.name} has no process: it was never started")
        return self.process

    def close(self) -> None:
        """End all processes, and close the listening socket that the fleet holds."""
        for process in (self.process, *self.predecessors):
            if process is not None:
                process.close()
        if self.listener is not None:
            self.listener.close()

    def _at(self, port: int) -> str:
        return format_address((self.fleet.addresses.ip, port))

    def _relays(self) -> list[Relay]:
        """Return the relays in front of the gateway."""
        return self.fleet.between(RouteKind.CLIENT, RouteKind.AGENT, to=[self.name])

    def _follow_target(self) -> None:
        for relay in self._relays():
            relay.wait_for_target()

    def _run(self, environ: dict[str, str]) -> Process:
        variables = {"PROXY_CONFIG": self.file, "TMPDIR": self.folder, **self.environ, **environ}
        descriptors: tuple[int, ...] = ()
        if self.listener is not None:
            descriptors = (self.listener.fileno(),)
            variables["PROXY_LISTEN_FD"] = str(self.listener.fileno())
        spec = ProcessSpec(
            self.name,
            ["serve"],
            self.fleet.folder,
            variables,
            self.build,
            self.skew_s,
            descriptors,
        )
        return Process(self.fleet.scheduler, spec, self._on_event, self._on_ended)

    def _on_event(self, _: Process, event: LogEvent) -> None:
        self.events.append(event)
        self.fleet.on_event(self.name, event)
        if event["event"] == "started":
            self.ready = True

    def _on_ended(self, process: Process) -> None:
        if process is self.process:
            self.ready = False
            self._follow_target()
        if not process.expected and process.popen.returncode:
            self._forget()
            self.fleet.on_crash(process)

    def _forget(self) -> None:
        """Record that the process has ended without answering the RPCs that it had received."""
        self.fleet.discovery.forget(self.name)
        self.fleet.records.on_gateway_killed(self.name)

    def _record(self, event: str) -> None:
        records = self.fleet.records
        records.add(invariants.GatewayLifecycle(records.now(), self.name, event))
