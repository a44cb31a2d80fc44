"""Executes the steps of a run in a fleet at their scheduled times, and undoes those that end.

A step that can be undone returns a function that undoes it. Healing a relay ends all of its faults:
if two faults overlap at a relay, the end of the first one heals both.
"""

import signal
from collections.abc import Callable
from functools import partial

from petrellane.testbed.fake_discovery import FakeDiscovery
from petrellane.testbed.fake_host import FakeHost
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_control import FleetControl
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_relays import RouteKind
from petrellane.testbed.run_file import RELAY_FAULTS, ROUTE_KINDS, RunFile, Step, settings_of

Undo = Callable[[], object]
Party = FleetGateway | FakeHost | FleetControl


class StepRunner:
    """Executes the steps of one run; lives as long as its fleet."""

    def __init__(self, fleet: LoopbackFleet, run: RunFile) -> None:
        """Initialize the runner without scheduling a step."""
        self._fleet = fleet
        self._run = run

    def begin(self) -> None:
        """Set a timer for each step, whose time is relative to this call."""
        for step in self._run.step:
            self._after(step.at, partial(self._begin_step, step))

    def _after(self, seconds: float, call: Undo) -> None:
        """Call a function in a new greenlet after some seconds."""
        scheduler = self._fleet.scheduler
        scheduler.call_later(seconds, partial(scheduler.spawn, call))

    def _begin_step(self, step: Step) -> None:
        """Execute a step, and set a timer for its end."""
        undo = self._execute(step)
        if step.length and undo is not None:
            self._after(step.length, partial(self._end_step, step, undo))

    def _end_step(self, step: Step, undo: Undo) -> None:
        self._fleet.records.note(f"{step.do} ends: {', '.join(step.who)}")
        undo()

    def _execute(self, step: Step) -> Undo | None:
        """Execute a step, and return the function that undoes it; None if there is none."""
        fleet = self._fleet
        routes = step.between if step.do in RELAY_FAULTS else ()
        fleet.records.note(" ".join([step.do, *step.who, *routes]))
        if step.do in RELAY_FAULTS:
            return self._inject_relay_fault(step)
        if step.do == "split":
            fleet.partition(step.who)
            return fleet.heal
        if step.do == "rate":
            undo = partial(setattr, fleet.clients, "rate", fleet.clients.rate)
            fleet.clients.rate = step.size
            return undo
        if step.do == "propose":
            settings = settings_of(self._run.lab, attempts=int(step.size))
            fleet.controls["control"].ask("propose", settings=settings)
            return None
        if step.do.startswith(("counter", "discovery")):
            return self._execute_at_service(step.do)
        undos = [self._execute_at_party(step, party) for party in self._parties(step)]
        return partial(_call_all, [undo for undo in undos if undo is not None])

    def _parties(self, step: Step) -> list[Party]:
        fleet = self._fleet
        by_name: dict[str, Party] = {gateway.name: gateway for gateway in fleet.gateways}
        by_name |= {host.name: host for host in fleet.hosts}
        by_name |= fleet.controls
        return [by_name[name] for name in step.who if name in by_name]

    def _inject_relay_fault(self, step: Step) -> Undo:
        """Inject a fault into the relays to the step's parties, and return how to undo it.

        Without parties the fault affects all relays of the step's routes. On routes to hosts, it
        also affects the relays from the parties.
        """
        kinds = [ROUTE_KINDS[name] for name in step.between]
        relays = self._fleet.between(*kinds, to=step.who or None)
        if step.who and RouteKind.HOST in kinds:
            relays += self._fleet.between(RouteKind.HOST, of=step.who)
        for relay in relays:
            relay.fault(step.do, step.size)
        return partial(_call_all, [relay.heal for relay in relays])

    def _execute_at_service(self, name: str) -> Undo | None:
        """Execute a step at the counter or discovery, and return the function that undoes it."""
        counter = self._fleet.counter
        discovery = self._fleet.discovery
        if name == "counter forgets":
            counter.forget()
            return None
        if name == "counter quiet":
            counter.unresponsive = True
            return partial(setattr, counter, "quiet", False)
        if name == "counter refuses":
            counter.refuses = True
            return partial(setattr, counter, "refuses", False)
        discovery.unresponsive = True
        return partial(_restore_discovery, discovery)

    def _execute_at_party(self, step: Step, party: Party) -> Undo | None:
        """Execute a step at a gateway, host or control process; return how to undo it."""
        if isinstance(party, FakeHost):
            return self._execute_at_host(step, party)
        if step.do == "kill":
            party.kill()
            return party.start
        if isinstance(party, FleetGateway):
            if step.do == "term":
                party.running_process().signal(signal.SIGTERM)
                return partial(_start_if_ended, party)
            if step.do == "stop":
                party.pause()
                return party.resume
            if step.do == "old file":
                # Restores the file of the first start, with the settings from before all changes.
                party.kill()
                party.write_config()
                party.start()
                return None
        if step.do == "start":
            _start_if_ended(party)
        return None

    def _execute_at_host(self, step: Step, host: FakeHost) -> Undo | None:
        """Execute a step at a host, and return the function that undoes it."""
        discovery = self._fleet.discovery
        if step.do == "kill":
            host.crash()
            self._fleet.scheduler.call_later(
                discovery.notification_delay_s,
                partial(discovery.put, host.name, host.host_port, "terminated"),
            )
            return partial(_start_host, host, discovery)
        if step.do == "start":
            _start_host(host, discovery)
            return None
        if step.do == "drain":
            discovery.put(host.name, host.host_port, "terminating")
            return partial(discovery.put, host.name, host.host_port)
        before = (host.slowdown, host.error_rate, host.silent)
        if step.do == "slow":
            host.slowdown = step.size
        elif step.do == "fail":
            host.error_rate = step.size
        else:
            host.silent = True
        return partial(_restore_host, step.do, host, before)


def _call_all(undos: list[Undo]) -> None:
    for undo in undos:
        undo()


def _restore_discovery(discovery: FakeDiscovery) -> None:
    """Make discovery answer again, including the watches that it holds."""
    discovery.unresponsive = False
    discovery.notify()


def _start_if_ended(party: FleetGateway | FleetControl) -> None:
    if party.process is not None and not party.process.is_running:
        party.start()


def _start_host(host: FakeHost, discovery: FakeDiscovery) -> None:
    """Restart a host, and publish its start time in the endpoint list."""
    host.start()
    discovery.put(host.name, host.host_port, since=host.started_at)


def _restore_host(step: str, host: FakeHost, before: tuple[float, float, bool]) -> None:
    """Restore the property of a host that a step has changed."""
    slowdown, error_rate, silent = before
    if step == "slow":
        host.slowdown = slowdown
    elif step == "fail":
        host.error_rate = error_rate
    else:
        host.silent = silent
    host.run_waiting()
