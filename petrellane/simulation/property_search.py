"""Looks through scenarios for a broken rule, over all cores.

A search goes in rounds: one part of a round is generated from new seeds, the other consists of
neighbours of the scenarios that came nearest to a rule so far. What a round plays depends on the
search's first seed and the rounds before it alone, so a search gives the same verdict on any number
of cores. What it finds is reduced by `shrinking`.
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

ROUND_SIZE = 256  # scenarios of a round
NEW_SEED_SHARE = 0.6  # fraction of a round that is generated from new seeds
NEAREST_KEPT = 6  # nearest scenarios that are kept for each rule
BINS = 20  # of a histogram of nearest distances, from 0 to 1
PROGRESS_INTERVAL = 16  # runs between reports of progress
CHUNK_SIZE = 4  # scenarios that a worker process takes at once


class NamedScenario(NamedTuple):
    """A scenario, and a name that says where it comes from."""

    name: str
    scenario: Scenario


class SearchRun(NamedTuple):
    """What a worker process reports of a run: the figures that the search needs, no more.

    Attributes:
        name: Of the scenario.
        scenario: What was played.
        counts: How often each rule was broken.
        nearest: The nearest distance to each rule.
        ok_share: Worth of what was served, of what was asked for within quotas.
    """

    name: str
    scenario: Scenario
    counts: dict[str, int]
    nearest: dict[str, float]
    ok_share: float


@dataclass
class SearchResult:
    """What a search has seen so far.

    Attributes:
        runs: How many scenarios were played.
        found: The runs that broke rules.
        nearest: The nearest distance to each rule; 1: at it, 0: never close.
        histograms: For each rule, how many runs came how near; the last bin is at the rule.
        ok_share_sum: The sum of the runs' shares.
    """

    runs: int = 0
    found: list[SearchRun] = field(default_factory=list)
    nearest: dict[str, float] = field(default_factory=lambda: dict.fromkeys(RULES, 0.0))
    histograms: dict[str, list[int]] = field(
        default_factory=lambda: {rule: [0] * (BINS + 1) for rule in RULES}
    )
    ok_share_sum: float = 0.0

    def add(self, run: SearchRun) -> None:
        """Count a run."""
        self.runs += 1
        self.ok_share_sum += run.ok_share
        if run.counts:
            self.found.append(run)
        for rule, distance in run.nearest.items():
            self.nearest[rule] = max(self.nearest[rule], distance)
            self.histograms[rule][min(BINS, int(distance * BINS))] += 1


def play(job: NamedScenario) -> SearchRun:
    """Play a scenario, in a worker process."""
    run = FleetSimulation(job.scenario).play()
    return SearchRun(
        job.name, job.scenario, run.verdict.counts, run.verdict.nearest, run.figures.ok_share
    )


class Candidate(NamedTuple):
    """A scenario that came near a rule; `order` is unique, later ones come first."""

    distance: float
    order: int
    scenario: Scenario


class NearestScenarios:
    """The scenarios that came nearest to each rule without breaking it."""

    def __init__(self) -> None:
        self._by_rule: dict[str, list[Candidate]] = {rule: [] for rule in RULES}
        self._count = 0

    def offer(self, scenario: Scenario, nearest: dict[str, float]) -> None:
        """Keep a scenario for the rules that it came nearest to."""
        for rule, distance in nearest.items():
            if 0.0 < distance < 1.0:
                self._count += 1
                candidates = self._by_rule[rule]
                heapq.heappush(candidates, Candidate(distance, -self._count, scenario))
                if len(candidates) > NEAREST_KEPT:
                    heapq.heappop(candidates)

    def scenarios(self) -> list[Scenario]:
        """All that are kept, by rule and distance."""
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
        first_seed: The same one gives the same search.
        runs: The maximum of scenarios to play.
        workers: Processes; 0 is one a core.
        enough: How many that break a rule end the search.
        on_progress: Is called every few runs.
    """
    result = SearchResult()
    nearest = NearestScenarios()
    with ProcessPoolExecutor(workers or os.cpu_count() or 1) as pool:
        while result.runs < runs and len(result.found) < enough:
            size = min(ROUND_SIZE, runs - result.runs)
            jobs = list(_round(first_seed + result.runs, size, nearest.scenarios()))
            for run in pool.map(play, jobs, chunksize=CHUNK_SIZE):
                result.add(run)
                if not run.counts:
                    nearest.offer(run.scenario, run.nearest)
                is_due = result.runs % PROGRESS_INTERVAL == 0 or result.runs == runs
                if on_progress and is_due:
                    on_progress(result)
    return result


def _round(first_seed: int, size: int, parents: list[Scenario]) -> Iterator[NamedScenario]:
    """The scenarios of a round."""
    from_seeds = size
    if parents:
        from_seeds = max(1, round(size * NEW_SEED_SHARE))
    for seed in range(first_seed, first_seed + from_seeds):
        yield NamedScenario(f"seed {seed}", generate_scenario(seed))
    for index in range(size - from_seeds):
        seed = first_seed + from_seeds + index
        parent = parents[index % len(parents)]
        yield NamedScenario(f"neighbour {seed}", mutate(parent, seed))
