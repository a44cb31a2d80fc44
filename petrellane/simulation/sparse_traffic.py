"""Scenarios of many gateways with little traffic each, and the service measured in their runs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from petrellane.invariants import OK, REJECTED, AttemptSent, Record, RpcAnswered, RpcReceived
from petrellane.simulation import VERSION
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.fleet import Run
from petrellane.simulation.scenario import Customer, Fault, Method, Plan, Scenario, World

SLOTS = 2  # RPCs that an endpoint executes concurrently


def sparse_scenario(  # noqa: PLR0913 - an argument for each parameter that callers vary
    gateways: int = 200,
    endpoints: int = 100,
    load: float = 0.8,
    seed: int = 1,
    rate: float = 1000.0,
    length: float = 20.0,
    patience: float = 8.0,
    unevenness: float = 1.0,
    faults: tuple[Fault, ...] = (),
    zones: int = 1,
) -> Scenario:
    """Return a scenario of many gateways, with one customer per gateway.

    Args:
        gateways: The number of gateways.
        endpoints: The number of endpoints.
        load: The traffic, as a fraction of the endpoints' capacity.
        seed: The seed of all random numbers.
        rate: The total traffic, in RPCs per second.
        length: The time for which clients send, in seconds.
        patience: The latency objective, as a multiple of an RPC's mean work; the deadline is four
            times the objective.
        unevenness: The standard deviation of the logarithm of a gateway's traffic.
        faults: The faults.
        zones: The number of zones.
    """
    rng = seeded_random("thin", seed)
    work = load * endpoints * SLOTS / rate
    weights = [rng.lognormvariate(0.0, unevenness) for _ in range(gateways)]
    world = _sparse_world(seed, length, gateways, endpoints, zones)
    method = Method("look", "idempotent", 1.0, work, patience * work, 4 * patience * work)
    customers = tuple(
        Customer(f"c{number}", "open", rate * weight / sum(weights), number)
        for number, weight in enumerate(weights)
    )
    return Scenario(world, (Plan("open", 0.0, 0.0),), (method,), customers, faults)


def _sparse_world(seed: int, length: float, gateways: int, endpoints: int, zones: int) -> World:
    return World(
        VERSION,
        seed,
        length,
        gateways,
        endpoints,
        zones,
        cores=float(SLOTS),
        slots=SLOTS,
        queue=64,
        exponential=True,
        latency=0.0005,
        connection_reuse=1.0,
        retries=0,
        slow_start=6.0,
        slow_start_minimum=0.3,
    )


class ServiceMeasure(NamedTuple):
    """The outcome and the latency of a set of RPCs.

    Attributes:
        rpcs: The number of RPCs.
        ok: The fraction that was served.
        rejected: The fraction that was rejected.
        late: The fraction that was served after the latency objective.
        p50: The median latency of the served RPCs, in seconds.
        p99: The 99th percentile of their latency, in seconds.
        attempts: The mean number of attempts per RPC.
    """

    rpcs: int
    ok: float
    rejected: float
    late: float
    p50: float
    p99: float
    attempts: float


class _Answer(NamedTuple):
    """An answer and its latency, in seconds."""

    answer: str
    duration: float


def measure_service(run: Run, since: float) -> ServiceMeasure:
    """Measure the RPCs that arrived at or after `since`, in a run that kept its records."""
    received_at, answers, attempts = _collect(run.records or [], since, run.scenario.world.length)
    durations = sorted(answer.duration for answer in answers if answer.answer == OK) or [0.0]
    objective = run.scenario.methods[0].latency_objective
    count = max(1, len(received_at))
    return ServiceMeasure(
        rpcs=len(received_at),
        ok=len(durations) / count,
        rejected=sum(answer.answer == REJECTED for answer in answers) / count,
        late=sum(duration > objective for duration in durations) / count,
        p50=durations[len(durations) // 2],
        p99=durations[int(len(durations) * 0.99)],
        attempts=attempts / count,
    )


def _collect(
    records: Iterable[Record], since: float, until: float
) -> tuple[dict[object, float], list[_Answer], int]:
    """Collect the RPCs that arrived in a span of time.

    Returns:
        The arrival time of each RPC by id, the last answer to each answered RPC, and the total
        number of attempts.
    """
    received_at: dict[object, float] = {}
    answers: dict[object, _Answer] = {}
    attempts = 0
    for record in records:
        if isinstance(record, RpcReceived) and since <= record.at < until:
            received_at[record.rpc] = record.at
        elif isinstance(record, RpcAnswered) and record.rpc in received_at:
            duration = record.at - received_at[record.rpc]
            answers[record.rpc] = _Answer(record.answer, duration)
        elif isinstance(record, AttemptSent) and record.rpc in received_at:
            attempts += 1
    return received_at, list(answers.values()), attempts
