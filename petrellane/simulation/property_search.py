"""Property search: plays generated scenarios on all cores to find ones that break a rule.

A search runs in rounds. One part of a round is generated from new seeds; the other part consists of
mutations of the scenarios that came nearest to a rule in earlier rounds. The scenarios of a round
depend only on the first seed and the earlier rounds, so a search gives the same result on any
number of cores. `shrinking` reduces the scenarios that break a rule.
"""

from __future__ import annotations

import heapq
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from petrellane.invariants import RULES
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario import Scenario
from petrellane.simulation.scenario_generation import generate_scenario, mutate

ROUND_SIZE = 256  # scenarios in a round
NEW_SEED_SHARE = 0.6  # fraction of a round that is generated from new seeds
NEAREST_KEPT = 6  # scenarios kept per rule
BINS = 20  # bins of a histogram of nearest distances, from 0 to 1
PROGRESS_INTERVAL = 16  # runs between progress reports
CHUNK_SIZE = 4  # scenarios that a worker process receives at a time


class NamedScenario(NamedTuple):
    """A scenario to play.

    Attributes:
        name: The origin of the scenario: the seed, or the seed of the mutation.
        scenario: The scenario.
    """

    name: str
    scenario: Scenario


class SearchRun(NamedTuple):
    """The summary of a run that a worker process returns to the search.

    Attributes:
        name: The name of the scenario.
        scenario: The scenario.
        counts: The number of violations of each broken rule.
        nearest: The nearest distance to each rule, from 0 (never close) to 1 (at the rule).
        ok_share: The run's `ServiceFigures.ok_share`.
    """

    name: str
    scenario: Scenario
    counts: dict[str, int]
    nearest: dict[str, float]
    ok_share: float


@dataclass
class SearchResult:
    """The result of a search so far.

    Attributes:
        runs: The number of runs.
        found: The runs that broke rules.
        nearest: The nearest distance to each rule over all runs, from 0 (never close) to 1 (at the
            rule).
        histograms: For each rule, the number of runs by nearest distance; the last bin counts the
            runs that reached the rule.
        ok_share_sum: The sum of the runs' `ok_share`.
    """

    runs: int = 0
    found: list[SearchRun] = field(default_factory=list)
    nearest: dict[str, float] = field(default_factory=lambda: dict.fromkeys(RULES, 0.0))
    histograms: dict[str, list[int]] = field(
        default_factory=lambda: {rule: [0] * (BINS + 1) for rule in RULES}
    )
    ok_share_sum: float = 0.0

    def add(self, run: SearchRun) -> None:
        """Add a run to the result."""
        self.runs += 1
        self.ok_share_sum += run.ok_share
        if run.counts:
            self.found.append(run)
        for rule, distance in run.nearest.items():
            self.nearest[rule] = max(self.nearest[rule], distance)
            self.histograms[rule][min(BINS, int(distance * BINS))] += 1


def play(job: NamedScenario) -> SearchRun:
    """Play a scenario and summarize the run; called in a worker process."""
    run = FleetSimulation(job.scenario).play()
    return SearchRun(
        job.name, job.scenario, run.verdict.counts, run.verdict.nearest, run.figures.ok_share
    )


class Candidate(NamedTuple):
    """A scenario that came near a rule without breaking it.

    Attributes:
        distance: The nearest distance to the rule.
        order: A unique number that breaks ties; later candidates have smaller numbers.
        scenario: The scenario.
    """

    distance: float
    order: int
    scenario: Scenario


class NearestScenarios:
    """Keeps the scenarios that came nearest to each rule without breaking it."""

    def __init__(self) -> None:
        self._by_rule: dict[str, list[Candidate]] = {rule: [] for rule in RULES}
        self._count = 0

    def offer(self, scenario: Scenario, nearest: dict[str, float]) -> None:
        """Keep a scenario for each rule to which it is among the nearest."""
        for rule, distance in nearest.items():
            if 0.0 < distance < 1.0:
                self._count += 1
                candidates = self._by_rule[rule]
                heapq.heappush(candidates, Candidate(distance, -self._count, scenario))
                if len(candidates) > NEAREST_KEPT:
                    heapq.heappop(candidates)

    def scenarios(self) -> list[Scenario]:
        """Return the kept scenarios, ordered by rule and distance."""
        return [
            candidate.scenario
            for rule in RULES
            for candidate in sorted(self._by_rule[rule], key=lambda entry: entry[:2])
        ]


def search(
    first_seed: int,
    runs: int,
    workers: int = 0,
    enough: int = 1,
    on_progress: Callable[[SearchResult], None] | None = None,
) -> SearchResult:
    """Play scenarios until enough of them have broken a rule.

    Args:
        first_seed: The seed of the first scenario, which determines the search.
        runs: The maximum number of scenarios to play.
        workers: The number of worker processes; 0 for one per core.
        enough: The number of rule-breaking runs after which the search ends; the current round is
            completed.
        on_progress: A function that is called with the result every `PROGRESS_INTERVAL` runs and
            after the last run.

    Returns:
        The result over all runs.
    """
    result = SearchResult()
    nearest = NearestScenarios()
    with ProcessPoolExecutor(workers or os.cpu_count() or 1) as pool:
        while result.runs < runs and len(result.found) < enough:
            size = min(ROUND_SIZE, runs - result.runs)
            jobs = list(_generate_round(first_seed + result.runs, size, nearest.scenarios()))
            for run in pool.map(play, jobs, chunksize=CHUNK_SIZE):
                result.add(run)
                if not run.counts:
                    nearest.offer(run.scenario, run.nearest)
                is_due = result.runs % PROGRESS_INTERVAL == 0 or result.runs == runs
                if on_progress and is_due:
                    on_progress(result)
    return result


def _generate_round(first_seed: int, size: int, parents: list[Scenario]) -> Iterator[NamedScenario]:
    """Yield the scenarios of a round.

    Args:
        first_seed: The first seed of the round.
        size: The number of scenarios.
        parents: The scenarios to mutate; empty in the first round.
    """
    new_seeds = size
    if parents:
        new_seeds = max(1, round(size * NEW_SEED_SHARE))
    for seed in range(first_seed, first_seed + new_seeds):
        yield NamedScenario(f"seed {seed}", generate_scenario(seed))
    for index in range(size - new_seeds):
        seed = first_seed + new_seeds + index
        parent = parents[index % len(parents)]
        yield NamedScenario(f"neighbour {seed}", mutate(parent, seed))
