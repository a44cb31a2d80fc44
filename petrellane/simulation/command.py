"""The commands `property-search` and `replay`: progress, files and printed reports."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from types import TracebackType

from rich.console import Console

from petrellane.invariants import RULES
from petrellane.load_distribution import sources
from petrellane.simulation import property_search
from petrellane.simulation.figures import ServiceFigures
from petrellane.simulation.fleet import FleetSimulation, Run
from petrellane.simulation.property_search import SearchResult, SearchRun
from petrellane.simulation.scenario import Scenario
from petrellane.simulation.scenario_files import (
    ScenarioError,
    format_scenario,
    parse_scenario,
)
from petrellane.simulation.scenario_generation import generate_scenario
from petrellane.simulation.shrinking import shrink
from petrellane.simulation.timeline import format_timeline, format_verdict

PROGRESS_INTERVAL_S = 10.0  # between progress lines when stderr is not a terminal
HISTOGRAM_COLUMNS = 5


class SearchProgress:
    """Shows the progress of a search on stderr.

    On a terminal it updates one status line; elsewhere it prints a line every
    `PROGRESS_INTERVAL_S` seconds.

    Attributes:
        latest: The result that the search last reported.
    """

    def __init__(self, runs: int) -> None:
        console = Console(stderr=True)
        self.latest = SearchResult()
        self._runs = runs
        self._started_at = time.monotonic()
        self._status = console.status("searching") if console.is_terminal else None
        self._next_line_at = PROGRESS_INTERVAL_S

    def __enter__(self) -> SearchProgress:
        if self._status:
            self._status.start()
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        if self._status:
            self._status.stop()

    def update(self, result: SearchResult) -> None:
        """Store the result so far, and show it when a progress line is due."""
        self.latest = result
        elapsed = time.monotonic() - self._started_at
        nearest = " ".join(f"{rule} {result.nearest[rule]:.2f}" for rule in RULES)
        line = (
            f"{result.runs} of {self._runs} runs, {result.runs / elapsed:.0f}/s, "
            f"rules broken in {len(result.found)} runs; nearest distances: {nearest}"
        )
        if self._status:
            self._status.update(line)
        elif elapsed >= self._next_line_at:
            self._next_line_at = elapsed + PROGRESS_INTERVAL_S
            print(line, file=sys.stderr, flush=True)


def search(seeds: int, first: int, jobs: int, enough: int, out: str) -> int:
    """Search for scenarios that break a rule, shrink them and write them to files.

    On a keyboard interrupt the function reports the result so far.

    Args:
        seeds: The number of scenarios to play.
        first: The first seed.
        jobs: The number of worker processes; 0 for one per core.
        enough: The number of rule-breaking runs after which the search ends, and the maximum
            number that is shrunk and written.
        out: The folder for the shrunk scenarios.

    Returns:
        The exit code: 1 when a rule was broken, else 0.
    """
    progress = SearchProgress(seeds)
    try:
        with progress:
            result = property_search.search(first, seeds, jobs, enough, progress.update)
    except KeyboardInterrupt:
        print("interrupted; the results so far follow", file=sys.stderr)
        result = progress.latest
    ok_share = result.ok_share_sum / max(1, result.runs)
    print(
        f"{result.runs} runs from seed {first}; "
        f"ok share of the utility inside quotas {ok_share:.3f}"
    )
    for rule in RULES:
        histogram = format_histogram(result.histograms[rule])
        print(f"  {rule:9} nearest {result.nearest[rule]:.2f}  runs by distance: {histogram}")
    for found in result.found[:enough]:
        report_found(found, Path(out))
    if not result.found:
        print("no rule broken")
    return 1 if result.found else 0


def format_histogram(bins: list[int]) -> str:
    """Format a histogram of the runs' nearest distances to a rule.

    The columns before the bar count the runs in each fifth of the range from 0 to 1; the figure
    after it counts the runs that reached the rule.
    """
    width = property_search.BINS // HISTOGRAM_COLUMNS
    columns = [
        str(sum(bins[start : start + width])) for start in range(0, property_search.BINS, width)
    ]
    return f"{' '.join(columns)} | {bins[-1]}"


def report_found(found: SearchRun, folder: Path) -> None:
    """Shrink a scenario that breaks a rule, write it to a folder and print its timeline."""
    rule = min(found.counts)
    scenario = shrink(found.scenario, rule)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{rule}-{found.name.replace(' ', '-')}.ndjson"
    comment = f"Breaks the rule `{rule}`; shrunk from {found.name}. Safeguard: (to be written)"
    path.write_text(format_scenario(scenario, comment))
    run = FleetSimulation(scenario, keep_records=True).play()
    print(f"{found.name}: {format_verdict(run)}")
    print(f"  written to {path}; petrellane replay {path} plays it again")
    print("\n".join(format_timeline(run)))


def replay(file: str, seed: bool, out: str, records: str = "") -> int:
    """Play a scenario and print its timeline, verdict and figures.

    Args:
        file: The path of a scenario file, or a seed.
        seed: Whether `file` is a seed.
        out: The path to write the scenario to; empty for none.
        records: The path to write the run's records to; empty for none.

    Returns:
        The exit code: 0 when the run broke exactly the rules that its scenario expects, else 1.

    Raises:
        ScenarioError: The file can't be read or is malformed, or the seed is not a number.
    """
    scenario = _load_scenario(file, seed)
    if out:
        Path(out).write_text(format_scenario(scenario))
    run = FleetSimulation(scenario, keep_records=True).play()
    if records:
        sources.write(records, run.records or [], scenario.world.length)
    print("\n".join(format_timeline(run)))
    print(format_verdict(run))
    print(format_figures(run.figures))
    return _check_expectation(run)


def _load_scenario(file: str, is_seed: bool) -> Scenario:
    if is_seed:
        if not file.isdecimal():
            raise ScenarioError(f"--seed: expected a whole number, found {file}")
        return generate_scenario(int(file))
    try:
        text = Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{file}: expected a scenario file: {error}") from None
    return parse_scenario(text, file)


def format_figures(figures: ServiceFigures) -> str:
    """Return the figures of a run in one line."""
    parts = [f"ok share {figures.ok_share:.3f}", f"beyond quota {figures.beyond_quota:.3f}"]
    parts += [f"{answer} {count}" for answer, count in figures.answers.items()]
    return ", ".join(parts)


def _check_expectation(run: Run) -> int:
    """Return the exit code, and print the broken rules when they differ from those expected."""
    expected = run.scenario.expected.broken if run.scenario.expected else []
    if run.broken == sorted(expected):
        return 0
    print(
        f"expected {', '.join(expected) or 'no rule'} to be broken, "
        f"found {', '.join(run.broken) or 'none'}",
        file=sys.stderr,
    )
    return 1
