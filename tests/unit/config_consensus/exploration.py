"""Plays the steps of a simulated fleet: all orders of them, or one order that a seed draws."""

import random
from typing import NamedTuple

from tests.unit.config_consensus.convergence import heal
from tests.unit.config_consensus.fleet_steps import Budget, Step
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet

UNLIMITED_DEPTH = 999  # more steps than any order has before nothing new comes of one
HEAL_INTERVAL = 7  # of so many new states one is healed


class Violation(NamedTuple):
    """What breaks a guarantee, in a line, and the steps that lead there."""

    text: str
    steps: tuple[Step, ...]


class Exploration(NamedTuple):
    """How many states an exploration has seen, and the first violation in them."""

    state_count: int
    violation: Violation | None


def explore(fleet: SimulatedFleet, max_depth: int, max_states: int) -> Exploration:
    """Play all orders of steps from here, up to a number of steps and of states.

    It goes breadth first, so the first violation is one of the shortest.
    """
    seen = {fleet.mark()}
    frontier: list[tuple[SimulatedFleet, tuple[Step, ...]]] = [(fleet, ())]
    for _ in range(max_depth):
        reached: list[tuple[SimulatedFleet, tuple[Step, ...]]] = []
        for origin, path in frontier:
            for step in origin.available_steps():
                successor = origin.copy()
                successor.take(step)
                mark = successor.mark()
                if mark in seen:
                    continue
                seen.add(mark)
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
    """Return what is wrong in a new state, or once it is healed; the latter for some of them."""
    violation = fleet.violation()
    if not violation and number % HEAL_INTERVAL == 0:
        return heal(fleet.copy())
    return violation


class RandomRun(NamedTuple):
    """A fleet, the generator that draws its steps, and how many of them are drawn."""

    fleet: SimulatedFleet
    chance: random.Random
    length: int


def random_run(seed: int) -> RandomRun:
    """Draw a fleet of up to five gateways and the length of its run from a seed."""
    chance = random.Random(seed)
    participant_count = chance.choice((1, 2, 3, 3, 4, 5))
    controls = chance.choice((("a",), ("a", "b")))
    budget = Budget(
        proposals=chance.choice((1, 2, 4)),
        crashes=chance.choice((0, 1, 3, 6)),
        faults=chance.choice((0, 3, 12)),
        journal_losses=int(chance.random() < 0.3),
    )
    return RandomRun(
        SimulatedFleet(participant_count, controls, budget), chance, chance.choice((20, 60, 150))
    )


def play(run: RandomRun) -> Violation | None:
    """Play a run and heal the fleet at its end; return the violation, None where there is none."""
    fleet = run.fleet
    path: list[Step] = []
    for _ in range(run.length):
        steps = fleet.available_steps()
        if not steps:
            break
        path.append(run.chance.choice(steps))
        fleet.take(path[-1])
        if violation := fleet.violation():
            return Violation(violation, tuple(path))
    if difference := heal(fleet):
        return Violation(difference, tuple(path))
    return None


def play_seed(seed: int) -> Violation | None:
    """Play the run that a seed draws."""
    return play(random_run(seed))
