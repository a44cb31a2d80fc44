"""What `petrellane hunt` and `petrellane replay` do: progress, files and words for a person."""

import pathlib
import sys
import time

from rich.console import Console

from petrellane.invariants import RULES
from petrellane.load_distribution import sources
from petrellane.simulation import property_search as hunting
from petrellane.simulation.fleet import Fleet
from petrellane.simulation.scenario import ScenarioError, read, write
from petrellane.simulation.scenario_generation import draw
from petrellane.simulation.timeline import timeline, verdict


class Progress:
    """A live line on a terminal; elsewhere a line every ten seconds."""

    def __init__(self, runs):
        self.runs, self.console, self.began = runs, Console(stderr=True), time.monotonic()
        self.status = self.console.status("hunting") if self.console.is_terminal else None
        self.next = 10.0

    def __enter__(self):
        if self.status:
            self.status.start()
        return self

    def __exit__(self, *error):
        if self.status:
            self.status.stop()

    def told(self, tally):
        took = time.monotonic() - self.began
        near = " ".join(f"{rule} {tally.nearest[rule]:.2f}" for rule in RULES)
        line = f"{tally.runs} of {self.runs} runs, {tally.runs / took:.0f}/s, broken in {len(tally.found)}; nearest: {near}"
        if self.status:
            self.status.update(line)
        elif took >= self.next:
            self.next = took + 10.0
            print(line, file=sys.stderr, flush=True)


def hunt(seeds: int, first: int, jobs: int, enough: int, out: str) -> int:
    """Hunt, cut down and write what is found; gives the exit code. An interrupt ends it with what was seen so far."""
    latest = hunting.Tally()
    try:
        with Progress(seeds) as progress:

            def told(tally):
                nonlocal latest
                latest = tally
                progress.told(tally)

            latest = hunting.hunt(first, seeds, jobs, enough, told)
    except KeyboardInterrupt:
        print("interrupted; what follows is what was seen", file=sys.stderr)
    share = latest.ok / max(1, latest.runs)
    print(
        f"{latest.runs} runs from seed {first}; ok share of the utility inside quotas {share:.3f}"
    )
    for rule in RULES:
        print(
            f"  {rule:9} nearest {latest.nearest[rule]:.2f}  runs by distance: {spread(latest.spread[rule])}"
        )
    for found in latest.found[:enough]:
        tell(found, pathlib.Path(out))
    if not latest.found:
        print("no rule broken")
    return 1 if latest.found else 0


def spread(bins: list[int]) -> str:
    """How many runs came how near, in fifths of the way; the last figure is at the rule or past it."""
    fifth = hunting.BINS // 5
    return (
        " ".join(str(sum(bins[at : at + fifth])) for at in range(0, hunting.BINS, fifth))
        + f" | {bins[-1]}"
    )


def tell(found, folder):
    """Cut one found scenario down, write it and tell it."""
    rule = min(found.counts)
    small = hunting.cut_down(found.scenario, rule)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{rule}-{found.name.replace(' ', '-')}.ndjson"
    path.write_text(
        write(
            small,
            f"Breaks the rule `{rule}`; cut down from {found.name}. "
            "What guards against it: (to be written)",
        )
    )
    run = Fleet(small, keep=True).play()
    print(
        f"{found.name}: {verdict(run)}\n  written to {path}; petrellane replay {path} plays it again"
    )
    print("\n".join(timeline(run)))


def replay(file: str, seed: bool, out: str, records: str = "") -> int:
    """Play a scenario file, or a seed's scenario, and tell it; gives the exit code. Raises ScenarioError."""
    if seed:
        if not file.isdecimal():
            raise ScenarioError(f"--seed: expected a whole number, found {file}")
        scenario = draw(int(file))
    else:
        try:
            scenario = read(pathlib.Path(file).read_text(), file)
        except (OSError, UnicodeDecodeError) as error:
            raise ScenarioError(f"{file}: expected a scenario file: {error}") from None
    if out:
        pathlib.Path(out).write_text(write(scenario))
    run = Fleet(scenario, keep=True).play()
    if records:
        sources.write(records, run.records, scenario.world.length)
    print("\n".join(timeline(run)))
    print(verdict(run))
    print(
        ", ".join(
            f"{name} {value:.3f}" if isinstance(value, float) else f"{name} {value}"
            for name, value in run.figures.items()
        )
    )
    expected = scenario.expect.broken if scenario.expect else []
    if run.broken != sorted(expected):
        print(
            f"expected {', '.join(expected) or 'no rule'} to be broken, found {', '.join(run.broken) or 'none'}",
            file=sys.stderr,
        )
        return 1
    return 0
