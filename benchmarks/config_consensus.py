"""Measures how long a change of settings takes, and what it costs gateways and clients.

    python benchmarks/config_consensus.py [--gateways 10,100,300] [--changes 30] [--faults]
        [--rate 100] [--idle]

Question: after which time is a change in force at all gateways, by their number; how many calls
does it take; and how many RPCs are rejected because of it?

Real processes run on loopback with one control process. With `--faults` a tenth of the gateways is
down and a twentieth of the control process's connections go nowhere; one more change then comes
while a third of the gateways restarts. `--idle` measures memory and CPU of gateways that have
nothing to do instead, with and without consensus.

Columns: number of gateways; median and 99th percentile of the seconds from the proposal to the last
gateway that has the change in force, by the gateways' logs; calls for a change and gateway; RPCs
rejected for the change; outcomes of changes, answers of RPCs, broken rules. The last line is a JSON
object.
"""

import argparse
import json
import pathlib
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.process_usage import ProcessUsage, percentile, read_usage
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings

CHANGE_PATIENCE_S = 60
IDLE_GATEWAYS = 10
IDLE_S = 5.0
LOSSY_SHARE = 0.05  # of the control process's connections
RECENT_EVENTS = 50  # of a gateway's log, in which the last change is
SHOWN_STALLS = 20
CHANGE_CALLS = ("prepare", "commit", "deny")

Row = dict[str, Any]  # one entry of the JSON line


class FleetOptions(NamedTuple):
    """What one measured fleet is made of."""

    gateways: int
    changes: int
    rate: float
    has_faults: bool


class IdleCost(NamedTuple):
    """What a gateway without work takes, at the median."""

    resident_mb: float
    cpu_ms_per_s: float


class ChangeTimes(NamedTuple):
    """What became of the changes, and the seconds that committed ones took."""

    outcomes: dict[str, int]
    seconds: list[float]


def read_usages(lab: LoopbackFleet) -> list[ProcessUsage]:
    """Return what each gateway's process uses."""
    processes = [gateway.process for gateway in lab.gateways]
    return [read_usage(process.popen.pid) for process in processes if process is not None]


def measure_idle(gateways: int, has_consensus: bool) -> IdleCost:
    """Measure gateways that have nothing to do."""
    spec = FleetSpec(gateways=gateways, agreement=has_consensus, relays=(), hosts=1)
    with LoopbackFleet(spec) as lab:
        lab.start()
        lab.run_for(1.0)
        before = read_usages(lab)
        lab.run_for(IDLE_S)
        after = read_usages(lab)
    cpu_ms_per_s = [
        (now.cpu_s - then.cpu_s) / IDLE_S * 1e3 for now, then in zip(after, before, strict=True)
    ]
    resident_mb = [usage.resident_bytes / 2**20 for usage in after]
    return IdleCost(percentile(resident_mb, 0.5), percentile(cpu_ms_per_s, 0.5))


def inject_faults(lab: LoopbackFleet, generator: random.Random) -> None:
    """Kill a tenth of the gateways, and lose some connections of the control process."""
    for gateway in generator.sample(lab.gateways, len(lab.gateways) // 10):
        gateway.kill()
    for relay in lab.between("agent", of=["control"]):
        relay.fault("lossy", LOSSY_SHARE)


def last_in_force(lab: LoopbackFleet, number: int) -> float:
    """Return the time at which the last gateway had a generation in force."""
    latest: float = max(
        event["at"]
        for gateway in lab.gateways
        for event in gateway.events[-RECENT_EVENTS:]
        if event["event"] == "generation" and event["number"] == number
    )
    return latest


def make_changes(lab: LoopbackFleet, options: FleetOptions) -> ChangeTimes:
    """Make changes one after another."""
    outcomes: Counter[str] = Counter()
    seconds: list[float] = []
    for number in range(options.changes):
        content = build_settings(
            SettingsSpec(options.gateways, attempts=2 + number % 2, quota=float(number + 1))
        )
        proposed_at = time.time()
        change = lab.change_settings(content, patience=CHANGE_PATIENCE_S)
        outcomes[change["outcome"]] += 1
        if change["outcome"] == "committed":
            seconds.append(last_in_force(lab, change["number"]) - proposed_at)
        lab.run_for(0.1)
    return ChangeTimes(dict(outcomes), seconds)


def change_during_restart(lab: LoopbackFleet, generator: random.Random) -> Row:
    """Make one more change while a third of the running gateways is killed and started again.

    Returns:
        Its outcome, and the seconds until all that run serve under one generation.
    """
    control = lab.controls["control"]
    running = [
        gateway
        for gateway in lab.gateways
        if gateway.process is not None and gateway.process.is_running
    ]
    started = time.monotonic()
    content = build_settings(SettingsSpec(len(lab.gateways), attempts=9))
    number = control.ask("propose", settings=content)["number"]
    for gateway in generator.sample(running, len(running) // 3):
        gateway.kill()
        gateway.start()
        lab.run_turn()  # the testbed must not stand still, as it has the clients as well
    ended = lab.run_until(lambda: control.ended_change(number), "an end", CHANGE_PATIENCE_S)
    change = ended or {}  # `run_until` returns none but a change that has ended
    names = [gateway.name for gateway in running]

    def serve_one_generation() -> bool:
        are_ready = all(gateway.ready for gateway in running)
        return are_ready and lab.agreed_generation(names) is not None

    lab.run_until(serve_one_generation, "one generation", CHANGE_PATIENCE_S)
    seconds = round(time.monotonic() - started, 2)
    return {"outcome": change["outcome"], "why": change["why"], "s": seconds}


def count_rejected_for_changes(lab: LoopbackFleet) -> int:
    """Return the RPCs that gateways rejected while a change was not in force everywhere."""
    return sum(
        event.get("pushed generation", 0)
        for gateway in lab.gateways
        for event in gateway.events
        if event["event"] == "figures"
    )


def count_answers(lab: LoopbackFleet) -> dict[str, int]:
    """Return the RPCs by their answer."""
    answers: Counter[str] = Counter()
    for (_, answer), number in lab.records.counts.items():
        answers[answer] += number
    return dict(answers)


def describe_verdict(lab: LoopbackFleet) -> Row:
    """Return broken rules, and whether the run proves anything."""
    verdict = lab.verdict()
    stalls = [line for _, line in lab.records.timeline if "the testbed stalled" in line]
    return {
        "broken": verdict.counts,
        "first_breaks": [violation.text for violation in verdict.violations[:4]],
        "of_the_first": [
            line
            for violation in verdict.violations[:2]
            for rpc in violation.rpcs
            for line in lab.records.describe(rpc)
        ],
        "rig_stood_still": stalls[-SHOWN_STALLS:],
        "crashes": len(lab.crashes),
        "void": lab.void,
    }


def play_changes(lab: LoopbackFleet, options: FleetOptions, generator: random.Random) -> Row:
    """Make changes under load on a started testbed and return their figures."""
    control = lab.controls["control"]
    lab.clients.start()
    lab.run_for(1.0)
    if options.has_faults:
        inject_faults(lab, generator)
    calls_before = sum(control.ask("status")["calls"].values())
    times = make_changes(lab, options)
    calls = control.ask("status")["calls"]
    restart = change_during_restart(lab, generator) if options.has_faults else None
    change_calls = sum(calls.get(kind, 0) for kind in CHANGE_CALLS)
    lab.finish_load()
    verdict = describe_verdict(lab)
    return {
        "changes": times.outcomes,
        "p50_s": round(percentile(times.seconds, 0.5), 3),
        "p99_s": round(percentile(times.seconds, 0.99), 3),
        "calls": round(change_calls / options.changes / options.gateways, 2),
        "looks": round(calls.get("promise", 0) / options.changes / options.gateways, 2),
        "all_calls": sum(calls.values()) - calls_before,
        "third_restarted": restart,
        "pushed_for_the_change": count_rejected_for_changes(lab),
        "answers": count_answers(lab),
        **verdict,
    }


def measure_fleet(options: FleetOptions) -> Row:
    """Return the figures of changes at one fleet."""
    spec = FleetSpec(
        gateways=options.gateways,
        agreement=True,
        relays=("agents-of-control",) if options.has_faults else (),
        rate=options.rate,
        work=0.002,
        hosts=4,
    )
    with LoopbackFleet(spec) as lab:
        started = time.monotonic()
        lab.start()
        start_s = time.monotonic() - started
        figures = play_changes(lab, options, random.Random(options.gateways))
    return {
        "gateways": options.gateways,
        "faults": options.has_faults,
        "up_s": round(start_s, 2),
        **figures,
    }


def run_idle() -> list[Row]:
    """Measure idle gateways without and with consensus, twice each, and print them."""
    rows = []
    for has_consensus in (False, True, False, True):
        cost = measure_idle(IDLE_GATEWAYS, has_consensus)
        row = {
            "agreement": has_consensus,
            "mb": round(cost.resident_mb, 1),
            "cpu_ms_per_s": round(cost.cpu_ms_per_s, 2),
        }
        rows.append(row)
    for row in rows:
        state = "on" if row["agreement"] else "off"
        print(
            f"agreement {state:3}  {row['mb']:6.1f} MB  {row['cpu_ms_per_s']:5.2f} ms CPU a second"
        )
    return rows


def run_changes(sizes: Sequence[int], arguments: argparse.Namespace) -> list[Row]:
    """Measure changes at fleets of several sizes, and print a row each."""
    rows = []
    print(
        f"{'gateways':>8} {'p50 s':>7} {'p99 s':>7} {'calls':>6} {'pushed':>7}  "
        "outcomes, answers, broken"
    )
    for size in sizes:
        options = FleetOptions(size, arguments.changes, arguments.rate, arguments.faults)
        row = measure_fleet(options)
        rows.append(row)
        print(
            f"{row['gateways']:8} {row['p50_s']:7.3f} {row['p99_s']:7.3f} {row['calls']:6.2f} "
            f"{row['pushed_for_the_change']:7}  {row['changes']} {row['answers']} "
            f"{row['broken'] or 'none'}",
            flush=True,
        )
    return rows


def main() -> None:
    """Measure what the command line asks for, and print the JSON line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--gateways", default="10,100,300")
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument(
        "--idle", action="store_true", help="measure an idle agent in place of changes"
    )
    arguments = parser.parse_args()
    if arguments.idle:
        rows = run_idle()
    else:
        rows = run_changes([int(size) for size in arguments.gateways.split(",")], arguments)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
