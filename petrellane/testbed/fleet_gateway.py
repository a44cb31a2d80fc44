"""One gateway of a fleet: its addresses, its configuration file, its process."""

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
    """One gateway, owned by its fleet; its process may be killed, started and succeeded.

    Attributes:
        name: "g" and its number.
        number: Its place in the fleet, from 0.
        fleet: The fleet that it is of.
        port: Where clients reach it.
        management_port: Where staff and other parties reach it.
        folder: Its own folder, with its state.
        file: Its configuration file.
        events: What its processes have logged.
        process: Its process; None before the first start.
        former_processes: Processes that were succeeded.
        ready: Whether its process serves.
        skew_s: Seconds by which the clock of its next process is off.
        build: The build that its next process runs.
        environ: Variables of its next process.
        listener: The clients' listening socket, where the fleet holds it.
    """

    def __init__(self, fleet: "LoopbackFleet", number: int) -> None:
        """Take ports and make the folder; nothing is started."""
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
        self.former_processes: list[Process] = []
        self.ready = False
        self.skew_s = 0.0
        self.build = Build()
        self.environ: dict[str, str] = {}
        self.listener: socket.socket | None = None
        self._successor_management_port = 0
        if fleet.spec.follow:
            address = (fleet.addresses.ip, self.port)
            self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
            self._successor_management_port = fleet.addresses.next_port()

    def config(self) -> dict[str, Any]:
        """Return its configuration, as the file has it."""
        fleet = self.fleet
        config = {
            "name": self.name,
            "listen": self._at(self.port),
            "management": self._at(self.management_port),
            "discovery": fleet.reach(Route(RouteKind.DISCOVERY, self.name, self.name)),
            "counter": fleet.reach(Route(RouteKind.COUNTER, self.name, self.name)),
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
        """Return where a party reaches its management.

        Returns:
            An address; two where one process may succeed another.
        """
        address = self.fleet.reach(Route(RouteKind.AGENT, party, self.name))
        if self.listener is None:
            return address
        return [address, self._at(self._successor_management_port)]

    def write_config(self, config: dict[str, Any] | None = None) -> None:
        """Replace its file; None for the configuration of `config`."""
        new_file = Path(self.file + ".new")
        new_file.write_bytes(orjson.dumps(config or self.config()))
        new_file.rename(self.file)

    def start(self) -> None:
        """Start its process.

        Raises:
            RuntimeError: It runs already.
        """
        if self.process is not None:
            if self.process.is_running:
                raise RuntimeError(f"expected that {self.name} has ended, found it running")
            self.process.read_output()  # its end may not have been reported yet
            self.process.close()
        self.ready = False
        self.fleet.records.note(f"{self.name} starts")
        self._follow_target()
        self.process = self._run({})

    def replace(self) -> None:
        """Start a successor of the running process, which is ended afterwards."""
        old = self.running_process()
        self.fleet.records.note(f"{self.name} is replaced")
        event_count = len(self.events)
        management = self._at(self._successor_management_port)
        self.process = self._run({"PROXY_MANAGEMENT": management})
        self.former_processes.append(old)
        self.fleet.run_until(
            lambda: any(event["event"] == "started" for event in self.events[event_count:]),
            f"{self.name} follows itself",
        )
        old.expected = True
        old.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill it outright: nobody answers what it had received."""
        process = self.running_process()
        self.fleet.records.note(f"{self.name} is killed")
        self.ready = False
        process.kill()
        process.popen.wait()
        self._follow_target()
        self._forget()

    def pause(self) -> None:
        """Stop its process until `resume`."""
        self.fleet.records.note(f"{self.name} is stopped")
        self.running_process().pause()
        self._record("paused")

    def resume(self) -> None:
        """Let its process go on."""
        self.fleet.records.note(f"{self.name} goes on")
        self.running_process().resume()
        self._record("resumed")

    def last_event(self, name: str) -> LogEvent | None:
        """Return the last event of this name; None before the first."""
        return next((event for event in reversed(self.events) if event["event"] == name), None)

    def running_process(self) -> Process:
        """Return its process.

        Raises:
            RuntimeError: It was never started.
        """
        if self.process is None:
            raise RuntimeError(f"expected a process of {self.name}, found none")
        return self.process

    def close(self) -> None:
        """End its processes, and close its listening socket."""
        for process in (self.process, *self.former_processes):
            if process is not None:
                process.close()
        if self.listener is not None:
            self.listener.close()

    def _at(self, port: int) -> str:
        return format_address((self.fleet.addresses.ip, port))

    def _relays(self) -> list[Relay]:
        """Return the relays that lead to it."""
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
        """Take note that its process has ended without answering what it had received."""
        self.fleet.discovery.forget(self.name)
        self.fleet.records.on_gateway_killed(self.name)

    def _record(self, event: str) -> None:
        records = self.fleet.records
        records.add(invariants.GatewayLifecycle(records.now(), self.name, event))
