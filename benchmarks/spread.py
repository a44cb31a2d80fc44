"""How even load is over hosts: the module beside other ways to choose, in the model, and hundreds of real gateways.

    python benchmarks/spread.py model [--gateways 200] [--hosts 100] [--loads 0.5,0.8,0.95] [--seeds 5] [--patience 8]
    python benchmarks/spread.py hard [--gateways 200] [--hosts 100] [--load 0.5] [--ways module,two choices]
    python benchmarks/spread.py processes [--gateways 200] [--hosts 60] [--load 0.5] [--seconds 40] [--rate 400]

`model` prints a row for each way and load, medians over seeds with the least and the most; times are multiples of the
mean work. `hard` plays one fault of each kind at 8 s; its figures are of 8 to 20 s. `processes` starts so many gateways on
loopback, hosts that are stand-ins, and faults in turn: a host that comes back empty, one ten times as slow, one that answers
errors at once, one that is silent; it prints the figures of each part and what the machine had to give. One JSON line last.
"""

import argparse
import concurrent.futures
import json
import os
import statistics
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from benchmarks.agreement import memory  # noqa: E402
from petrellane.decisions.controller import AdmissionController  # noqa: E402
from petrellane.load_distribution import sources  # noqa: E402
from petrellane.load_distribution.figures import compute_figures  # noqa: E402
from petrellane.simulation.baselines import BASELINES  # noqa: E402
from petrellane.simulation.fleet import FleetSimulation  # noqa: E402
from petrellane.simulation.scenario import Fault  # noqa: E402
from petrellane.simulation.sparse_traffic import (  # noqa: E402
    measure_service,
    sparse_scenario,
)
from petrellane.testbed.fleet import LoopbackFleet  # noqa: E402
from petrellane.testbed.fleet_spec import FleetSpec  # noqa: E402

WARM = 5.0  # seconds of a run that are left out
WAYS = ("module", *BASELINES)


def play(who, gateways, hosts, load, patience, rate, seed, length):
    """The figures of one run of the model."""
    scenario = sparse_scenario(gateways, hosts, load, seed, rate, length, patience)
    run = FleetSimulation(
        scenario, BASELINES.get(who, AdmissionController), keep_records=True
    ).play()
    served, work = measure_service(run, WARM), scenario.methods[0].work
    found = compute_figures(sources.trace_from_records(run.records, WARM, length))
    five = next(one for one in found.spans if one.seconds == 5.0)
    return {
        "who": who,
        "load": load,
        "seed": seed,
        "pushed": served.rejected,
        "late": served.late,
        "ok": served.ok,
        "p50": served.p50 / work,
        "p99": served.p99 / work,
        "excess": five.excess,
        "peak": five.peak,
        "trough": five.trough,
        "herd": found.herd,
        "herd_by_chance": found.herd_by_chance,
        "idle": len(found.idle),
        "broken": run.broken,
    }


HARD = {
    "no fault": (),
    "all gateways restart at once": (Fault("gateways killed", 8.0, 0.3, 0, 1.0),),
    "one host back, cold": (Fault("host killed", 8.0, 2.0),),
    "one ten times as slow": (Fault("host slow", 8.0, 6.0, 0, 10.0),),
    "one fails all": (Fault("host fails", 8.0, 6.0, 0, 1.0),),
    "one hangs": (Fault("host hangs", 8.0, 5.0),),
    "a third drains": (Fault("hosts drain", 8.0, 3.0, 0, 0.33),),
    "a third drains, list late": (
        Fault("list late", 6.0, 6.0, 0, 3.0),
        Fault("hosts drain", 8.0, 3.0, 0, 0.33),
    ),
}


def hard_play(case, who, gateways, hosts, load, patience, rate):
    """The figures of one fault; what the first host gets by second after it is back, over its part."""
    scenario = sparse_scenario(gateways, hosts, load, 1, rate, 20.0, patience, faults=HARD[case])
    run = FleetSimulation(
        scenario, BASELINES.get(who, AdmissionController), keep_records=True
    ).play()
    served, found = (
        measure_service(run, WARM),
        compute_figures(sources.trace_from_records(run.records, 8.0, 20.0)),
    )
    sent = [
        int(at)
        for at, _, host, _ in sources.trace_from_records(run.records, 10.0, 20.0).sent
        if host == "h0"
    ]
    back = (
        [round(sent.count(at) * hosts / rate, 2) for at in range(10, 20)] if "back" in case else []
    )
    return {
        "case": case,
        "who": who,
        **{"pushed" if name == "rejected" else name: one for name, one in served._asdict().items()},
        "p99": served.p99 / scenario.methods[0].work,
        "excess": [one.excess for one in found.spans],
        "idle": len(found.idle),
        "herd": found.herd,
        "herd_by_chance": found.herd_by_chance,
        "period": found.period,
        "broken": run.broken,
        "back": back,
    }


def hard(told):
    """One fault of each kind; a row each."""
    ways = told.ways.split(",") if told.ways else ("module", "two choices")
    jobs = [
        (case, who, told.gateways, told.hosts, told.load, told.patience, told.rate)
        for case in HARD
        for who in ways
    ]
    with concurrent.futures.ProcessPoolExecutor(told.jobs or None) as pool:
        rows = list(pool.map(hard_play, *zip(*jobs, strict=True)))
    for row in rows:
        excess = " ".join(f"{one:.2f}" for one in row["excess"])
        print(
            f"{row['case']:28} {row['who']:12} pushed {row['pushed']:.3f} late {row['late']:.3f} p99 {row['p99']:.1f} "
            f"excess {excess} idle {row['idle']} herd {row['herd']:.2f} "
            f"({row['herd_by_chance']:.2f}) swing {row['period']} broken {row['broken'] or 'none'} {row['back'] or ''}"
        )
    return rows


def middle(rows, name):
    values = [row[name] for row in rows]
    return f"{statistics.median(values):.3f} ({min(values):.3f}-{max(values):.3f})"


def model(told):
    """All ways at all loads over the seeds, side by side on the cores."""
    loads, seeds = list(map(float, told.loads.split(","))), range(1, told.seeds + 1)
    ways = told.ways.split(",") if told.ways else WAYS
    jobs = [
        (who, told.gateways, told.hosts, load, told.patience, told.rate, seed, told.seconds)
        for load in loads
        for who in ways
        for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(told.jobs or None) as pool:
        rows = list(pool.map(play, *zip(*jobs, strict=True)))
    shown = ("pushed", "late", "p50", "p99", "excess", "trough", "herd")
    print(f"{'load':>4} {'way':18} " + " ".join(f"{name:>21}" for name in shown) + "  idle broken")
    for load in loads:
        for who in ways:
            mine = [row for row in rows if (row["who"], row["load"]) == (who, load)]
            print(
                f"{load:4g} {who:18} "
                + " ".join(f"{middle(mine, name):>21}" for name in shown)
                + f"  {max(row['idle'] for row in mine):4} {sum(len(row['broken']) for row in mine)}",
                flush=True,
            )
    return rows


def processes(told):
    """Real gateways, with faults at hosts in turn; a row for each part of the run."""
    slots = 2
    work = told.load * told.hosts * slots / told.rate
    shape = FleetSpec(
        gateways=told.gateways,
        hosts=told.hosts,
        relays=(),
        rate=told.rate,
        work=work,
        slots=slots,
        queue=64,
    )
    rows, part = [], told.seconds / 5
    with LoopbackFleet(shape) as lab:
        began = time.monotonic()
        lab.records.keep_all()
        lab.start()
        up = time.monotonic() - began
        lab.clients.start()
        lab.run_for(WARM)
        spent = sum(memory(one.process)[1] for one in lab.gateways)

        def measure(name, seconds):
            since, waits, counts = (
                lab.records.now(),
                len(lab.clients.waits),
                dict(lab.records.counts),
            )
            lab.run_for(seconds)
            found = compute_figures(
                sources.trace_from_records(lab.records.history, since, lab.records.now())
            )
            took = sorted(one for one, answer in lab.clients.waits[waits:] if answer == "ok")
            answers = {}
            for (_, answer), number in lab.records.counts.items():
                answers[answer] = answers.get(answer, 0) + number
            for (_, answer), number in counts.items():
                answers[answer] -= number
            rows.append(
                {
                    "part": name,
                    "answers": answers,
                    "p50": took[len(took) // 2] / work,
                    "p99": took[int(len(took) * 0.99)] / work,
                    "spans": [one._asdict() for one in found.spans],
                    "excess": {one.seconds: one.excess for one in found.spans},
                    "herd": found.herd,
                    "herd_by_chance": found.herd_by_chance,
                    "idle": [one._asdict() for one in found.idle],
                }
            )
            row, excess = (
                rows[-1],
                ", ".join(f"{one.seconds:g} s {one.excess:.2f}" for one in found.spans),
            )
            print(
                f"{name:26} p50 {row['p50']:.2f} p99 {row['p99']:.2f}  excess {excess}  herd {found.herd:.2f} "
                f"({found.herd_by_chance:.2f})  idle {len(found.idle)}  {answers}",
                flush=True,
            )

        measure("no fault", part)
        back, slow, failing, silent = lab.hosts[:4]
        back.crash()
        lab.discovery.put(back.name, back.host_port, "terminated")
        lab.run_for(1.0)
        back.start()
        lab.discovery.put(back.name, back.host_port, since=back.started_at)
        before, all_before = back.ran, sum(host.ran for host in lab.hosts)
        measure("one comes back", part)
        rows[-1]["back_over_its_part"] = (
            (back.ran - before)
            * told.hosts
            / max(1, sum(host.ran for host in lab.hosts) - all_before)
        )
        slow.slowdown = 10.0
        measure("one ten times as slow", part)
        slow.slowdown, failing.error_rate = 1.0, 1.0
        failing.slowdown = 0.1
        measure("one answers errors at once", part)
        failing.error_rate, failing.slowdown, silent.silent = 0.0, 1.0, True
        measure("one is silent", part)
        silent.silent = False
        silent.run_waiting()
        told_of = [memory(one.process) for one in lab.gateways]
        lab.finish_load(10.0)
        verdict = lab.verdict()
        machine = {
            "up_s": round(up, 1),
            "mb_each": round(statistics.median(size for size, _ in told_of) / 2**20, 1),
            "mb_all": round(sum(size for size, _ in told_of) / 2**20),
            "cores": round((sum(cpu for _, cpu in told_of) - spent) / told.seconds, 2),
            "rig_stood_still_s": round(lab.longest_stall_s, 3),
            "broken": verdict.counts,
            "crashes": len(lab.crashes),
            "void": lab.void,
        }
        print(machine)
        for broken in verdict.violations[:3]:
            print(
                broken.text,
                *(line for rpc in broken.rpcs for line in lab.records.describe(rpc)),
                sep="\n  ",
            )
        print(
            *(f"{at:8.3f} {text}" for at, text in lab.records.timeline if "still" in text), sep="\n"
        )
    return rows, machine


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("what", choices=("model", "hard", "processes"))
    for name, value, kind in (
        ("gateways", 200, int),
        ("hosts", 0, int),
        ("loads", "0.5,0.8,0.95", str),
        ("seeds", 5, int),
        ("patience", 8.0, float),
        ("rate", 0.0, float),
        ("seconds", 0.0, float),
        ("load", 0.5, float),
        ("ways", "", str),
        ("jobs", 0, int),
    ):
        words.add_argument("--" + name, type=kind, default=value)
    told = words.parse_args()
    if told.what == "hard":
        told.hosts, told.rate = told.hosts or 100, told.rate or 1000.0
        print(json.dumps(hard(told)))
    elif told.what == "model":
        told.hosts, told.rate, told.seconds = (
            told.hosts or 100,
            told.rate or 1000.0,
            told.seconds or 20.0,
        )
        print(json.dumps(model(told)))
    else:
        told.hosts, told.rate, told.seconds = (
            told.hosts or 60,
            told.rate or 400.0,
            told.seconds or 40.0,
        )
        print(json.dumps(processes(told)))


if __name__ == "__main__":
    main()
