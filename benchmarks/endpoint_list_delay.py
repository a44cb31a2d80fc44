"""Measures how late a change of the endpoint list reaches gateways after a fault of discovery.

    python benchmarks/endpoint_list_delay.py [--gateways 24] [--seconds 150] [--seed 1]
        [--kinds refused,silent] [--build FOLDER]
    python benchmarks/endpoint_list_delay.py --together "turned away" [--gateways 30] [--rate 12]
        [--build FOLDER]
    python benchmarks/endpoint_list_delay.py --model [--gateways 200] [--seeds 5] [--rate 80]

Question: an endpoint's state changes while discovery has a fault; how long after the return of
discovery does each gateway have the change, and how many calls does discovery get?

Without `--together` and `--model`, real gateways run on loopback without load, each with a
discovery of its own, which has one fault after another, of 3 to 25 s (`--longest`), of the kinds of
`petrellane/testbed/fake_discovery.py`. Times are from the return of discovery to the gateway's log
event `hosts` with the change. An `open watch` falls silent as it begins and the change comes at
once: as discovery could be called all the time, its times are from the change. Columns: kind of
fault; number of trials; median, 90th percentile and highest of the seconds; changes that came after
6 s; changes that never came.

With `--together` all gateways have one discovery: it has the fault for 8 s, and serves `--rate`
calls a second from then on. `--model` simulates the same: refusing, silent, and without a fault but
that all watches end at once. `--build` runs another checkout's program.

The last line is a JSON object. Exit code 1 when a change came more than 6 s late.
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Sequence

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.endpoint_list_delay_model import FAULTS, ModelResult, play_outage
from benchmarks.endpoint_list_delay_processes import (
    KINDS,
    ProcessOptions,
    play_separate,
    play_shared,
)

BOUND_S = 6.0
MODEL_GATEWAYS = 200
SHARED_GATEWAYS = 30
SEPARATE_GATEWAYS = 24
STEADY_AFTER_S = 10  # seconds after the return of discovery

Delays = Sequence[float | None]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of the values lies."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def known_delays(delays: Delays) -> list[float]:
    """Return the delays of changes that came."""
    return [delay for delay in delays if delay is not None]


def count_late(delays: Delays) -> int:
    """Return how many changes came after the bound, or never."""
    return sum(delay is None or delay > BOUND_S for delay in delays)


def format_delays(delays: Delays) -> str:
    """Return median, 90th percentile and maximum of the delays."""
    known = known_delays(delays)
    p50 = percentile(known, 0.5)
    p90 = percentile(known, 0.9)
    return f"notified p50 {p50:.2f}, p90 {p90:.2f}, most {max(known):.2f} s"


def print_kind(kind: str, delays: Delays) -> None:
    """Print the row of one kind of fault."""
    known = known_delays(delays) or [0.0]
    print(
        f"{kind:12} {len(delays):>6} {percentile(known, 0.5):>6.2f} {percentile(known, 0.9):>6.2f} "
        f"{max(known):>6.2f} {count_late(delays):>8} {sum(delay is None for delay in delays):>6}"
    )


def run_separate(arguments: argparse.Namespace, options: ProcessOptions) -> int:
    """Play faults with a discovery for each gateway, print them and return the exit code."""
    result = play_separate(options)
    delays_by_kind: dict[str, Delays] = {
        kind: [trial.delay for trial in result.trials if trial.kind == kind]
        for kind in options.kinds
    }
    all_delays = [trial.delay for trial in result.trials]
    print(
        f"{'trouble':12} {'trials':>6} {'p50':>6} {'p90':>6} {'most':>6} "
        f"{'over 6 s':>8} {'never':>6}"
    )
    for kind, delays in delays_by_kind.items():
        print_kind(kind, delays)
    print_kind("all", all_delays)
    late = count_late(all_delays)
    calls = result.calls / options.gateways / arguments.seconds
    print(
        f"calls of a gateway in a second: {calls:.3f}; "
        f"the testbed stood still for {result.longest_stall_s:.2f} s"
    )
    print(json.dumps({"trials": len(all_delays), "late": late, "took": delays_by_kind}))
    return int(bool(late))


def run_shared(arguments: argparse.Namespace, options: ProcessOptions) -> int:
    """Play a fault of a shared discovery, print it and return the exit code."""
    fault = arguments.together
    result = play_shared(options, fault, arguments.rate)
    late = count_late(result.delays)
    rejecting = [number for number, counts in enumerate(result.seconds) if counts.rejected]
    print(
        f"{options.gateways} gateways, {fault} for {result.fault_s:.1f} s, "
        f"then {arguments.rate:g} calls a second served: "
        f"{format_delays(result.delays)}; {late} over 6 s; "
        f"calls in a second {max(counts.calls for counts in result.seconds)} at most, "
        f"{result.seconds[-1].calls} in the last; "
        f"rejected {sum(counts.rejected for counts in result.seconds)}, "
        f"last in second {rejecting[-1] if rejecting else '-'}; "
        f"the testbed stood still for {result.longest_stall_s:.2f} s"
    )
    print(json.dumps({"trouble": fault, "took": result.delays, "seconds": result.seconds}))
    return int(bool(late))


def print_model(fault: str, seed: int, result: ModelResult) -> None:
    """Print the row of one simulated run."""
    steady_calls = result.calls[STEADY_AFTER_S : 2 * STEADY_AFTER_S]
    print(
        f"{fault:12} seed {seed}: {format_delays(result.delays)}; "
        f"{count_late(result.delays)} of {len(result.delays)} over 6 s; "
        f"calls in a second {max(result.calls)} at most, "
        f"{sum(steady_calls) / STEADY_AFTER_S:.0f} from 10 s on; "
        f"rejected {sum(result.rejected[:STEADY_AFTER_S])}, "
        f"from 10 s on {sum(result.rejected[STEADY_AFTER_S:])}; "
        f"rules broken: {', '.join(result.broken) or 'none'}"
    )


def run_models(arguments: argparse.Namespace, gateways: int) -> int:
    """Play all simulated runs, print them and return the exit code."""
    late = 0
    rows = []
    for fault in FAULTS:
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            result = play_outage(seed, gateways, fault, arguments.rate)
            print_model(fault, seed, result)
            late_here = count_late(result.delays)
            late += late_here
            row = {
                "trouble": fault,
                "seed": seed,
                "most": max(known_delays(result.delays)),
                "over": late_here,
                "of": len(result.delays),
                "calls": result.calls,
                "refused": result.rejected,
                "broken": result.broken,
            }
            rows.append(row)
    print(json.dumps(rows))
    return int(bool(late))


def parse_arguments() -> argparse.Namespace:
    """Read the command line; 0 gateways stand for the mode's own default."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=0)
    parser.add_argument("--model", action="store_true")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--longest", type=float, default=25.0)
    parser.add_argument("--kinds", type=lambda text: text.split(","), default=list(KINDS))
    parser.add_argument("--together", default="")
    parser.add_argument("--rate", type=float, default=float("inf"))
    parser.add_argument("--build", default="")
    return parser.parse_args()


def main() -> int:
    """Play what the command line asks for, and return the exit code."""
    arguments = parse_arguments()
    if arguments.model:
        return run_models(arguments, arguments.gateways or MODEL_GATEWAYS)
    default_gateways = SHARED_GATEWAYS if arguments.together else SEPARATE_GATEWAYS
    options = ProcessOptions(
        gateways=arguments.gateways or default_gateways,
        seed=arguments.seed,
        seconds=arguments.seconds,
        longest_fault=arguments.longest,
        kinds=arguments.kinds,
        build=arguments.build,
    )
    if arguments.together:
        return run_shared(arguments, options)
    return run_separate(arguments, options)


if __name__ == "__main__":
    sys.exit(main())
