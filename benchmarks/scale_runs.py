"""The runs of `scale.py`: which there are, in which order, and each in a process of its own."""

import json
import os
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from benchmarks.scale_options import THIS_BUILD, Options
from benchmarks.scale_sizes import ROOT, SIZES, Shape
from petrellane.testbed import slopes

SCRIPT = ROOT / "benchmarks" / "scale_play.py"
RUN_PATIENCE_S = 150.0

Figures = dict[str, float]
Play = Callable[[Shape, str], Figures]


class RunError(Exception):
    """A run did not give its figures; the text is one line that says why."""


class Job(NamedTuple):
    """One run of one point of a size, by one build."""

    build: str
    size: str
    value: float
    run: int

    def __str__(self) -> str:
        return f"{self.size}-{self.value:g}-{self.run} ({self.build})"


def play_in_process(shape: Shape, folder: str = str(ROOT)) -> Figures:
    """Return the figures of one run, in a process of its own.

    Args:
        shape: What is run.
        folder: The checkout whose program is run.

    Raises:
        RunError: The run failed, took too long, or was void.
    """
    try:
        process = subprocess.run(
            [sys.executable, str(SCRIPT), json.dumps(shape)],
            capture_output=True,
            text=True,
            timeout=RUN_PATIENCE_S,
            cwd=folder,
            env=os.environ | {"PYTHONPATH": folder},
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise RunError(f"expected an end within {RUN_PATIENCE_S:g} s, found none") from None
    if process.returncode:
        lines = process.stderr.strip().splitlines()
        raise RunError(lines[-1] if lines else f"exit code {process.returncode}")
    figures: dict[str, Any] = json.loads(process.stdout.strip().splitlines()[-1])
    void = figures.pop("void", "")
    if void:
        raise RunError(f"void: {void}")
    return figures


def jobs_of(options: Options, sizes: Sequence[str], side_by_side: int) -> list[Job]:
    """Return all runs of the sizes that have so many side by side, in the order of playing."""
    jobs = []
    for name in sizes:
        size = SIZES[name]
        if size.side_by_side != side_by_side:
            continue
        builds = list(options.builds) if size.is_module else [THIS_BUILD]
        jobs += [
            Job(build, name, value, run)
            for build in builds
            for value in options.points[name]
            for run in range(1, options.runs_of(name) + 1)
        ]
    return slopes.shuffled(jobs, options.seed)


def round_figures(figures: Figures) -> Figures:
    """Round each figure to the digits that the file keeps."""
    return {name: slopes.round_to_significant(value) for name, value in figures.items()}
