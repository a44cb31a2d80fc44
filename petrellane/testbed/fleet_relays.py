"""The relays of a fleet, which inject faults on the routes between its parties.

On a route without a relay, the source connects directly to the target.
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
    """The kind of a route, by the service at its target."""

    CLIENT = "client"  # clients to a gateway
    COUNTER = "counter"  # a gateway to the counter
    DISCOVERY = "discovery"  # a gateway to discovery
    HOST = "host"  # a gateway to a host
    AGENT = "agent"  # a control process or gateway to a gateway's management


RELAY_NAMES = {  # the names in `FleetSpec.relays` and in run files
    RouteKind.CLIENT: "clients",
    RouteKind.COUNTER: "counter",
    RouteKind.DISCOVERY: "discovery",
    RouteKind.HOST: "hosts",
    RouteKind.AGENT: "agents",
}
TWO_PARTIES = frozenset({RouteKind.HOST, RouteKind.AGENT})


class Route(NamedTuple):
    """A connection path from one party to another.

    Attributes:
        kind: The kind of the route.
        source: The name of the party that connects.
        target: The name of the party that accepts. On a route with only one named party, `source`
            and `target` both name that gateway.
    """

    kind: RouteKind
    source: str
    target: str

    @property
    def label(self) -> str:
        """The unique name of the route in its fleet, which also seeds the relay's random draws."""
        if self.kind in TWO_PARTIES:
            return f"{self.kind} {self.source} {self.target}"
        return f"{self.kind} {self.target}"


class FleetRelays:
    """The relays of one fleet, which owns and closes them.

    Attributes:
        by_route: The relays by route, in order of creation.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        relayed: Collection[str],
        seed: int,
        pool: AddressPool,
        is_gateway: Callable[[str], bool],
    ) -> None:
        """Initialize the set without creating a relay.

        Args:
            scheduler: The scheduler of the run.
            relayed: The kinds of routes that have relays, as in `FleetSpec.relays`.
            seed: The seed of the relays' random draws.
            pool: The pool that assigns the relays' addresses.
            is_gateway: The function that returns whether a name is that of a gateway.
        """
        self.by_route: dict[Route, Relay] = {}
        self._scheduler = scheduler
        self._relayed = relayed
        self._seed = seed
        self._pool = pool
        self._is_gateway = is_gateway

    def has_relay(self, route: Route) -> bool:
        """Return whether a route leads through a relay."""
        if RELAY_NAMES[route.kind] in self._relayed:
            return True
        is_of_control = route.kind is RouteKind.AGENT and not self._is_gateway(route.source)
        return is_of_control and RELAYED_AGENTS_OF_CONTROL in self._relayed

    def make(self, route: Route, target: Address) -> Relay:
        """Create the relay of a route, with the address of the route's target."""
        relay = Relay(self._scheduler, target, self._seed, route.label, self._pool.next_address())
        self.by_route[route] = relay
        return relay

    def between(
        self,
        kinds: Collection[str],
        targets: Collection[str] | None = None,
        sources: Collection[str] | None = None,
    ) -> list[Relay]:
        """Return the relays of some kinds of route.

        Args:
            kinds: The kinds of route.
            targets: The targets of the routes; None for all.
            sources: The sources of the routes; None for all.
        """
        return [
            relay
            for route, relay in self.by_route.items()
            if route.kind in kinds
            and (targets is None or route.target in targets)
            and (sources is None or route.source in sources)
        ]

    def partition(self, names: Collection[str]) -> None:
        """Separate some gateways from the control processes and all other gateways."""
        for route, relay in self.by_route.items():
            if route.kind is RouteKind.AGENT and (route.source in names) != (route.target in names):
                relay.fault("cut")

    def heal(self) -> None:
        """End all faults of all relays."""
        for relay in self.by_route.values():
            relay.heal()

    def are_listening(self) -> bool:
        """Return whether all relays have a listening socket."""
        return all(relay.listener is not None for relay in self.by_route.values())

    def all(self) -> Iterable[Relay]:
        """Return all relays."""
        return self.by_route.values()
