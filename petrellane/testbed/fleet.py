"""A fleet on loopback: gateways, control processes, test doubles, relays and clients.

`LoopbackFleet` is a context: whatever happens within, all its processes have ended after it. Work
with it from the outside through `run_until` and `run_for`, which run the scheduler, or in greenlets
of its scheduler. Gateways and control processes are processes of their own; all else runs in this
process, on one scheduler and one clock.
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

Found = TypeVar("Found")

LAST_PORT = 2000  # ports are given away from the next on
# A flush to a shared disk takes any time, which is not what a run is about.
MEMORY_DISK = Path("/dev/shm")
TURN_MS = 10  # of one turn of the scheduler at most
VOID_STALL_S = 0.5  # after a longer stall, what was seen came in no sure order: the run is void
READY_PATIENCE_S = 20.0
READY_PATIENCE_PER_GATEWAY_S = 0.2
KEY = b"key of one run only"
MAXIMUM_LINE = 160  # characters of an event in the timeline
MAXIMUM_STDERR = 200  # characters of standard error in the timeline
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
    """A fleet of a spec, from its making until `close`.

    Attributes:
        spec: What it is made of.
        settings: The settings that its gateways start with.
        scheduler: Runs all that is in this process.
        addresses: Gives away the ports of its own loopback address.
        folder: Holds all its files.
        key: The key of calls between its processes; `key_file` is its path.
        records: What every party saw.
        counter: The counter.
        discovery: Discovery.
        hosts: The hosts.
        gateways: The gateways.
        controls: The control processes by name.
        relays: The relays between them.
        gateway_connections: What clients know of each gateway.
        clients: The load.
        crashes: Processes that ended in an unexpected way.
        faults: Exceptions in this process.
        longest_stall_s: The longest time for which this process did not run its scheduler while
            there was load.
    """

    def __init__(self, spec: FleetSpec) -> None:
        """Make all parties, and write the gateways' files; no process is started."""
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
        self._turned_at = time.monotonic()
        terms = build_terms(spec, self.settings)
        self.records = Records(terms, self.scheduler.now, self.scheduler.call_later)
        self.records.generation_by_method = spec.proves
        self.relays = FleetRelays(
            self.scheduler, spec.relays, spec.seed, self.addresses, self._is_gateway
        )
        self.counter = FakeCounter(self.scheduler, self.addresses.next_address())
        self.discovery = FakeDiscovery(self.scheduler, self.records, self._row_seen_by)
        self.gateways: list[FleetGateway] = []
        self.controls: dict[str, FleetControl] = {}
        self.hosts = make_hosts(self.scheduler, self.records, self.addresses, spec, self.settings)
        self._list_hosts()
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
        """Why the run proves nothing; "" where it does."""
        if self.longest_stall_s > VOID_STALL_S:
            stall = f"the testbed stood still for {self.longest_stall_s:.2f} s"
            return f"{stall}: this machine is too busy"
        return ""

    def start(self, controls: Sequence[str] = ("control",), ready: bool = True) -> None:
        """Start the gateways, and control processes where settings change through them.

        Args:
            controls: Names of the control processes.
            ready: Whether to wait until all are ready and lead.

        Raises:
            AssertionError: They are not ready in time.
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
        """Run the scheduler for one turn, and note stalls."""
        # Whoever drives the fleet did something else meanwhile: to start a process takes time.
        away = time.monotonic() - self._turned_at
        if away > SETTLE_S:
            self.records.last_stall_turn = self.records.turns
        timeout_ms = self.scheduler.poll_timeout_ms()
        self.scheduler.run_once(TURN_MS if timeout_ms is None else min(TURN_MS, timeout_ms))
        self.records.turns += 1
        stall = away + self.scheduler.longest_turn
        self.scheduler.longest_turn = 0.0
        self._turned_at = time.monotonic()
        if stall > SETTLE_S and (self.clients.on or self.clients.in_flight):
            self.records.note(f"the testbed stood still for {stall:.3f} s")
            self.longest_stall_s = max(self.longest_stall_s, stall)
            self.records.last_stall_turn = self.records.turns

    def run_for(self, seconds: float) -> None:
        """Let so much time go by."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.run_turn()

    def run_until(
        self, condition: Callable[[], Found], description: str, patience: float = 20.0
    ) -> Found:
        """Run until a condition gives something true; return that.

        Args:
            condition: Called after each turn.
            description: What is awaited, for the error.
            patience: Seconds to wait at most.

        Raises:
            AssertionError: It does not hold in time.
        """
        limit = time.monotonic() + patience
        while not (found := condition()):
            if time.monotonic() >= limit:
                raise AssertionError(f"never came: {description}\n{self.timeline()}")
            self.run_turn()
        return found

    def finish_load(self, patience: float = 5.0) -> None:
        """End the load, and wait for the end of what is in flight.

        Raises:
            AssertionError: It does not end in time.
        """
        self.clients.stop()
        self.run_until(lambda: not self.clients.in_flight, "all answers", patience)

    def change_settings(
        self, settings: Settings, patience: float = 15.0, **arguments: object
    ) -> dict[str, Any]:
        """Propose settings to the first control process, and follow the change to its end.

        Returns:
            The change at its end, everywhere where it can be; or the refusal.

        Raises:
            AssertionError: It does not end in time.
        """
        control = next(iter(self.controls.values()))
        change = control.ask("propose", settings=settings, **arguments)
        if "refused" in change:
            return change
        number = change["number"]
        ended = self.run_until(
            lambda: control.ended_change(number), f"an end of change {number}", patience
        )
        return ended or {}

    def agreed_generation(self, names: Collection[str] | None = None) -> int | None:
        """Return the generation that gateways have in force without a doubt.

        Args:
            names: The gateways that are asked; None for all.

        Returns:
            Its number; None where they differ.
        """
        numbers = set()
        for gateway in self.gateways:
            if names is None or gateway.name in names:
                event = gateway.last_event("generation")
                in_doubt = event is None or event["possible"]
                numbers.add(None if event is None or in_doubt else event["number"])
        return numbers.pop() if len(numbers) == 1 else None

    def reach(self, route: Route) -> str:
        """Return where a party reaches another as host:port, through a relay where one is due."""
        return format_address(self._address(route))

    def between(
        self,
        *kinds: str,
        to: Collection[str] | None = None,
        of: Collection[str] | None = None,
    ) -> list[Relay]:
        """Return the relays of these kinds of route, to these parties, of these parties."""
        return self.relays.between(kinds, to, of)

    def partition(self, names: Collection[str]) -> None:
        """Cut a set of gateways from control processes and the other gateways, both ways."""
        self.records.note(f"cut: {', '.join(names)} from the rest")
        self.relays.partition(names)

    def heal(self) -> None:
        """End all faults of relays."""
        self.records.note("all relays healed")
        self.relays.heal()

    def verdict(self) -> invariants.Verdict:
        """Return what the invariants say of the run, generations of settings included."""
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
        """Return what happened last, a line each."""
        return "\n".join(f"{at:8.3f} {text}" for at, text in self.records.timeline[-maximum:])

    def on_event(self, name: str, event: LogEvent) -> None:
        """Take what a process has logged."""
        kind = event["event"]
        if kind in TIMELINE_EVENTS:
            shown = {key: value for key, value in event.items() if key not in HIDDEN_FIELDS}
            self.records.note(f"{name}: {kind} {orjson.dumps(shown).decode()[:MAXIMUM_LINE]}")
        if kind == "fault":
            self.crashes.append(Crash(name, "fault", event.get("trace", event.get("error"))))

    def on_crash(self, process: Process) -> None:
        """Take note that a process ended in an unexpected way."""
        code = process.popen.returncode
        text = process.stderr_tail()
        self.crashes.append(Crash(process.name, code, text))
        self.records.note(f"{process.name} crashed: exit code {code}: {text[-MAXIMUM_STDERR:]}")

    def close(self) -> None:
        """End all processes by their ids, and remove all files."""
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

    def _list_hosts(self) -> None:
        for host in self.hosts:
            host.on_restart = partial(self._follow_host, host.name)
            self.discovery.put(host.name, host.host_port)
            self.records.checker.terms.groups[host.name] = 1, "z"

    def _follow_host(self, name: str) -> None:
        """Let the relays to a host refuse connections until it listens again."""
        for relay in self.between(RouteKind.HOST, to=[name]):
            relay.wait_for_target()

    def _is_gateway(self, name: str) -> bool:
        return any(gateway.name == name for gateway in self.gateways)

    def _are_ready(self) -> bool:
        return all(gateway.ready for gateway in self.gateways) and self.relays.are_listening()

    def _address(self, route: Route) -> Address:
        """Return where a route begins: at its relay, or at its target."""
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
        """Return where a route ends."""
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
        """Return a host of the list with the address at which a gateway is to reach it."""
        route = Route(RouteKind.HOST, gateway, row["name"])
        return {**row, "address": self.reach(route)} if self.relays.has_relay(route) else row

    def _on_exception(self, error: Exception) -> None:
        """Keep an exception of this process: it is a fault of the testbed."""
        self.faults.append("".join(traceback.format_exception(error)[-3:]))


def _ignore() -> None:
    """Do nothing when a host crashes or starts."""
