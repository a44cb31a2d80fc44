"""Measures whether a gateway can dial what it needs while clients use up its descriptors.

    python benchmarks/descriptors.py [--kinds silent,ping,...] [--sockets 64,256,512] [--seeds 3]
        [--jobs 4] [--build FOLDER]

Question: clients hold all descriptors that they can get while discovery is down; when discovery,
a new counter and a new endpoint come at once, are these dialled at once?

One gateway process runs on loopback, and the kernel limits its descriptors too. Clients of one
kind keep dialling for twice as many connections as it may hold, while others ask one RPC after
another. Discovery is down from the start; after two to four seconds the old one is back, SIGHUP
names another one and another counter, and its list has another endpoint in place of the first.

Kinds of clients:
    silent  sends nothing
    ping    sends one PING
    renew   sends a PING every 1.8 s, before its connection is evicted
    half    sends half a command, and every 2.3 s its rest with the first half of the next
    long    sends a byte a second of a long command
    flood   disconnects and comes back
    mixed   all of these
    none    nobody
`--build` runs another checkout's program.

Columns, for each kind and size: bad runs of all; seconds from SIGHUP until the new discovery, the
new counter and the new endpoint are asked (the highest of the seeds); dials, accepts and reloads
that failed for want of a descriptor; the highest number of descriptors held; descriptors at the end
over those at the start; RPCs on kept and on new connections: served + refused / all. The last line
is a JSON object with every run. The counter is asked when an add is due: with late answers (a busy
machine) the gateway does without for a while, which shows as `none` and is not bad.

Exit code 1 when a run was bad: a change took over 6 s, a dial or a reload failed, the gateway had a
fault, or a descriptor was lost.
"""

import argparse
import json
import pathlib
import resource
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.descriptors_clients import KINDS
from benchmarks.descriptors_run import RunOptions, RunResult, play_run


def format_delays(runs: Sequence[RunResult]) -> list[str]:
    """Return the highest delay of the new discovery, counter and endpoint, or `none`."""
    with_adds = [run for run in runs if run.adds_after]
    columns = (("discovery new", runs), ("counter new", with_adds), ("host new", runs))
    return [
        f"{max(run.delays[f'{party} asked'] for run in measured):.2f}" if measured else "none"
        for party, measured in columns
    ]


def format_rpcs(counts: Sequence[Sequence[int]]) -> str:
    """Return RPCs over several runs as served + refused / all."""
    served, refused, asked = (sum(column) for column in zip(*counts, strict=True))
    return f"{served}+{refused}/{asked}"


def print_table(runs: Sequence[RunResult]) -> None:
    """Print a row for each size and kind."""
    print("sockets kind bad discovery counter host dials accepts reloads most lost kept new")
    for sockets, kind in dict.fromkeys((run.sockets, run.kind) for run in runs):
        rows = [run for run in runs if (run.sockets, run.kind) == (sockets, kind)]
        print(
            sockets,
            kind,
            f"{sum(run.is_bad for run in rows)}/{len(rows)}",
            *format_delays(rows),
            sum(sum(run.short_dials.values()) for run in rows),
            sum(run.short_accepts for run in rows),
            sum(run.refused_reloads for run in rows),
            max(run.descriptors for run in rows),
            max(run.lost_descriptors for run in rows),
            format_rpcs([run.kept_rpcs for run in rows]),
            format_rpcs([run.new_rpcs for run in rows]),
        )


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--sockets", default="64,256,512")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--build", default="")
    return parser.parse_args()


def main() -> int:
    """Play all runs, print them and return the exit code."""
    arguments = parse_arguments()
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    jobs = [
        RunOptions(kind, int(sockets), seed, arguments.build)
        for sockets in arguments.sockets.split(",")
        for kind in arguments.kinds.split(",")
        for seed in range(1, arguments.seeds + 1)
    ]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        runs = list(pool.map(play_run, jobs))
    print_table(runs)
    print(json.dumps([run.to_dict() for run in runs]).replace("Infinity", "null"))
    return int(any(run.is_bad for run in runs))


if __name__ == "__main__":
    sys.exit(main())
