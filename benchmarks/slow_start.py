"""Measures the load that endpoints get from a whole fleet while they warm up.

    python benchmarks/slow_start.py model [--gateways 3,20,30,200]
        [--shapes even,skewed,restarted,burst] [--seeds 5]
    python benchmarks/slow_start.py processes [--gateways 20] [--shapes even] [--seeds 1]

Question: do all gateways together keep to the operators' bound of N + 2 x root of N + 2 RPCs of
mean work a span at each endpoint that warms up, and are warm endpoints overloaded instead?

Both modes take [--load 0.7], a share of what all endpoints can do, and [--rate 200], RPCs a second.
The work of an RPC is within half of its mean in the model; with [--exponential], and always with
processes, it is drawn exponentially. Three tenths of the endpoints restart together.

Shapes of load:
    even       all gateways get as much
    skewed     a tenth of the gateways gets half
    restarted  a third of the gateways restarts as the endpoints return, with the list alone
    burst      twice the load for 4 s from the return on

Columns, for each fleet and shape over all seeds: the highest work that a warming-up endpoint got in
any span over the bound then, its age at that time, and in how many RPCs of what work; spans beyond
the bound at their fullest moment, of all spans; the same (blamed) for spans of which two thirds of
the work came from gateways that were notified of the start; the mean over spans. For warm
endpoints: the highest work in a span over what one can do in it, and the 99th percentile of the
time from an attempt's arrival to its end, in mean works. At last the shares of RPCs that were
answered ok or rejected while endpoints were warming up.

`processes` plays one run with real gateways on loopback; `--seeds` is its seed then. The last line
is a JSON object with the figures of every run.
"""

import argparse
import concurrent.futures
import json
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.slow_start_spans import SpanTracker
from petrellane.invariants import Record
from petrellane.simulation import VERSION
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario import Customer, Fault, Method, Plan, Scenario, World
from petrellane.testbed.clients import Customer as Client
from petrellane.testbed.clients import Method as ClientMethod
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings, build_terms

HOSTS = 60
ZONES = 10
SLOTS = 1  # RPCs that an endpoint works on at once
QUEUE = 64
WARM_UP_S = 6.0
INITIAL_CAPACITY = 0.2  # the share of its capacity that an endpoint has at its start
STOP_AT_S = 4.0
RETURN_AT_S = 5.0
BURST_S = 4.0
END_AT_S = 11.0
RESTARTED_ZONES = (0, 1, 2)  # each has a tenth of the endpoints
SHAPES = ("even", "skewed", "restarted", "burst")
LATENCY_OBJECTIVE_IN_WORKS = 20
DEADLINE_IN_WORKS = 60

Row = dict[str, Any]  # one run in the JSON line


class LoadPart(NamedTuple):
    """A share of the load, and the gateways that it comes in at."""

    share: float
    first_gateway: int
    gateway_count: int


class RunOptions(NamedTuple):
    """What one run is made of."""

    gateways: int
    shape: str
    seed: int
    load: float
    rate: float
    exponential: bool

    @property
    def mean_work(self) -> float:
        """Core seconds of an RPC, so that the endpoints are loaded as `load` says."""
        return self.load * HOSTS * SLOTS / self.rate


def split_load(gateways: int, shape: str) -> tuple[LoadPart, ...]:
    """Return the parts of the load of a shape."""
    if shape != "skewed":
        return (LoadPart(1.0, 0, gateways),)
    few = max(1, round(gateways / 10))
    return (LoadPart(0.5, 0, few), LoadPart(0.5, few, gateways - few))


def build_world(options: RunOptions) -> World:
    """Return the sizes of the simulated fleet."""
    return World(
        VERSION,
        options.seed,
        END_AT_S,
        options.gateways,
        HOSTS,
        ZONES,
        cores=float(SLOTS),
        slots=SLOTS,
        queue=QUEUE,
        latency=0.0005,
        connection_reuse=1.0,
        retries=0,
        slow_start=WARM_UP_S,
        slow_start_minimum=INITIAL_CAPACITY,
        detection_delay=0.3,
        exponential=options.exponential,
    )


def build_scenario(options: RunOptions) -> Scenario:
    """Return the simulated run: its world, load and faults."""
    work = options.mean_work
    objective = LATENCY_OBJECTIVE_IN_WORKS * work
    methods = (Method("look", "idempotent", 1.0, work, objective, DEADLINE_IN_WORKS * work),)
    load_parts = split_load(options.gateways, options.shape)
    customers = tuple(
        Customer(
            f"c{number}", "open", options.rate * part.share, part.first_gateway, part.gateway_count
        )
        for number, part in enumerate(load_parts)
    )
    outage_s = RETURN_AT_S - STOP_AT_S
    faults = [Fault("zone restarts", STOP_AT_S, outage_s, zone) for zone in RESTARTED_ZONES]
    if options.shape == "restarted":
        faults.append(Fault("gateways killed", RETURN_AT_S - 0.1, 0.2, 0, 1 / 3))
    if options.shape == "burst":
        faults.append(Fault("flood", RETURN_AT_S, BURST_S, 0, 2.0))
    plans = (Plan("open", 0.0, 0.0),)
    return Scenario(build_world(options), plans, methods, customers, tuple(faults))


def run_model(options: RunOptions) -> Row:
    """Play one run of the model and return its figures."""
    fleet = FleetSimulation(build_scenario(options))
    tracker = SpanTracker(fleet.terms(), [host.name for host in fleet.endpoints], float(SLOTS))
    record_in_fleet: Callable[[Record], None] = fleet.record

    def record_and_track(record: Record) -> None:
        record_in_fleet(record)
        tracker.take(record)

    fleet.record = record_and_track  # type: ignore[method-assign]  # the tracker sees what it sees
    run = fleet.play()
    return {
        "gateways": options.gateways,
        "shape": options.shape,
        "seed": options.seed,
        "broken": dict(run.verdict.counts),
        **tracker.figures().to_dict(),
    }


def print_row(rows: Sequence[Row]) -> None:
    """Print one row over several runs of one fleet and shape."""
    fullest = max(rows, key=lambda row: row["most"])
    parts = (
        f"{rows[0]['gateways']:>4} {rows[0]['shape']:10} most {fullest['most']:.2f} ",
        f"(up {fullest['age']:.1f} s: {fullest['rpcs']} RPCs of {fullest['works']:.1f} mean works)",
        f" beyond {sum(row['beyond'] for row in rows)} of {sum(row['spans'] for row in rows)}, ",
        f"blamed {max(row['blamed_most'] for row in rows):.2f}, ",
        f"{sum(row['blamed_beyond'] for row in rows)}; ",
        f"mean {sum(row['mean'] for row in rows) / len(rows):.2f}; ",
        f"warm: most {max(row['warm'] for row in rows):.2f}, ",
        f"p99 {max(row['warm_p99'] for row in rows):.1f}; ",
        f"ok {sum(row['ok'] for row in rows) / len(rows):.3f}, ",
        f"rejected {sum(row['pushed'] for row in rows) / len(rows):.3f}",
    )
    print("".join(parts), flush=True)


def run_models(arguments: argparse.Namespace) -> list[Row]:
    """Play all runs of the model, and print a row as soon as all its seeds have ended."""
    jobs = [
        RunOptions(
            int(gateways), shape, seed, arguments.load, arguments.rate, arguments.exponential
        )
        for gateways in arguments.gateways.split(",")
        for shape in arguments.shapes.split(",")
        for seed in range(1, arguments.seeds + 1)
    ]
    rows: list[Row] = []
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs or None) as pool:
        for row in pool.map(run_model, jobs):
            rows.append(row)
            if len(rows) % arguments.seeds == 0:
                print_row(rows[-arguments.seeds :])
    return rows


def build_spec(options: RunOptions) -> FleetSpec:
    """Return the same run for real gateways."""
    work = options.mean_work
    customers = [
        Client(number + 1, "free", part.share, part.first_gateway, part.gateway_count)
        for number, part in enumerate(split_load(options.gateways, options.shape))
    ]
    gateway_settings = build_settings(
        SettingsSpec(options.gateways, slow_start_s=WARM_UP_S, slow_start_minimum=INITIAL_CAPACITY)
    )
    for method in gateway_settings["classes"]:
        method["goalTime"] = int(LATENCY_OBJECTIVE_IN_WORKS * 1e6 * work)
        method["giveUp"] = int(DEADLINE_IN_WORKS * 1e6 * work)
    return FleetSpec(
        gateways=options.gateways,
        hosts=HOSTS,
        relays=(),
        rate=options.rate,
        work=work,
        slots=SLOTS,
        queue=QUEUE,
        seed=options.seed,
        settings=gateway_settings,
        customers=customers,
        methods=[ClientMethod("look", patience=DEADLINE_IN_WORKS * work)],
    )


def track_records(lab: LoopbackFleet) -> SpanTracker:
    """Return a tracker that takes every record of the testbed after the judge of invariants."""
    tracker = SpanTracker(
        build_terms(lab.spec, lab.settings), [host.name for host in lab.hosts], float(SLOTS)
    )
    judge: Callable[[Record], None] = lab.records.observe

    def judge_and_track(record: Record) -> None:
        judge(record)
        tracker.take(record)

    lab.records.observe = judge_and_track  # type: ignore[method-assign]  # likewise
    return tracker


def play_restart(lab: LoopbackFleet, options: RunOptions) -> None:
    """Play the load with the restart of endpoints, and of gateways where the shape says so."""
    lab.start()
    lab.clients.start()
    lab.run_for(STOP_AT_S)
    restarted = [host for number, host in enumerate(lab.hosts) if number % ZONES in RESTARTED_ZONES]
    for host in restarted:
        host.crash()
        lab.discovery.put(host.name, host.host_port, "terminated")
    lab.run_for(RETURN_AT_S - STOP_AT_S - 0.2)
    gateways = lab.gateways[::3] if options.shape == "restarted" else []
    for gateway in gateways:
        gateway.kill()
    lab.run_for(0.2)
    for host in restarted:
        host.start()
        lab.discovery.put(host.name, host.host_port, since=host.started_at)
    for gateway in gateways:
        gateway.start()
        lab.run_turn()  # a start takes about 10 ms, in which the testbed would stand still
    lab.clients.rate = options.rate * (2 if options.shape == "burst" else 1)
    lab.run_for(BURST_S)
    lab.clients.rate = options.rate
    lab.run_for(END_AT_S - RETURN_AT_S - BURST_S)
    lab.finish_load(DEADLINE_IN_WORKS * options.mean_work + 2.0)


def run_processes(arguments: argparse.Namespace) -> list[Row]:
    """Play one run with real gateways, of one fleet and shape, and print its row."""
    gateways = int(arguments.gateways.split(",")[0])
    options = RunOptions(
        gateways, arguments.shapes, arguments.seeds, arguments.load, arguments.rate, True
    )
    with LoopbackFleet(build_spec(options)) as lab:
        tracker = track_records(lab)
        play_restart(lab, options)
        row = {
            "gateways": options.gateways,
            "shape": options.shape,
            "seed": options.seed,
            "broken": lab.verdict().counts,
            "stood_still": lab.longest_stall_s,
            "void": lab.void,
            "crashes": len(lab.crashes),
            **tracker.figures().to_dict(),
        }
    print_row([row])
    print({name: row[name] for name in ("broken", "stood_still", "void", "crashes")})
    return [row]


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    summary = (__doc__ or "").splitlines()[0]
    parser = argparse.ArgumentParser(description=summary)
    parser.add_argument("what", choices=("model", "processes"))
    parser.add_argument("--gateways", default="3,20,30,200")
    parser.add_argument("--shapes", default=",".join(SHAPES))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--jobs", type=int, default=0)
    parser.add_argument("--exponential", action="store_true")
    return parser.parse_args()


def main() -> None:
    """Play what the command line asks for, and print the JSON line."""
    arguments = parse_arguments()
    run = run_models if arguments.what == "model" else run_processes
    print(json.dumps(run(arguments)))


if __name__ == "__main__":
    main()
