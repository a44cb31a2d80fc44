"""A fleet on loopback: gateways, control processes, test doubles, relays and clients.

`LoopbackFleet` is a context manager that ends all its processes on exit, also after an exception.
A caller drives the fleet with `run_until` and `run_for`, which run the scheduler, or from greenlets
of that scheduler. Each gateway and each control process is a separate operating system process; the
test doubles, relays and clients run in this process and share one scheduler and one clock.
"""

import shutil
import tempfile
import time
import traceback
from collections.abc import Callable, Collection, Sequence
from functools import partial
from pathlib import Path
from typing import Any, Self, TypeVar

import orjson

from petrellane import invariants
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address
from petrellane.testbed.addresses import AddressPool, format_address
from petrellane.testbed.clients import Clients, GatewayConnections, Load
from petrellane.testbed.endpoint_rows import EndpointRow
from petrellane.testbed.fake_counter import FakeCounter
from petrellane.testbed.fake_discovery import FakeDiscovery
from petrellane.testbed.fake_host import FakeHost
from petrellane.testbed.fleet_control import FleetControl
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_hosts import make_hosts
from petrellane.testbed.fleet_relays import FleetRelays, Route, RouteKind
from petrellane.testbed.fleet_spec import (
    FleetSpec,
    Settings,
    SettingsSpec,
    build_settings,
    build_terms,
)
from petrellane.testbed.processes import Crash, LogEvent, Process
from petrellane.testbed.records import SETTLE_S, Records
from petrellane.testbed.relay import Relay

Result = TypeVar("Result")

LAST_PORT = 2000  # the address pool assigns ports above this one
# Files are kept in memory because the duration of a flush to a shared disk is unpredictable.
MEMORY_DISK = Path("/dev/shm")
MAX_POLL_MS = 10  # maximum poll timeout of one scheduler turn
MAX_STALL_S = 0.5  # after a longer stall the order of observations is unreliable: the run is void
READY_PATIENCE_S = 20.0
READY_PATIENCE_PER_GATEWAY_S = 0.2
KEY = b"key of one run only"
MAX_EVENT_LENGTH = 160  # characters of an event that the timeline shows
MAX_STDERR_LENGTH = 200  # characters of standard error that the timeline shows
TIMELINE_EVENTS = frozenset(
    {
        "fault",
        "generation",
        "stood_still",
        "agreement_refused",
        "drift",
        "not_on_roster",
        "leading",
        "deposed",
        "reload_rejected",
        "agreed",
    }
)
HIDDEN_FIELDS = frozenset({"at", "gateway", "event", "trace", "digest"})


class LoopbackFleet:
    """The processes, test doubles, relays and clients of one fleet, which it owns until `close`.

    Attributes:
        spec: The description of the fleet.
        settings: The settings with which the gateways start.
        scheduler: The scheduler of everything that runs in this process.
        addresses: The pool that assigns addresses and ports of the fleet's loopback address.
        folder: The path of the directory that holds all files of the fleet.
        key: The key that authenticates calls between the processes of the fleet.
        key_file: The path of the file that holds the key.
        records: The observations of all parties.
        counter: The test double of the counter.
        discovery: The test double of discovery.
        hosts: The test doubles of the hosts.
        gateways: The gateways, in order of their numbers.
        controls: The control processes by name.
        relays: The relays between the parties.
        gateway_connections: The clients' view of each gateway.
        clients: The clients, which generate the load.
        crashes: The processes that ended unexpectedly or logged a fault.
        faults: The tracebacks of exceptions in this process.
        longest_stall_s: The longest time, in seconds, for which this process did not run its
            scheduler under load.
    """

    def __init__(self, spec: FleetSpec) -> None:
        """Create all parties and write the gateways' files, without starting a process."""
        self.spec = spec
        self.settings: Settings = spec.settings or build_settings(SettingsSpec(spec.gateways))
        self.scheduler = Scheduler()
        self.scheduler.exception_handler = self._on_exception
        self.addresses = AddressPool(LAST_PORT)
        self.folder = tempfile.mkdtemp(
            prefix="petrellane-lab-", dir=MEMORY_DISK if MEMORY_DISK.is_dir() else None
        )
        self.key = KEY
        self.key_file = str(Path(self.folder) / "key")
        Path(self.key_file).write_bytes(self.key)
        self.faults: list[str] = []
        self.crashes: list[Crash] = []
        self.longest_stall_s = 0.0
        self._last_turn_at = time.monotonic()
        terms = build_terms(spec, self.settings)
        self.records = Records(terms, self.scheduler.now, self.scheduler.call_later)
        self.records.generation_by_method = spec.generation_by_method
        self.relays = FleetRelays(
            self.scheduler, spec.relays, spec.seed, self.addresses, self._is_gateway
        )
        self.counter = FakeCounter(self.scheduler, self.addresses.next_address())
        self.discovery = FakeDiscovery(self.scheduler, self.records, self._row_seen_by)
        self.gateways: list[FleetGateway] = []
        self.controls: dict[str, FleetControl] = {}
        self.hosts = make_hosts(self.scheduler, self.records, self.addresses, spec, self.settings)
        self._register_hosts()
        for number in range(spec.gateways):
            self.gateways.append(FleetGateway(self, number))
        self.gateway_connections: list[GatewayConnections] = []
        for gateway in self.gateways:
            gateway.write_config()
            route = Route(RouteKind.CLIENT, gateway.name, gateway.name)
            self.gateway_connections.append(GatewayConnections(gateway.name, self._address(route)))
        load = Load(spec.rate, spec.methods, spec.customers_or_default())
        self.clients = Clients(
            self.scheduler, self.records, self.gateway_connections, load, spec.seed
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def void(self) -> str:
        """The reason why the run is inconclusive; "" for a conclusive run."""
        if self.longest_stall_s > MAX_STALL_S:
            stall = f"the testbed stalled for {self.longest_stall_s:.2f} s"
            return f"{stall}: this machine is too busy"
        return ""

    def start(self, controls: Sequence[str] = ("control",), ready: bool = True) -> None:
        """Start the gateways and, if the spec has `agreement`, the control processes.

        Args:
            controls: The names of the control processes.
            ready: Whether to wait until all gateways are ready and each control process has led.

        Raises:
            AssertionError: A gateway is not ready in time, or a control process does not lead.
        """
        for gateway in self.gateways:
            gateway.start()
        for name in controls if self.spec.agreement else ():
            self.controls[name] = FleetControl(self, name)
            self.controls[name].start()
        if not ready:
            return
        patience = READY_PATIENCE_S + len(self.gateways) * READY_PATIENCE_PER_GATEWAY_S
        self.run_until(self._are_ready, "all gateways ready", patience)
        for control in self.controls.values():
            self.run_until(control.is_leading, f"{control.name} leads", patience)

    def run_turn(self) -> None:
        """Run the scheduler for one turn, and record stalls."""
        # The caller may have done other work since the last turn, such as starting a process.
        idle_s = time.monotonic() - self._last_turn_at
        if idle_s > SETTLE_S:
            self.records.last_stall_turn = self.records.turns
        timeout_ms = self.scheduler.poll_timeout_ms()
        self.scheduler.run_once(MAX_POLL_MS if timeout_ms is None else min(MAX_POLL_MS, timeout_ms))
        self.records.turns += 1
        stall = idle_s + self.scheduler.longest_turn
        self.scheduler.longest_turn = 0.0
        self._last_turn_at = time.monotonic()
        if stall > SETTLE_S and (self.clients.on or self.clients.in_flight):
            self.records.note(f"the testbed stalled for {stall:.3f} s")
            self.longest_stall_s = max(self.longest_stall_s, stall)
            self.records.last_stall_turn = self.records.turns

    def run_for(self, seconds: float) -> None:
        """Run the scheduler for a number of seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.run_turn()

    def run_until(
        self, condition: Callable[[], Result], description: str, patience: float = 20.0
    ) -> Result:
        """Run the scheduler until a condition returns a true value, and return this value.

        Args:
            condition: The function that is called before each turn.
            description: The awaited state, for the error message.
            patience: The timeout, in seconds.

        Raises:
            AssertionError: The condition does not hold in time.
        """
        limit = time.monotonic() + patience
        while not (found := condition()):
            if time.monotonic() >= limit:
                raise AssertionError(f"timed out waiting for: {description}\n{self.timeline()}")
            self.run_turn()
        return found

    def finish_load(self, patience: float = 5.0) -> None:
        """End the load, and wait until no RPC is in flight.

        Args:
            patience: The timeout, in seconds.

        Raises:
            AssertionError: RPCs are still in flight after the timeout.
        """
        self.clients.stop()
        self.run_until(lambda: not self.clients.in_flight, "answers to all RPCs", patience)

    def change_settings(
        self, settings: Settings, patience: float = 15.0, **arguments: object
    ) -> dict[str, Any]:
        """Propose settings to the first control process, and wait for the outcome.

        Args:
            settings: The proposed settings.
            patience: The timeout, in seconds.
            **arguments: Further fields of the proposal.

        Returns:
            The change once it has its outcome and, if it is committed, all serving gateways know
            it; the answer of the control process if it refuses the proposal.

        Raises:
            AssertionError: The change has no such outcome in time.
        """
        control = next(iter(self.controls.values()))
        change = control.ask("propose", settings=settings, **arguments)
        if "refused" in change:
            return change
        number = change["number"]
        ended = self.run_until(
            lambda: control.ended_change(number), f"the outcome of change {number}", patience
        )
        return ended or {}

    def agreed_generation(self, names: Collection[str] | None = None) -> int | None:
        """Return the generation of the settings that gateways have in force.

        Args:
            names: The names of the gateways to compare; None for all.

        Returns:
            The number of the generation; None if the gateways differ, or if one of them has
            reported no generation or has a prepared one.
        """
        numbers = set()
        for gateway in self.gateways:
            if names is None or gateway.name in names:
                event = gateway.last_event("generation")
                in_doubt = event is None or event["possible"]
                numbers.add(None if event is None or in_doubt else event["number"])
        return numbers.pop() if len(numbers) == 1 else None

    def reachable_address(self, route: Route) -> str:
        """Return the address, as host:port, at which a route begins: its relay or its target."""
        return format_address(self._address(route))

    def between(
        self,
        *kinds: str,
        to: Collection[str] | None = None,
        of: Collection[str] | None = None,
    ) -> list[Relay]:
        """Return the relays of some kinds of route.

        Args:
            *kinds: The kinds of route.
            to: The targets of the routes; None for all.
            of: The sources of the routes; None for all.
        """
        return self.relays.between(kinds, to, of)

    def partition(self, names: Collection[str]) -> None:
        """Separate some gateways from the control processes and the other gateways."""
        self.records.note(f"cut: {', '.join(names)} from the rest")
        self.relays.partition(names)

    def heal(self) -> None:
        """End all faults of all relays."""
        self.records.note("all relays healed")
        self.relays.heal()

    def verdict(self) -> invariants.Verdict:
        """Return the verdict of the invariant checker, also on the generations of the settings."""
        for control in self.controls.values():
            if control.process is not None and control.process.is_running:
                for generation in control.ask("history").get("history", ()):
                    self.records.add(
                        invariants.GenerationDecided(
                            self.records.now(),
                            generation["number"],
                            generation["outcome"] != "aborted",
                        )
                    )
        verdict: invariants.Verdict = self.records.close()
        return verdict

    def timeline(self, maximum: int = 60) -> str:
        """Return the latest events of the run, one per line."""
        return "\n".join(f"{at:8.3f} {text}" for at, text in self.records.timeline[-maximum:])

    def on_event(self, name: str, event: LogEvent) -> None:
        """Handle an event that a process has logged."""
        kind = event["event"]
        if kind in TIMELINE_EVENTS:
            shown = {key: value for key, value in event.items() if key not in HIDDEN_FIELDS}
            self.records.note(f"{name}: {kind} {orjson.dumps(shown).decode()[:MAX_EVENT_LENGTH]}")
        if kind == "fault":
            self.crashes.append(Crash(name, "fault", event.get("trace", event.get("error"))))

    def on_crash(self, process: Process) -> None:
        """Record that a process ended unexpectedly."""
        code = process.popen.returncode
        text = process.stderr_tail()
        self.crashes.append(Crash(process.name, code, text))
        self.records.note(f"{process.name} crashed: exit code {code}: {text[-MAX_STDERR_LENGTH:]}")

    def close(self) -> None:
        """End all processes of the fleet, close the test doubles, and remove all files."""
        for gateway in self.gateways:
            gateway.close()
        for control in self.controls.values():
            control.close()
        for host in self.hosts:
            host.on_restart = _ignore
        for relay in self.relays.all():
            relay.close()
        for host in self.hosts:
            host.close()
        self.counter.close()
        self.discovery.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _register_hosts(self) -> None:
        for host in self.hosts:
            host.on_restart = partial(self._follow_host, host.name)
            self.discovery.put(host.name, host.host_port)
            self.records.checker.parameters.groups[host.name] = 1, "z"

    def _follow_host(self, name: str) -> None:
        """Make the relays to a host refuse connections while the host does not listen."""
        for relay in self.between(RouteKind.HOST, to=[name]):
            relay.wait_for_target()

    def _is_gateway(self, name: str) -> bool:
        return any(gateway.name == name for gateway in self.gateways)

    def _are_ready(self) -> bool:
        return all(gateway.ready for gateway in self.gateways) and self.relays.are_listening()

    def _address(self, route: Route) -> Address:
        """Return the address of a route's relay, or of its target if it has no relay."""
        if not self.relays.has_relay(route):
            return self._target(route)
        relay = self.relays.by_route.get(route)
        if relay is None:
            relay = self.relays.make(route, self._target(route))
            if route.kind is RouteKind.HOST:
                host = self._host(route.target)
                relay.on_client_closed = host.on_peer_closed
                relay.on_forwarded = host.relayed_at.__setitem__
        return relay.address

    def _target(self, route: Route) -> Address:
        """Return the address of a route's target."""
        if route.kind is RouteKind.COUNTER:
            return self.counter.address
        if route.kind is RouteKind.DISCOVERY:
            address = self.addresses.next_address()
            return self.discovery.listener_for(route.source, address).address
        if route.kind is RouteKind.HOST:
            return self._host(route.target).address
        gateway = next(gateway for gateway in self.gateways if gateway.name == route.target)
        is_client = route.kind is RouteKind.CLIENT
        return self.addresses.ip, gateway.port if is_client else gateway.management_port

    def _host(self, name: str) -> FakeHost:
        return next(host for host in self.hosts if host.name == name)

    def _row_seen_by(self, gateway: str, row: EndpointRow) -> EndpointRow:
        """Return a row of the endpoint list with the address that a gateway has to use."""
        route = Route(RouteKind.HOST, gateway, row["name"])
        return (
            {**row, "address": self.reachable_address(route)}
            if self.relays.has_relay(route)
            else row
        )

    def _on_exception(self, error: Exception) -> None:
        """Record an exception of this process as a fault of the testbed."""
        self.faults.append("".join(traceback.format_exception(error)[-3:]))


def _ignore() -> None:
    """Ignore that a host crashes or starts."""
