"""How long a change of settings takes by the number of gateways, what it costs each, and what it costs clients.

    python benchmarks/agreement.py [--gateways 10,100,300] [--changes 30] [--faults] [--rate 100]

Real processes on loopback, one control process, no relays but with --faults, where a tenth of the gateways is down and a
twentieth of the connections of the control process goes nowhere. Prints a table, and one JSON line last. Times are from the
proposal to the last gateway that has it in force, by the gateways' own logs; calls are per change and gateway.
"""

import argparse
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings  # noqa: E402


def at(values, part):
    """The value below which so large a part of some values lies."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))] if values else float("nan")


def memory(process):
    """Resident bytes, and seconds of CPU used, of a process."""
    with open(f"/proc/{process.popen.pid}/statm") as file:
        pages = int(file.read().split()[1])
    with open(f"/proc/{process.popen.pid}/stat") as file:
        words = file.read().rsplit(")", 1)[1].split()
    return pages * os.sysconf("SC_PAGE_SIZE"), (int(words[11]) + int(words[12])) / os.sysconf(
        "SC_CLK_TCK"
    )


def idle(gateways, agreement, seconds=5.0):
    """Memory in MB and CPU in ms a second of a gateway that has nothing to do, at the median."""
    with LoopbackFleet(
        FleetSpec(gateways=gateways, agreement=agreement, relays=(), hosts=1)
    ) as lab:
        lab.start()
        lab.run_for(1.0)
        before = [memory(one.process)[1] for one in lab.gateways]
        lab.run_for(seconds)
        told = [memory(one.process) for one in lab.gateways]
        spent = [(now[1] - then) / seconds * 1e3 for now, then in zip(told, before, strict=True)]
        return at([size / 2**20 for size, _ in told], 0.5), at(spent, 0.5)


def measure(gateways, changes, rate, faults):
    """Figures of so many changes at a fleet of a size."""
    chance = random.Random(gateways)
    shape = FleetSpec(
        gateways=gateways,
        agreement=True,
        relays=("agents-of-control",) if faults else (),
        rate=rate,
        work=0.002,
        hosts=4,
    )
    with LoopbackFleet(shape) as lab:
        began = time.monotonic()
        lab.start()
        up = time.monotonic() - began
        control = lab.controls["control"]
        lab.clients.start()
        lab.run_for(1.0)
        if faults:
            for one in chance.sample(lab.gateways, gateways // 10):
                one.kill()
            for relay in lab.between("agent", of=["control"]):
                relay.fault("lossy", 0.05)
        times, outcomes, before = [], {}, sum(control.ask("status")["calls"].values())
        for number in range(changes):
            wanted = build_settings(
                SettingsSpec(gateways, attempts=2 + number % 2, quota=float(number + 1))
            )
            began = time.time()
            told = lab.change_settings(wanted, patience=60)
            outcomes[told["outcome"]] = outcomes.get(told["outcome"], 0) + 1
            if told["outcome"] == "committed":
                last = max(
                    event["at"]
                    for one in lab.gateways
                    for event in one.events[-50:]
                    if event["event"] == "generation" and event["number"] == told["number"]
                )
                times.append(last - began)
            lab.run_for(0.1)
        calls = control.ask("status")["calls"]
        restarted = restart(lab, control, chance) if faults else None
        looks = calls.get("promise", 0)
        asked = sum(calls.values()) - before
        lab.finish_load()
        verdict = lab.verdict()
        pushed = sum(
            event.get("pushed generation", 0)
            for one in lab.gateways
            for event in one.events
            if event["event"] == "figures"
        )
        counts = {}
        for (_, answer), count in lab.records.counts.items():
            counts[answer] = counts.get(answer, 0) + count
        return {
            "gateways": gateways,
            "faults": faults,
            "up_s": round(up, 2),
            "changes": outcomes,
            "p50_s": round(at(times, 0.5), 3),
            "p99_s": round(at(times, 0.99), 3),
            "calls": round(
                sum(calls.get(do, 0) for do in ("prepare", "commit", "deny")) / changes / gateways,
                2,
            ),
            "looks": round(looks / changes / gateways, 2),
            "all_calls": asked,
            "third_restarted": restarted,
            "pushed_for_the_change": pushed,
            "answers": counts,
            "broken": verdict.counts,
            "first_breaks": [one.text for one in verdict.violations[:4]],
            "of_the_first": [
                line
                for one in verdict.violations[:2]
                for rpc in one.rpcs
                for line in lab.records.describe(rpc)
            ],
            "rig_stood_still": [line for _, line in lab.records.timeline if "stood still" in line][
                -20:
            ],
            "crashes": len(lab.crashes),
            "void": lab.void,
        }


def restart(lab, control, chance):
    """One more change, in which a third of the gateways that run are killed and started again: its outcome, and the seconds
    until all that run serve under one generation."""
    running = [one for one in lab.gateways if one.process.is_running]
    began = time.monotonic()
    number = control.ask(
        "propose", settings=build_settings(SettingsSpec(len(lab.gateways), attempts=9))
    )["number"]
    for one in chance.sample(running, len(running) // 3):
        one.kill()
        one.start()
        lab.run_turn()  # the rig must not stand still: it is the clients as well
    told = lab.run_until(lambda: control.ended_change(number), "an end", 60)
    names = [one.name for one in running]
    lab.run_until(
        lambda: all(one.ready for one in running) and lab.agreed_generation(names) is not None,
        "one generation",
        60,
    )
    return {"outcome": told["outcome"], "why": told["why"], "s": round(time.monotonic() - began, 2)}


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--gateways", default="10,100,300")
    words.add_argument("--changes", type=int, default=30)
    words.add_argument("--rate", type=float, default=100.0)
    words.add_argument("--faults", action="store_true")
    words.add_argument(
        "--idle", action="store_true", help="measure an idle agent in place of changes"
    )
    told = words.parse_args()
    if told.idle:
        rows = [
            {"agreement": on, "mb": round(size, 1), "cpu_ms_per_s": round(spent, 2)}
            for on in (False, True, False, True)
            for size, spent in [idle(10, on)]
        ]
        for row in rows:
            print(
                f"agreement {'on' if row['agreement'] else 'off':3}  {row['mb']:6.1f} MB  "
                f"{row['cpu_ms_per_s']:5.2f} ms CPU a second"
            )
        print(json.dumps(rows))
        return
    rows = []
    print(
        f"{'gateways':>8} {'p50 s':>7} {'p99 s':>7} {'calls':>6} {'pushed':>7}  outcomes, answers, broken"
    )
    for number in map(int, told.gateways.split(",")):
        row = measure(number, told.changes, told.rate, told.faults)
        rows.append(row)
        print(
            f"{row['gateways']:8} {row['p50_s']:7.3f} {row['p99_s']:7.3f} {row['calls']:6.2f} "
            f"{row['pushed_for_the_change']:7}  {row['changes']} {row['answers']} {row['broken'] or 'none'}",
            flush=True,
        )
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
