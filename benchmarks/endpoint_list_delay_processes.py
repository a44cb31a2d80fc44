"""Real gateways whose discovery has faults, for `endpoint_list_delay.py`."""

import os
import random
from dataclasses import dataclass
from typing import NamedTuple

from petrellane.testbed.fake_discovery import DiscoveryFault, FakeDiscovery
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_spec import FleetSpec
from petrellane.testbed.processes import Build

OPEN_WATCH = "open watch"
KINDS = ("refused", "turned away", "silent", "unaccepted", "full", "cut", OPEN_WATCH)
PATIENCE_S = 20.0  # after which a change counts as not notified
SHORTEST_FAULT_S = 3.0
SHARED_FAULT_S = 8.0
OBSERVED_S = 30  # after a fault of the shared discovery


@dataclass(frozen=True)
class ProcessOptions:
    """What a run with real gateways is made of."""

    gateways: int
    seed: int
    seconds: float
    longest_fault: float
    kinds: list[str]
    build: str


class Trial(NamedTuple):
    """One fault and its change; the delay is None where the change never came."""

    kind: str
    delay: float | None


class SeparateResult(NamedTuple):
    """What gateways with a discovery each showed."""

    trials: list[Trial]
    calls: int
    longest_stall_s: float


class CallCounts(NamedTuple):
    """Calls of discovery in one second, and those that it rejected."""

    calls: int
    rejected: int


class SharedResult(NamedTuple):
    """What gateways with one discovery showed."""

    fault_s: float
    delays: list[float | None]
    seconds: list[CallCounts]
    longest_stall_s: float


class GatewayTrials:
    """One gateway and its own discovery, which has fault after fault; lives for one run."""

    def __init__(
        self, fleet: LoopbackFleet, gateway: FleetGateway, options: ProcessOptions
    ) -> None:
        self.fleet = fleet
        self.gateway = gateway
        self.options = options
        self.random = random.Random(f"{options.seed} {gateway.name}")
        self.discovery = FakeDiscovery(fleet.scheduler, fleet.records)
        for host in fleet.hosts:
            self.discovery.put(host.name, host.host_port)
        address = fleet.addresses.next_address()
        self.listener = self.discovery.listener_for(gateway.name, address)
        gateway.write_config({**gateway.config(), "discovery": self.listener.host_port})
        self.host_state = "in_service"
        self.is_stopped = False
        self.trials: list[Trial] = []

    def run(self) -> None:
        """Play trials until it is stopped."""
        kinds = self.options.kinds
        number = self.random.randrange(len(kinds))
        while not self.is_stopped:
            self.fleet.scheduler.wait(self.random.uniform(0.2, 5.0))
            kind = kinds[number % len(kinds)]
            number += 1
            delay = self._play_open_watch() if kind == OPEN_WATCH else self._play_fault(kind)
            self.trials.append(Trial(kind, delay))

    def _play_fault(self, kind: str) -> float | None:
        length_s = self.random.uniform(SHORTEST_FAULT_S, self.options.longest_fault)
        self.listener.inject(DiscoveryFault(kind))
        self.fleet.scheduler.wait(length_s)
        index = self._change_host()
        self.listener.heal()
        return self._wait_notified(index, self.fleet.scheduler.now())

    def _play_open_watch(self) -> float | None:
        """Let the watch fall silent as it begins; the change comes at once."""
        calls = self.discovery.calls
        while self.discovery.calls == calls and not self.is_stopped:
            self.fleet.scheduler.wait(0.005)
        for stream in list(self.discovery.watches):
            del self.discovery.watches[stream]
        return self._wait_notified(self._change_host(), self.fleet.scheduler.now())

    def _change_host(self) -> int:
        """Change the first endpoint's state and return the list's index."""
        self.host_state = "terminating" if self.host_state == "in_service" else "in_service"
        self.discovery.put("h0", self.fleet.hosts[0].host_port, self.host_state)
        return self.discovery.index

    def _wait_notified(self, index: int, since: float) -> float | None:
        """Return the seconds until the gateway logs the change; None where it does not."""
        while self.fleet.scheduler.now() < since + PATIENCE_S:
            for event in reversed(self.gateway.events):
                if event["event"] == "hosts" and event["index"] >= index:
                    delay: float = event["at"] - since
                    return delay
            self.fleet.scheduler.wait(0.01)
        return None


def choose_build(fleet: LoopbackFleet, folder: str) -> None:
    """Have all gateways run the program of a checkout; an empty folder is this one."""
    for gateway in fleet.gateways:
        gateway.build = Build(cwd=os.path.abspath(folder)) if folder else Build()  # noqa: PTH100


def play_separate(options: ProcessOptions) -> SeparateResult:
    """Play faults with a discovery for each gateway."""
    spec = FleetSpec(gateways=options.gateways, hosts=2, seed=options.seed, relays=())
    with LoopbackFleet(spec) as fleet:
        players = [GatewayTrials(fleet, gateway, options) for gateway in fleet.gateways]
        choose_build(fleet, options.build)
        fleet.start()
        for player in players:
            fleet.scheduler.spawn(player.run)
        fleet.run_for(options.seconds)
        calls = sum(player.discovery.calls for player in players)
        for player in players:
            player.is_stopped = True
            player.discovery.close()
        trials = [trial for player in players for trial in player.trials]
        return SeparateResult(trials, calls, fleet.longest_stall_s)


def first_notified(gateway: FleetGateway, index: int, since: float) -> float | None:
    """Return the seconds after which a gateway first logged a list of this index or later."""
    delays: list[float] = [
        event["at"] - since
        for event in gateway.events
        if event["event"] == "hosts" and event["index"] >= index
    ]
    return min(delays, default=None)


def play_shared(options: ProcessOptions, fault: str, rate: float) -> SharedResult:
    """Play one fault of a discovery that all gateways share.

    Args:
        options: What the run is made of.
        fault: The fault, of 8 s.
        rate: Calls a second that discovery serves from its return on.
    """
    spec = FleetSpec(gateways=options.gateways, hosts=2, seed=options.seed, relays=())
    with LoopbackFleet(spec) as fleet:
        choose_build(fleet, options.build)
        fleet.start()
        fleet.run_for(10.0)
        discovery = fleet.discovery
        listeners = list(discovery.listeners.values())
        started_at = fleet.scheduler.now()
        for listener in listeners:
            listener.inject(DiscoveryFault(fault))
        fleet.run_for(SHARED_FAULT_S)
        discovery.put("h0", fleet.hosts[0].host_port, "terminating")
        index = discovery.index
        returned_at = fleet.scheduler.now()
        discovery.rate = rate
        for listener in listeners:
            listener.heal()
        seconds = []
        for _ in range(OBSERVED_S):
            before = CallCounts(discovery.calls, discovery.refused)
            fleet.run_for(1.0)
            calls = discovery.calls - before.calls
            seconds.append(CallCounts(calls, discovery.refused - before.rejected))
        delays = [first_notified(gateway, index, returned_at) for gateway in fleet.gateways]
        return SharedResult(returned_at - started_at, delays, seconds, fleet.longest_stall_s)
