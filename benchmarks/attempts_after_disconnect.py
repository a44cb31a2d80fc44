"""Measures attempts that begin after their client has disconnected, and how late they begin.

    python benchmarks/attempts_after_disconnect.py [--seeds 10] [--first 1] [--seconds 15]
        [--rate 150] [--leaving 0.5] [--build FOLDER] [--quiet]

Question: of the RPCs whose clients leave while they wait, how many reach an endpoint all the same?

Four real gateways run on loopback before four endpoints. Half of the clients close their
connection, or end their sending, some time within their patience. Meanwhile endpoints fail half of
what they take or reject everything, connections to endpoints come up late (a third of them, by up
to 1.5 s) or never, endpoints are slow, the counter does not answer, and gateways are stopped for a
while. In bursts, hundreds of clients come to one gateway and leave it all at once, while others
give it many commands at once (not with `--quiet`).

Counted are attempts, first ones and retries, that begin more than 0.1 s after their client's end
(docs/history/acceptance.md). An attempt begins when a relay reads it, or when its connection has
come up at the endpoint, if that is later; the testbed's own turns make that later by at most `rig`.
`--build` runs another checkout's program.

Columns, a row for each seed: clients that left; RPCs that waited then; attempts after the client's
end; first attempts and retries of these beyond the bound; the latest one; broken rules; the longest
turn of a gateway and of the testbed; crashes and faults. What was seen of each late RPC comes
before. The last line is a JSON object. Exit code 1 when an attempt began late or a rule was broken.
"""

import argparse
import json
import math
import os
import pathlib
import random
import sys
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from benchmarks.attempts_after_disconnect_load import build_run, schedule_disturbances
from petrellane import invariants
from petrellane.invariants import Record
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec
from petrellane.testbed.processes import Build
from petrellane.testbed.records import DISCONNECT_DETECTION_S
from petrellane.testbed.runner import StepRunner

HALF_CLOSING_SHARE = 0.3  # of clients that leave

Row = dict[str, Any]  # one run in the JSON line


def waiting_rpcs(records: Iterable[Record], disconnected_at: Mapping[Any, float]) -> set[Any]:
    """Return the RPCs that waited, without an open attempt, when their clients left."""
    open_attempts: Counter[Any] = Counter()
    answered: set[Any] = set()
    waiting: set[Any] = set()
    disconnects = deque(sorted((at, rpc) for rpc, at in disconnected_at.items()))
    for record in sorted(records, key=lambda record: record.at):
        while disconnects and disconnects[0][0] <= record.at:
            rpc = disconnects.popleft()[1]
            if not open_attempts[rpc] and rpc not in answered:
                waiting.add(rpc)
        if isinstance(record, invariants.RpcAnswered):
            answered.add(record.rpc)
        elif isinstance(record, invariants.AttemptSent):
            open_attempts[record.rpc] += 1
        elif isinstance(record, invariants.AttemptEnded):
            open_attempts[record.rpc] = max(0, open_attempts[record.rpc] - 1)
    return waiting


def longest_turn_ms(fleet: LoopbackFleet) -> float:
    """Return the longest turn that a gateway logged."""
    turns = [
        event.get("turn", 0.0)
        for gateway in fleet.gateways
        for event in gateway.events
        if event["event"] == "figures"
    ]
    return 1e3 * float(max(turns, default=0.0))


def describe_run(fleet: LoopbackFleet, seed: int) -> Row:
    """Print what was seen of late attempts and broken rules, and return the run's figures."""
    records = fleet.records
    verdict = fleet.verdict()
    after = records.late_attempts
    late = [(rpc, number) for rpc, number, delay in after if delay > DISCONNECT_DETECTION_S]
    broken_rpcs = {rpc for violation in verdict.violations for rpc in violation.rpcs}
    shown: list[Any] = sorted({rpc for rpc, _ in late} | broken_rpcs, key=str)
    for rpc in shown:
        left_at = records.disconnected_at.get(rpc, math.nan)
        print(rpc, f"left={left_at:.3f}", *records.describe(rpc), sep="\n    ")
    for violation in verdict.violations:
        print(f"{violation.at:8.3f} {violation.rule}: {violation.text}")
    return {
        "seed": seed,
        "left": len(records.disconnected_at),
        "waited": len(waiting_rpcs(records.history, records.disconnected_at)),
        "sent after": len(after),
        "late first": sum(not number for _, number in late),
        "late further": sum(bool(number) for _, number in late),
        "latest ms": 1e3 * max((delay for *_, delay in after), default=0.0),
        "broken": dict(verdict.counts),
        "turn ms": longest_turn_ms(fleet),
        "rig ms": 1e3 * fleet.longest_stall_s,
        "crashes": len(fleet.crashes),
        "faults": len(fleet.faults),
    }


def play(seed: int, arguments: argparse.Namespace) -> Row:
    """Play one run and return its figures."""
    run = build_run(seed, arguments.seconds, arguments.rate)
    spec = FleetSpec(
        gateways=4, hosts=4, seed=seed, relays=("counter", "hosts"), rate=arguments.rate, work=0.1
    )
    with LoopbackFleet(spec) as fleet:
        fleet.records.keep_all()
        for gateway in fleet.gateways:
            folder = os.path.abspath(arguments.build)  # noqa: PTH100 - as the build takes it
            gateway.build = Build(cwd=folder) if arguments.build else Build()
        fleet.start()
        fleet.clients.disconnect_share = arguments.leaving
        fleet.clients.half_close_share = HALF_CLOSING_SHARE
        generator = random.Random(f"{seed} left")
        schedule_disturbances(fleet, generator, arguments.seconds, arguments.quiet)
        StepRunner(fleet, run).begin()
        fleet.clients.start()
        fleet.run_for(arguments.seconds)
        fleet.clients.stop()
        fleet.finish_load()
        return describe_run(fleet, seed)


def format_figure(name: str, value: object) -> str:
    """Return NAME=VALUE."""
    return f"{name}={value:.1f}" if isinstance(value, float) else f"{name}={value}"


def main() -> int:
    """Play all seeds, print a row each and return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--leaving", type=float, default=0.5)
    parser.add_argument("--build", default="")
    parser.add_argument("--quiet", action="store_true")
    arguments = parser.parse_args()
    runs = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        row = play(seed, arguments)
        runs.append(row)
        print(*(format_figure(name, value) for name, value in row.items()), flush=True)
    print(json.dumps(runs))
    return int(any(run["late first"] or run["late further"] or run["broken"] for run in runs))


if __name__ == "__main__":
    sys.exit(main())
