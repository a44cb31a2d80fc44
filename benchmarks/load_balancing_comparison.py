"""Compares how evenly the module and other policies distribute load over endpoints.

    python benchmarks/load_balancing_comparison.py model [--gateways 200] [--hosts 100]
        [--loads 0.5,0.8,0.95] [--seeds 5] [--patience 8]
    python benchmarks/load_balancing_comparison.py hard [--gateways 200] [--hosts 100] [--load 0.5]
        [--ways module,two choices]
    python benchmarks/load_balancing_comparison.py processes [--gateways 200] [--hosts 60]
        [--load 0.5] [--seconds 40] [--rate 400]

Question: how even is the load over endpoints, how fast are answers, and how do both compare with
other ways to choose an endpoint?

`model` simulates each policy at each load. Columns: medians over seeds (lowest-highest) of the
shares of RPCs rejected and late, of the 50th and 99th percentile of times in mean works, of excess
and trough over 5 s and of herding (`petrellane/load_distribution/figures.py` defines these); then
the most endpoints that were idle, and rules broken. `--patience` is the latency objective in mean
works.

`hard` simulates one fault of each kind at 8 s; its figures are of 8 to 20 s. For an endpoint that
comes back, the last column has what it gets by second after that, over its fair part.

`processes` starts real gateways on loopback, with fake endpoints and faults in turn: one endpoint
that comes back empty, one ten times as slow, one that answers errors at once, one that is silent.
It prints the figures of each part and what the machine had to give.

The last line is a JSON object.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import sys
from collections.abc import Sequence

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.load_balancing_models import (
    HARD_CASES,
    MODULE,
    POLICIES,
    CaseRun,
    ModelRun,
    Row,
    play_case,
    play_model,
)
from benchmarks.load_balancing_processes import ProcessRun, play_processes

CASE_POLICIES = (MODULE, "two choices")
SHOWN = ("pushed", "late", "p50", "p99", "excess", "trough", "herd")


def format_median(rows: Sequence[Row], name: str) -> str:
    """Return a figure over several runs as median (lowest-highest)."""
    values = [row[name] for row in rows]
    return f"{statistics.median(values):.3f} ({min(values):.3f}-{max(values):.3f})"


def print_case(row: Row) -> None:
    """Print the row of one hard case."""
    excess = " ".join(f"{value:.2f}" for value in row["excess"])
    print(
        f"{row['case']:28} {row['who']:12} pushed {row['pushed']:.3f} late {row['late']:.3f} "
        f"p99 {row['p99']:.1f} excess {excess} idle {row['idle']} herd {row['herd']:.2f} "
        f"({row['herd_by_chance']:.2f}) swing {row['period']} "
        f"broken {row['broken'] or 'none'} {row['back'] or ''}"
    )


def run_hard_cases(arguments: argparse.Namespace) -> list[Row]:
    """Play each hard case with each policy, and print a row each."""
    policies = arguments.ways.split(",") if arguments.ways else CASE_POLICIES
    jobs = [
        CaseRun(
            case,
            policy,
            arguments.gateways,
            arguments.hosts or 100,
            arguments.load,
            arguments.patience,
            arguments.rate or 1000.0,
        )
        for case in HARD_CASES
        for policy in policies
    ]
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs or None) as pool:
        rows = list(pool.map(play_case, jobs))
    for row in rows:
        print_case(row)
    return rows


def run_models(arguments: argparse.Namespace) -> list[Row]:
    """Play all policies at all loads over the seeds, and print a row for each policy and load."""
    loads = [float(load) for load in arguments.loads.split(",")]
    policies = arguments.ways.split(",") if arguments.ways else POLICIES
    jobs = [
        ModelRun(
            policy,
            arguments.gateways,
            arguments.hosts or 100,
            load,
            arguments.patience,
            arguments.rate or 1000.0,
            seed,
            arguments.seconds or 20.0,
        )
        for load in loads
        for policy in policies
        for seed in range(1, arguments.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs or None) as pool:
        rows = list(pool.map(play_model, jobs))
    print_models(rows, loads, policies)
    return rows


def print_models(rows: Sequence[Row], loads: Sequence[float], policies: Sequence[str]) -> None:
    """Print a row for each load and policy."""
    titles = " ".join(f"{name:>21}" for name in SHOWN)
    print(f"{'load':>4} {'way':18} " + titles + "  idle broken")
    for load in loads:
        for policy in policies:
            runs = [row for row in rows if (row["who"], row["load"]) == (policy, load)]
            medians = " ".join(f"{format_median(runs, name):>21}" for name in SHOWN)
            idle = max(row["idle"] for row in runs)
            broken = sum(len(row["broken"]) for row in runs)
            print(f"{load:4g} {policy:18} {medians}  {idle:4} {broken}", flush=True)


def run_processes(arguments: argparse.Namespace) -> tuple[list[Row], Row]:
    """Play the run with real gateways."""
    return play_processes(
        ProcessRun(
            arguments.gateways,
            arguments.hosts or 60,
            arguments.load,
            arguments.rate or 400.0,
            arguments.seconds or 40.0,
        )
    )


MODES = {"model": run_models, "hard": run_hard_cases, "processes": run_processes}


def parse_arguments() -> argparse.Namespace:
    """Read the command line; 0 stands for the mode's own default."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("what", choices=tuple(MODES))
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--hosts", type=int, default=0)
    parser.add_argument("--loads", default="0.5,0.8,0.95")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--patience", type=float, default=8.0)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--ways", default="")
    parser.add_argument("--jobs", type=int, default=0)
    return parser.parse_args()


def main() -> None:
    """Play what the command line asks for, and print the JSON line."""
    arguments = parse_arguments()
    print(json.dumps(MODES[arguments.what](arguments)))


if __name__ == "__main__":
    main()
