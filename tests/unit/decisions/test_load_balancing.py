"""Load balancing decides like the plain reference, at a cost independent of the endpoint count."""

import functools
from typing import NamedTuple

import pytest

from petrellane.decisions import types as api
from tests.unit.decisions.operations import operations
from tests.unit.decisions.random_play import RandomWorkload

FEW = 130
MANY = 13_000
SAMPLED_ROWS = 60


@pytest.mark.parametrize("seed", range(24))
def test_actions_of_a_walk_over_all_endpoints(seed: int) -> None:
    """Indexes and caches change no decision."""
    number = (3, 12, 40, 150)[seed % 4]
    indexed = RandomWorkload(seed, number)
    plain = RandomWorkload(seed, number, is_plain=True)
    for workload in (indexed, plain):
        workload.run(400, (20.0, 150.0)[seed % 2], changes=0.05)
    assert indexed.history == plain.history
    assert sum(entry[1] == "SendAttempt" for entry in indexed.history) > 100


class Cost(NamedTuple):
    """Numbers of operations: the second highest of each kind, as the highest may resize a table."""

    rpc: int
    change: int
    change_while_warming: int
    warming: int  # number of warming endpoints


def change_state(workload: RandomWorkload, row: api.EndpointEvent, state: str) -> None:
    """Report an endpoint's state, and update what a later RPC would have to update."""
    workload.controller.on_endpoint_events(workload.now, False, [row._replace(state=state)])
    workload.controller.load_balancer.endpoints.capacity(workload.now)


def cost_with(endpoint_count: int) -> Cost:
    """Return the costs of a gateway with so many endpoints, of which each twelfth warms up."""
    workload = RandomWorkload(1, endpoint_count)
    workload.rows = [
        row._replace(started_at=workload.now - number % 12 if number % 12 == 0 else 0.0)
        for number, row in enumerate(workload.rows)
    ]
    workload.execute(workload.controller.on_endpoint_events(workload.now, True, workload.rows))
    workload.run(60, 30.0)
    rpcs = sorted(operations(workload.send_rpc) for _ in range(30))
    changes: dict[bool, list[int]] = {True: [], False: []}
    for row in workload.rows[:SAMPLED_ROWS]:
        for state in (api.DRAINING, api.READY):
            change = functools.partial(change_state, workload, row, state)
            changes[bool(row.started_at)].append(operations(change))
    warming = sum(bool(row.started_at) for row in workload.rows)
    return Cost(rpcs[-2], sorted(changes[False])[-2], sorted(changes[True])[-2], warming)


def test_a_hundred_times_the_endpoints_cost_the_same() -> None:
    """The cost of an RPC and of a change does not grow with the number of endpoints."""
    few = cost_with(FEW)
    many = cost_with(MANY)
    assert many.rpc < 1.5 * few.rpc
    assert many.change < 1.5 * few.change
    # A change of a warming endpoint may cost a few operations for each warming endpoint.
    assert many.change_while_warming < 1.5 * few.change_while_warming + 25 * many.warming
