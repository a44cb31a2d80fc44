"""Fault handlers for network links, the counter, discovery and client load."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from petrellane.simulation import discovery
from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler
from petrellane.simulation.network import Location, Network

LOSS_INTERVAL_S = 0.3  # seconds between the data losses of one fault of the counter

Link = tuple[Location, Location]
"""The locations of a sender and a receiver."""

# Links.


def delay_messages(context: FaultContext) -> EndFault:
    """Add a random delay to each message."""
    network = context.simulation.network
    seconds = context.fault.magnitude
    network.extra_delay += seconds

    def end() -> None:
        network.extra_delay = max(0.0, network.extra_delay - seconds)

    return end


def cut_zone(context: FaultContext) -> EndFault:
    """Cut all links between a zone and the other zones, in both directions."""
    return _cut_links(context, _links_from_zone(context) + _links_to_zone(context))


def block_zone_ingress(context: FaultContext) -> EndFault:
    """Cut all links from other zones to a zone."""
    return _cut_links(context, _links_to_zone(context))


def block_zone_egress(context: FaultContext) -> EndFault:
    """Cut all links from a zone to other zones."""
    return _cut_links(context, _links_from_zone(context))


def cut_counter(context: FaultContext) -> EndFault:
    """Cut the links between a zone and the counter, in both directions."""
    zone = context.zone()
    return _cut_links(context, [(zone, Network.COUNTER), (Network.COUNTER, zone)])


def _other_zones(context: FaultContext) -> list[int]:
    zone = context.zone()
    return [other for other in range(context.simulation.world.zones) if other != zone]


def _links_from_zone(context: FaultContext) -> list[Link]:
    return [(context.zone(), other) for other in _other_zones(context)]


def _links_to_zone(context: FaultContext) -> list[Link]:
    return [(other, context.zone()) for other in _other_zones(context)]


def _cut_links(context: FaultContext, links: Sequence[Link]) -> EndFault:
    network = context.simulation.network
    for sender, receiver in links:
        network.change_cuts(sender, receiver, 1)

    def end() -> None:
        for sender, receiver in links:
            network.change_cuts(sender, receiver, -1)

    return end


# The counter.


def slow_counter(context: FaultContext) -> EndFault:
    """Increase the service time of the counter."""
    counter = context.simulation.counter
    factor = max(1.0, context.fault.magnitude)
    counter.slowdown *= factor

    def end() -> None:
        counter.slowdown /= factor

    return end


def silence_counter(context: FaultContext) -> EndFault:
    """Make the counter send no replies and lose a fraction of the adds."""
    counter = context.simulation.counter
    counter.silent_faults += 1

    def end() -> None:
        counter.silent_faults -= 1

    return end


def reject_at_counter(context: FaultContext) -> EndFault:
    """Make the counter reject all adds."""
    counter = context.simulation.counter
    counter.rejecting_faults += 1

    def end() -> None:
        counter.rejecting_faults -= 1

    return end


def lose_counts(context: FaultContext) -> EndFault:
    """Make the counter periodically lose a fraction of its counts."""
    return _repeat(context, context.simulation.counter.lose_counts, context.fault.magnitude)


def replace_counter(context: FaultContext) -> EndFault:
    """Make the counter periodically lose all its counts."""
    return _repeat(context, context.simulation.counter.lose_counts, 1.0)


def roll_back_counter(context: FaultContext) -> EndFault:
    """Make the counter periodically return to an older state."""
    return _repeat(context, context.simulation.counter.roll_back, context.fault.magnitude)


def _repeat(context: FaultContext, function: Callable[[float], None], argument: float) -> EndFault:
    """Call a function immediately and every `LOSS_INTERVAL_S` seconds during the fault."""
    events = context.simulation.events
    until = events.now + context.fault.length

    def call() -> None:
        function(argument)
        if events.now + LOSS_INTERVAL_S <= until:
            events.schedule_after(LOSS_INTERVAL_S, call)

    call()
    return _end_nothing


def _end_nothing() -> None:
    """Do nothing; the periodic calls of `_repeat` stop when the fault's length has passed."""


def split_counter(context: FaultContext) -> EndFault:
    """Split the counter into two replicas."""
    context.simulation.counter.split()
    return context.simulation.counter.end_split


# Discovery and clients.


def delay_endpoint_list(context: FaultContext) -> EndFault:
    """Delay the notifications of changes to the endpoint list."""
    endpoint_list = context.simulation.discovery
    seconds = context.fault.magnitude
    endpoint_list.extra_delay += seconds

    def end() -> None:
        endpoint_list.extra_delay = max(0.0, endpoint_list.extra_delay - seconds)

    return end


def disconnect_discovery(context: FaultContext) -> EndFault:
    """Make discovery unreachable, so that polls fail immediately."""
    return context.simulation.discovery.begin_fault(discovery.REFUSED)


def silence_discovery(context: FaultContext) -> EndFault:
    """Make discovery leave all polls unanswered."""
    return context.simulation.discovery.begin_fault(discovery.SILENT)


def limit_discovery(context: FaultContext) -> EndFault:
    """Make discovery reject the polls above a rate limit."""
    limit = max(1.0, context.fault.magnitude)
    return context.simulation.discovery.begin_fault(discovery.REJECTING, limit)


def flood(context: FaultContext) -> EndFault:
    """Multiply the call rate of a customer."""
    clients = context.simulation.clients
    customer = clients[context.fault.target % len(clients)]
    factor = max(1.0, context.fault.magnitude)
    customer.scale_rate(factor)

    def end() -> None:
        customer.scale_rate(1 / factor)

    return end


HANDLERS: Mapping[str, FaultHandler] = {
    "messages late": delay_messages,
    "zone cut": cut_zone,
    "zone deaf": block_zone_ingress,
    "zone mute": block_zone_egress,
    "counter cut": cut_counter,
    "counter slow": slow_counter,
    "counter silent": silence_counter,
    "counter refuses": reject_at_counter,
    "counter forgets": lose_counts,
    "counter replaced": replace_counter,
    "counter rolled back": roll_back_counter,
    "counter split": split_counter,
    "list late": delay_endpoint_list,
    "discovery refused": disconnect_discovery,
    "discovery silent": silence_discovery,
    "discovery turned away": limit_discovery,
    "flood": flood,
}
