"""The fleet of many gateways that each see little: scenarios, and what a run of them showed."""

from typing import NamedTuple

from petrellane import invariants
from petrellane.simulation import VERSION
from petrellane.simulation.event_queue import chance
from petrellane.simulation.fleet import Run
from petrellane.simulation.scenario import Customer, Method, Plan, Scenario, World

PLACES = 2  # RPCs that a host works on at once


def thin(
    gateways: int = 200,
    hosts: int = 100,
    load: float = 0.8,
    seed: int = 1,
    rate: float = 1000.0,
    length: float = 20.0,
    patience: float = 8.0,
    uneven: float = 1.0,
    faults: tuple = (),
    zones: int = 1,
) -> Scenario:
    """Gateways that get `rate` RPCs a second together, `uneven` (the spread of the logarithm), at hosts that these load to
    a share of their capacity; the soft deadline is `patience` times an RPC's mean work."""
    rng = chance("thin", seed)
    work = load * hosts * PLACES / rate
    weights = [rng.lognormvariate(0.0, uneven) for _ in range(gateways)]
    world = World(
        VERSION,
        seed,
        length,
        gateways,
        hosts,
        zones,
        cores=float(PLACES),
        slots=PLACES,
        queue=64,
        exponential=True,
        latency=0.0005,
        standing=1.0,
        retries=0,
        cold=6.0,
        cold_from=0.3,
    )
    method = Method("look", "idempotent", 1.0, work, patience * work, 4 * patience * work)
    customers = tuple(
        Customer(f"c{number}", "open", rate * weight / sum(weights), number)
        for number, weight in enumerate(weights)
    )
    return Scenario(world, (Plan("open", 0.0, 0.0),), (method,), customers, faults)


class Served(NamedTuple):
    """What became of the RPCs that came after `since`: shares, and times of ok answers in seconds."""

    rpcs: int
    ok: float
    pushed: float
    late: float
    p50: float
    p99: float
    attempts: float


def served(run: Run, since: float) -> Served:
    """Of a run that kept its records."""
    taken, answers, sent = {}, {}, 0
    until = run.scenario.world.length
    for record in run.records:
        kind = type(record)
        if kind is invariants.RpcReceived and since <= record.at < until:
            taken[record.rpc] = record.at
        elif kind is invariants.RpcAnswered and record.rpc in taken:
            answers[record.rpc] = record.answer, record.at - taken[record.rpc]
        elif kind is invariants.AttemptSent and record.rpc in taken:
            sent += 1
    waits = sorted(took for answer, took in answers.values() if answer == invariants.OK) or [0.0]
    soft, number = run.scenario.methods[0].soft_deadline, max(1, len(taken))
    pushed = sum(answer == invariants.REJECTED for answer, _ in answers.values())
    return Served(
        len(taken),
        len(waits) / number,
        pushed / number,
        sum(took > soft for took in waits) / number,
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
        sent / number,
    )
