"""Measures by how much each figure of a gateway and of its fleet grows with each size.

    python benchmarks/scale.py [--sizes all|none|hosts,customers,...] [--runs 5]
        [--out benchmarks/scale.json] [--base FOLDER] [--predict SIZE=VALUE]...
        [--points SIZE=V,V,V,V]... [--hard] [--sets]

Question: which figures grow with the number of endpoints, customers, methods, RPCs, gateways and
changes, and by how much: slopes of lines through at least four points each?

One size varies at a time; all others stay as `scale_sizes.py` has them. Every run is a process of
its own (`scale_play.py`), and the order of all runs of all points, sizes and builds is drawn from
`--seed`. First come the sizes of the decisions and the configuration (hosts, customers, methods,
rpcs), three runs side by side in CPU time; then those of 120 hollow gateways (list_changes,
settings_changes, fleet_rpcs), two side by side as each takes a core; then more and more gateways,
one at a time as each takes the machine. Figures of a role are of all its processes together, by the
second. `--base` plays another checkout's decisions in the same order, to compare costs. Lines,
their spread and what counts as a line: `petrellane/testbed/slopes.py`.

`--predict` states what each line gives at a size that no run had, writes that to the file, and only
then runs it. `--hard` plays hard cases of a gateway at the design sizes, `--sets` measures how
evenly the endpoint subsets of many gateways cover the endpoints. With `--sizes none` these go into
the file that is there, beside what it has.

Columns: build, size, figure; intercept and slope of the line; lowest and highest slope over runs;
unit; whether it is a line; and the median of each point with its number of runs. The file's name is
last. Exit codes: 2 for arguments that make no sense; 1 where a run failed or a prediction is off by
more than its tolerance.
"""

import pathlib
import sys
import time
from collections.abc import Iterable, Sequence
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.scale_options import Options, build_parser, check_arguments
from benchmarks.scale_report import Report, Row
from benchmarks.scale_runs import Play, jobs_of, play_in_process
from benchmarks.scale_sizes import CASES, SIZES, SUBSET_CASES


def print_slopes(slopes_by_build: dict[str, Any]) -> None:
    """Print a row for each figure that was ever above zero."""
    print(
        f"\n{'build':5} {'size':16} {'figure':28} {'intercept':>10} {'slope':>10} "
        f"{'least':>10} {'most':>10}  unit; what the points say"
    )
    for build, sizes in slopes_by_build.items():
        for name, figures in sizes.items():
            for figure, row in figures.items():
                if any(point[3] for point in row["points"]):
                    print_slope(f"{build:5} {name:16} {figure:28}", row)


def print_slope(subject: str, row: Row) -> None:
    """Print the row of one line."""
    points = ", ".join(
        f"{value:g}: {median:g} ({runs})" for value, median, _, _, runs in row["points"]
    )
    lowest, highest = row["spread"]
    print(
        f"{subject} {row['intercept']:>10.4g} {row['slope']:>10.4g} "
        f"{lowest:>10.4g} {highest:>10.4g}  {row['unit']}; {row['note'] or 'line'}; {points}"
    )


def print_cases(rows: Iterable[Row]) -> None:
    """Print the figures of each case."""
    for row in rows:
        print(f"\n{row['case']} ({row['build']}, {row['commit']})")
        print("  " + ", ".join(f"{figure} {value:g}" for figure, value in row["figures"].items()))


def play_sizes(report: Report, options: Options) -> None:
    """Play all runs of the sizes, those with many side by side first."""
    for side_by_side in sorted({SIZES[name].side_by_side for name in options.sizes}, reverse=True):
        started = time.monotonic()
        jobs = jobs_of(options, options.sizes, side_by_side)
        workers = min(options.jobs, side_by_side)
        report.body["runs"] += report.run(jobs, workers)
        elapsed_s = time.monotonic() - started
        print(f"{len(jobs)} runs, {workers} side by side, in {elapsed_s:.0f} s", flush=True)


def main(arguments: Sequence[str] | None = None, play: Play = play_in_process) -> int:
    """Play what the command line asks for, and return the exit code.

    Args:
        arguments: The command line; None for that of this process.
        play: Runs one shape by the build of a folder.
    """
    parser = build_parser((__doc__ or "").splitlines()[0])
    try:
        options = check_arguments(parser.parse_args(arguments))
    except ValueError as error:
        parser.error(str(error))
    report = Report(options, play)
    play_sizes(report, options)
    if options.sizes:
        lines = report.fit()
        print_slopes(report.body["slopes"])
        report.predict(lines)
    if options.plays_hard_cases:
        report.play_cases("hard", CASES)
        print_cases(report.body["hard"])
    if options.plays_subset_cases:
        report.play_cases("sets", SUBSET_CASES)
        print_cases(report.body["sets"])
    report.write()
    load_before, load_after = report.body["load"]
    print(f"\n{len(report.failures)} failed; load {load_before} to {load_after}; {options.out}")
    return int(report.has_failed)


if __name__ == "__main__":
    sys.exit(main())
