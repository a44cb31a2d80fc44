"""Faults of what gateways depend on: links, counter, discovery; and floods of clients."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from petrellane.simulation import discovery
from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler
from petrellane.simulation.network import Network, Place

LOSS_INTERVAL_S = 0.3  # seconds between losses of a counter that keeps losing what it has

Link = tuple[Place, Place]
"""The places of a sender and a receiver."""

# Links.


def delay_messages(context: FaultContext) -> EndFault:
    """Messages take longer, each by a time of its own."""
    network = context.simulation.network
    seconds = context.fault.magnitude
    network.extra_delay += seconds

    def end() -> None:
        network.extra_delay = max(0.0, network.extra_delay - seconds)

    return end


def cut_zone(context: FaultContext) -> EndFault:
    """A zone is cut off in both directions."""
    return _cut_links(context, _links_from_zone(context) + _links_to_zone(context))


def deafen_zone(context: FaultContext) -> EndFault:
    """Nothing gets into a zone."""
    return _cut_links(context, _links_to_zone(context))


def mute_zone(context: FaultContext) -> EndFault:
    """Nothing gets out of a zone."""
    return _cut_links(context, _links_from_zone(context))


def cut_counter(context: FaultContext) -> EndFault:
    """A zone is cut off from the counter."""
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
    """The counter takes longer."""
    counter = context.simulation.counter
    factor = max(1.0, context.fault.magnitude)
    counter.slowdown *= factor

    def end() -> None:
        counter.slowdown /= factor

    return end


def silence_counter(context: FaultContext) -> EndFault:
    """The counter answers nothing."""
    counter = context.simulation.counter
    counter.silent_faults += 1

    def end() -> None:
        counter.silent_faults -= 1

    return end


def refuse_at_counter(context: FaultContext) -> EndFault:
    """The counter rejects all adds."""
    counter = context.simulation.counter
    counter.refusing_faults += 1

    def end() -> None:
        counter.refusing_faults -= 1

    return end


def forget_counts(context: FaultContext) -> EndFault:
    """The counter loses a fraction of its counts, again and again."""
    return _repeat(context, context.simulation.counter.forget, context.fault.magnitude)


def replace_counter(context: FaultContext) -> EndFault:
    """The counter loses all counts, again and again."""
    return _repeat(context, context.simulation.counter.forget, 1.0)


def roll_back_counter(context: FaultContext) -> EndFault:
    """The counter goes back to an older state, again and again."""
    return _repeat(context, context.simulation.counter.roll_back, context.fault.magnitude)


def _repeat(context: FaultContext, function: Callable[[float], None], argument: float) -> EndFault:
    """Make a call every so often while the fault lasts: what is lost once is lost again."""
    events = context.simulation.events
    until = events.now + context.fault.length

    def call() -> None:
        function(argument)
        if events.now + LOSS_INTERVAL_S <= until:
            events.schedule_after(LOSS_INTERVAL_S, call)

    call()
    return _end_nothing


def _end_nothing() -> None:
    """End a fault that stops by itself."""


def split_counter(context: FaultContext) -> EndFault:
    """The counter splits into two replicas."""
    context.simulation.counter.split()
    return context.simulation.counter.join


# Discovery and clients.


def delay_endpoint_list(context: FaultContext) -> EndFault:
    """Notifications of the endpoint list take longer."""
    endpoint_list = context.simulation.discovery
    seconds = context.fault.magnitude
    endpoint_list.extra_delay += seconds

    def end() -> None:
        endpoint_list.extra_delay = max(0.0, endpoint_list.extra_delay - seconds)

    return end


def refuse_at_discovery(context: FaultContext) -> EndFault:
    """Discovery can't be reached."""
    return context.simulation.discovery.begin_fault(discovery.REFUSED)


def silence_discovery(context: FaultContext) -> EndFault:
    """Discovery answers nothing."""
    return context.simulation.discovery.begin_fault(discovery.SILENT)


def limit_discovery(context: FaultContext) -> EndFault:
    """Discovery rejects polls over so many a second."""
    limit = max(1.0, context.fault.magnitude)
    return context.simulation.discovery.begin_fault(discovery.REJECTING, limit)


def flood(context: FaultContext) -> EndFault:
    """A customer sends a multiple of its rate."""
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
    "zone deaf": deafen_zone,
    "zone mute": mute_zone,
    "counter cut": cut_counter,
    "counter slow": slow_counter,
    "counter silent": silence_counter,
    "counter refuses": refuse_at_counter,
    "counter forgets": forget_counts,
    "counter replaced": replace_counter,
    "counter rolled back": roll_back_counter,
    "counter split": split_counter,
    "list late": delay_endpoint_list,
    "discovery refused": refuse_at_discovery,
    "discovery silent": silence_discovery,
    "discovery turned away": limit_discovery,
    "flood": flood,
}
