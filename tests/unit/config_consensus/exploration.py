"""Executes the steps of a simulated fleet in all orders, or in one order that a seed determines."""

import random
from typing import NamedTuple

from tests.unit.config_consensus.convergence import heal
from tests.unit.config_consensus.fleet_steps import Budget, Step
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet

UNLIMITED_DEPTH = 999  # more steps than any order needs to reach its last new state
HEAL_INTERVAL = 7  # one in this many new states is healed
SHARED_NAME = "a"  # of control processes that replace each other
SHARED_NAME_INTERVAL = 3  # in one of this many seeded runs the control processes share a name


class Violation(NamedTuple):
    """A violated guarantee.

    Attributes:
        text: What violates the guarantee, in one line.
        steps: The steps that lead to the violation.
    """

    text: str
    steps: tuple[Step, ...]


class Exploration(NamedTuple):
    """The result of an exploration.

    Attributes:
        state_count: The number of distinct states reached.
        violation: The first violation; None if there is none.
    """

    state_count: int
    violation: Violation | None


def explore(fleet: SimulatedFleet, max_depth: int, max_states: int) -> Exploration:
    """Explore all orders of steps from the state of a fleet.

    The search is breadth-first, so the first violation has the fewest steps.

    Args:
        fleet: The fleet in its initial state.
        max_depth: The number of steps after which the exploration ends.
        max_states: The number of states at which the exploration ends.
    """
    seen = {fleet.state_digest()}
    frontier: list[tuple[SimulatedFleet, tuple[Step, ...]]] = [(fleet, ())]
    for _ in range(max_depth):
        reached: list[tuple[SimulatedFleet, tuple[Step, ...]]] = []
        for origin, path in frontier:
            for step in origin.available_steps():
                successor = origin.copy()
                successor.take(step)
                digest = successor.state_digest()
                if digest in seen:
                    continue
                seen.add(digest)
                steps = (*path, step)
                if text := _check(successor, number=len(seen) - 1):
                    return Exploration(len(seen), Violation(text, steps))
                if len(seen) >= max_states:
                    return Exploration(len(seen), None)
                reached.append((successor, steps))
        frontier = reached
        if not frontier:
            break
    return Exploration(len(seen), None)


def _check(fleet: SimulatedFleet, number: int) -> str | None:
    """Return the violation in a new state or, for one in `HEAL_INTERVAL` states, after healing."""
    violation = fleet.violation()
    if not violation and number % HEAL_INTERVAL == 0:
        return heal(fleet.copy())
    return violation


class RandomRun(NamedTuple):
    """A run of random steps.

    Attributes:
        fleet: The fleet.
        rng: The generator that chooses the steps.
        length: The maximum number of steps.
    """

    fleet: SimulatedFleet
    rng: random.Random
    length: int


def random_run(seed: int) -> RandomRun:
    """Return a run that a seed determines, of a fleet with up to five gateways."""
    rng = random.Random(seed)
    participant_count = rng.choice((1, 2, 3, 3, 4, 5))
    controls = rng.choice((("a",), ("a", "b")))
    budget = Budget(
        proposals=rng.choice((1, 2, 4)),
        crashes=rng.choice((0, 1, 3, 6)),
        faults=rng.choice((0, 3, 12)),
        journal_losses=int(rng.random() < 0.3),
    )
    shared_name = SHARED_NAME if seed % SHARED_NAME_INTERVAL == 0 else None
    fleet = SimulatedFleet(participant_count, controls, budget, shared_name)
    return RandomRun(fleet, rng, rng.choice((20, 60, 150)))


def play(run: RandomRun) -> Violation | None:
    """Execute a run, heal the fleet afterwards, and return the violation if there is one."""
    fleet = run.fleet
    path: list[Step] = []
    for _ in range(run.length):
        steps = fleet.available_steps()
        if not steps:
            break
        path.append(run.rng.choice(steps))
        fleet.take(path[-1])
        if violation := fleet.violation():
            return Violation(violation, tuple(path))
    if difference := heal(fleet):
        return Violation(difference, tuple(path))
    return None


def play_seed(seed: int) -> Violation | None:
    """Execute the run that a seed determines."""
    return play(random_run(seed))
