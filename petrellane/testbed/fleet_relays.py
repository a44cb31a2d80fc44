"""The relays of a fleet: which party reaches which other through one, and faults between sets.

A route without a relay leads straight to its target.
"""

import enum
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address
from petrellane.testbed.addresses import AddressPool
from petrellane.testbed.relay import Relay

RELAYED_AGENTS_OF_CONTROL = "agents-of-control"


class RouteKind(enum.StrEnum):
    """Which service a route leads to."""

    CLIENT = "client"  # clients to a gateway
    COUNTER = "counter"  # a gateway to the counter
    DISCOVERY = "discovery"  # a gateway to discovery
    HOST = "host"  # a gateway to a host
    AGENT = "agent"  # a control process or gateway to a gateway's management


RELAY_NAMES = {  # as a fleet's spec and run files name them
    RouteKind.CLIENT: "clients",
    RouteKind.COUNTER: "counter",
    RouteKind.DISCOVERY: "discovery",
    RouteKind.HOST: "hosts",
    RouteKind.AGENT: "agents",
}
TWO_PARTIES = frozenset({RouteKind.HOST, RouteKind.AGENT})


class Route(NamedTuple):
    """One party's way to another; both name the gateway where that is the only named party."""

    kind: RouteKind
    source: str
    target: str

    @property
    def label(self) -> str:
        """Names the route among those of a fleet, also for the draws of its relay."""
        if self.kind in TWO_PARTIES:
            return f"{self.kind} {self.source} {self.target}"
        return f"{self.kind} {self.target}"


class FleetRelays:
    """The relays of one fleet, which owns and closes them.

    Attributes:
        by_route: Each relay by its route, in the order in which they were made.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        relayed: Collection[str],
        seed: int,
        pool: AddressPool,
        is_gateway: Callable[[str], bool],
    ) -> None:
        """Make no relay yet.

        Args:
            scheduler: The scheduler of the run.
            relayed: Which routes have relays, by the names of `FleetSpec.relays`.
            seed: Of the relays' draws.
            pool: Gives their addresses.
            is_gateway: Tells whether a party's name is that of a gateway.
        """
        self.by_route: dict[Route, Relay] = {}
        self._scheduler = scheduler
        self._relayed = relayed
        self._seed = seed
        self._pool = pool
        self._is_gateway = is_gateway

    def has_relay(self, route: Route) -> bool:
        """Return whether a route leads through a relay of its own."""
        if RELAY_NAMES[route.kind] in self._relayed:
            return True
        is_of_control = route.kind is RouteKind.AGENT and not self._is_gateway(route.source)
        return is_of_control and RELAYED_AGENTS_OF_CONTROL in self._relayed

    def make(self, route: Route, target: Address) -> Relay:
        """Make the relay of a route that leads to an address."""
        relay = Relay(self._scheduler, target, self._seed, route.label, self._pool.next_address())
        self.by_route[route] = relay
        return relay

    def between(
        self,
        kinds: Collection[str],
        targets: Collection[str] | None = None,
        sources: Collection[str] | None = None,
    ) -> list[Relay]:
        """Return the relays of these kinds of route, to these targets, from these sources."""
        return [
            relay
            for route, relay in self.by_route.items()
            if route.kind in kinds
            and (targets is None or route.target in targets)
            and (sources is None or route.source in sources)
        ]

    def partition(self, names: Collection[str]) -> None:
        """Cut a set of gateways from control processes and all other gateways, both ways."""
        for route, relay in self.by_route.items():
            if route.kind is RouteKind.AGENT and (route.source in names) != (route.target in names):
                relay.fault("cut")

    def heal(self) -> None:
        """End all faults of all relays."""
        for relay in self.by_route.values():
            relay.heal()

    def are_listening(self) -> bool:
        """Return whether all relays accept connections."""
        return all(relay.listener is not None for relay in self.by_route.values())

    def all(self) -> Iterable[Relay]:
        """Return all relays."""
        return self.by_route.values()
