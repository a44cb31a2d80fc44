"""Measures how long a restarted gateway takes until it is ready, and what it waits for.

    python benchmarks/start_up_time.py [--gateways 200] [--rows roll,kill] [--cores 0]
        [--agreed 20] [--single 15]

Question: after which time does a restarted gateway reach each stage of its start, up to its first
successful RPC, in fleets that restart together?

Real processes run on loopback beside one testbed that plays endpoints, counter, discovery and a
light load. In a round, a tenth of the gateways at a time is asked to end (SIGTERM) and each is
started again once it has ended (roll); or seven in ten are killed and started again at once (kill);
with discovery up, refusing connections, answering 503 or silent, and a counter that answers or is
silent. Each process reports when its interpreter was up, when it had imported all (it opens its
configuration), had read that and put itself together, and listened. The testbed then sees the first
PING, `/-/ready`, answer and ok.

Columns: number of starts; `begun within`, the seconds between the first and the last of them;
starts that were ready within 10 s; for `ready` and each stage the median, 90th percentile and
maximum of the seconds since the begin of the start, and how many never came to it; `cpu` and
`waited`, the seconds of CPU up to `listening` and those of waiting for a core (Linux: schedstat);
`rig`, the longest time for which the testbed stood still. `--cores` lets gateways run on so many
cores only; `--agreed` plays a small fleet with consensus too; `--single` starts so many processes
one after another, with 6 and 1000 methods and 200 known endpoints.

The last line is a JSON object. Exit codes: 1 when fewer than nine in ten starts of a round were
ready within 10 s; 2, without a run, where the gateways would take over half of the memory.
"""

import argparse
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.start_up_rounds import ROUNDS, Cores, Round, Row, play_rounds
from benchmarks.start_up_single import measure_single_starts

GATEWAY_MEMORY = 40 * 2**20  # bytes, about
READY_SHARE = 0.9


def format_value(value: object) -> str:
    """Return a value, or those of a list with slashes between them."""
    return "/".join(map(str, value)) if isinstance(value, list) else str(value)


def choose_rounds(prefixes: str) -> list[Round]:
    """Return the rounds whose words begin with one of these; all where there are none."""
    if not prefixes:
        return list(ROUNDS)
    starts = tuple(prefixes.split(","))
    return [chosen for chosen in ROUNDS if " ".join(chosen).startswith(starts)]


def choose_cores(count: int) -> Cores:
    """Return the last so many cores that this process may use; None for all."""
    return set(sorted(os.sched_getaffinity(0))[-count:]) if count else None


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument(
        "--rows", default="", help="of all rows only those that begin so, e.g. kill,roll"
    )
    parser.add_argument("--cores", type=int, default=0)
    parser.add_argument(
        "--agreed", type=int, default=0, help="gateways of a small fleet with agreement, 0: none"
    )
    parser.add_argument("--single", type=int, default=15)
    return parser.parse_args()


def run_all(arguments: argparse.Namespace) -> list[Row]:
    """Play what the command line asks for, and print a row each."""
    runs: list[Row] = []
    if arguments.single:
        runs.append({"row": "alone", **measure_single_starts(arguments.single)})
        print(runs[-1], flush=True)
    cores = choose_cores(arguments.cores)
    rounds = choose_rounds(arguments.rows)
    for gateways, has_consensus in ((arguments.gateways, False), (arguments.agreed, True)):
        if not gateways:
            continue
        for row in play_rounds(gateways, rounds, cores, has_consensus):
            runs.append(row)
            figures = [f"{name}: {format_value(value)}" for name, value in row.items()]
            print("  ".join(figures), flush=True)
    return runs


def main() -> int:
    """Play what the command line asks for, and return the exit code."""
    arguments = parse_arguments()
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    if max(arguments.gateways, arguments.agreed) * GATEWAY_MEMORY > memory / 2:
        print(
            f"{arguments.gateways} gateways take over half of the memory ({memory / 2**30:.1f} GB)",
            file=sys.stderr,
        )
        return 2
    runs = run_all(arguments)
    print(json.dumps(runs))
    rounds = [run for run in runs if "starts" in run]
    return int(any(run["ready within 10 s"] < READY_SHARE * run["starts"] for run in rounds))


if __name__ == "__main__":
    sys.exit(main())
