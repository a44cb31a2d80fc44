"""Synthetic traces, drawn from a seed, in which each gateway picks hosts by a given rule."""

import random
from collections.abc import Callable, Mapping

from petrellane.load_distribution.trace import LoadTrace, ReadyPeriod, SentAttempts

GATEWAY_COUNT = 20
HOSTS = [f"h{number}" for number in range(10)]
LENGTH_S = 30.0

# Picks a host for an attempt from the generator, the gateway, and the time in seconds.
PickHost = Callable[[random.Random, str, float], str]


def pick_evenly(generator: random.Random, _gateway: str, _now: float) -> str:
    """Pick a host with equal probability."""
    return generator.choice(HOSTS)


def drawn_trace(
    seed: int = 1,
    *,
    rate: float = 200.0,
    pick: PickHost = pick_evenly,
    capacities: Mapping[str, float] | None = None,
) -> LoadTrace:
    """Return the trace of a run in which all hosts are ready throughout.

    Args:
        seed: The seed of the random generator.
        rate: The total rate of all gateways, in attempts per second.
        pick: The function that picks the host of an attempt.
        capacities: The capacity by host; 1 for hosts without an entry.
    """
    generator = random.Random(seed)
    trace = LoadTrace(0.0, LENGTH_S)
    for host in HOSTS:
        capacity = (capacities or {}).get(host, 1.0)
        trace.ready[host] = [ReadyPeriod(0.0, LENGTH_S, capacity)]
    now = generator.expovariate(rate)
    while now < LENGTH_S:
        gateway = f"g{generator.randrange(GATEWAY_COUNT)}"
        trace.sent.append(SentAttempts(now, gateway, pick(generator, gateway, now), 1))
        now += generator.expovariate(rate)
    return trace
