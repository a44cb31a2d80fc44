"""Load balancing over many endpoints decides as a walk over all of them, at a flat cost."""

import functools
from typing import NamedTuple

import pytest

from petrellane.decisions import types as api
from tests.unit.decisions.operations import operations
from tests.unit.decisions.random_play import RandomPlay

FEW = 130
MANY = 13_000
SAMPLED_ROWS = 60


@pytest.mark.parametrize("seed", range(24))
def test_actions_of_a_walk_over_all_endpoints(seed: int) -> None:
    """What is kept between RPCs changes no decision."""
    number = (3, 12, 40, 150)[seed % 4]
    indexed = RandomPlay(seed, number)
    plain = RandomPlay(seed, number, is_plain=True)
    for play in (indexed, plain):
        play.run(400, (20.0, 150.0)[seed % 2], changes=0.05)
    assert indexed.history == plain.history
    assert sum(entry[1] == "SendAttempt" for entry in indexed.history) > 100


class Cost(NamedTuple):
    """Operations: the second highest of each kind, as the highest may make room in a table."""

    rpc: int
    change: int
    change_while_warming: int
    warming: int  # the number of endpoints that warm up


def change_state(play: RandomPlay, row: api.EndpointEvent, state: str) -> None:
    """Report an endpoint's state, and bring up to date what a later RPC would have to."""
    play.controller.on_endpoint_events(play.now, False, [row._replace(state=state)])
    play.controller.load_balancer.endpoints.capacity(play.now)


def cost_with(endpoint_count: int) -> Cost:
    """Measure a gateway of which each twelfth endpoint warms up."""
    play = RandomPlay(1, endpoint_count)
    play.rows = [
        row._replace(started_at=play.now - number % 12 if number % 12 == 0 else 0.0)
        for number, row in enumerate(play.rows)
    ]
    play.execute(play.controller.on_endpoint_events(play.now, True, play.rows))
    play.run(60, 30.0)
    rpcs = sorted(operations(play.send_rpc) for _ in range(30))
    changes: dict[bool, list[int]] = {True: [], False: []}
    for row in play.rows[:SAMPLED_ROWS]:
        for state in (api.DRAINING, api.READY):
            change = functools.partial(change_state, play, row, state)
            changes[bool(row.started_at)].append(operations(change))
    warming = sum(bool(row.started_at) for row in play.rows)
    return Cost(rpcs[-2], sorted(changes[False])[-2], sorted(changes[True])[-2], warming)


def test_a_hundred_times_the_endpoints_cost_the_same() -> None:
    """What an RPC and a change cost does not grow with the endpoints that are known."""
    few = cost_with(FEW)
    many = cost_with(MANY)
    assert many.rpc < 1.5 * few.rpc
    assert many.change < 1.5 * few.change
    # Where an endpoint that warms up changes, a few operations for each such endpoint.
    assert many.change_while_warming < 1.5 * few.change_while_warming + 25 * many.warming
