"""What cold hosts get from a whole fleet, against the operators' bound of N + 2 x root of N + 2 RPCs of mean work a span.

    python benchmarks/cold.py model [--gateways 3,20,30,200] [--shapes even,skewed,restarted,burst] [--seeds 5]
    python benchmarks/cold.py processes [--gateways 20] [--shapes even] [--seeds 1]

Both take [--load 0.7] [--rate 200]: a share of what all hosts can do, and RPCs a second. The work of an RPC is within
half of its mean in the model; with [--exponential], and always with processes, it is drawn exponentially. Three tenths of
the hosts start again together. `even`: all gateways get as much; `skewed`: a tenth of them gets half; `restarted`: a
third of them starts again as the hosts come back, and knows nothing but the list; `burst`: twice the load for 4 s from
then on. A row for each fleet and shape, over all seeds: the most that a cold host got in any span over the bound then,
how long it was up and in how many RPCs of what work; spans of which the fullest moment was beyond it, of all; the same
for what counts as broken, of which two thirds came from gateways told of the start. Beside these, whether warm hosts are
pushed over instead: the most work that one got in a span over what it can do in it, the 99th percentile of times from a
call-out's coming to its end there in mean works, and the shares of RPCs answered ok and pushed back while hosts are cold.
`processes` plays one run with real gateways on loopback; its seed is the number told as `seeds`. One JSON line last.
"""

import argparse
import concurrent.futures
import json
import os
import sys
from collections import Counter, defaultdict, deque

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane import invariants  # noqa: E402
from petrellane.simulation import VERSION  # noqa: E402
from petrellane.simulation.fleet import FleetSimulation  # noqa: E402
from petrellane.simulation.scenario import Customer, Fault, Method, Plan, Scenario, World  # noqa: E402
from petrellane.testbed.clients import Customer as Client  # noqa: E402
from petrellane.testbed.clients import Method as Asked  # noqa: E402
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings, build_terms  # noqa: E402

HOSTS, ZONES, SLOTS = 60, 10, 1
COLD, COLD_FROM = 6.0, 0.2
GONE, BACK, LENGTH = 4.0, 5.0, 11.0  # when hosts go and come back, and a run's end
STARTED = (0, 1, 2)  # zones, a tenth of the hosts each, that start again
SHAPES = ("even", "skewed", "restarted", "burst")


def parts(gateways, shape):
    """The load's parts: (share, first gateway, number of gateways)."""
    few = max(1, round(gateways / 10))
    return (
        ((0.5, 0, few), (0.5, few, gateways - few)) if shape == "skewed" else ((1.0, 0, gateways),)
    )


class Spans:
    """Follows what cold hosts get, and warm ones; `take` every record in the order of time."""

    def __init__(self, terms, hosts, capacity):
        self.terms, self.capacity, self.ups = terms, dict.fromkeys(hosts, capacity), {}
        self.told, self.loads, self.begun = {}, defaultdict(deque), {}
        self.most, self.blamed = {}, {}  # (host, its start, span) -> the most over the bound
        self.when, self.calls = {}, {}  # and when that was, in how many RPCs of what work
        self.warm, self.took, self.answers = 0.0, [], Counter()

    def take(self, record):
        kind = type(record)
        if kind is invariants.EndpointStarted:
            self.ups[record.host], self.capacity[record.host] = record.at, record.capacity
            self.loads[record.host].clear()
        elif kind is invariants.EndpointNotified:
            self.told[record.gateway, record.host] = record.up_since
        elif kind is invariants.GatewayLifecycle and record.event == "killed":
            self.told = {
                pair: since for pair, since in self.told.items() if pair[0] != record.gateway
            }
        elif kind is invariants.AttemptArrived:
            self.received(record)
        elif kind is invariants.RpcExecuted and (record.rpc, record.host) in self.begun:
            self.took.append(record.at - self.begun.pop((record.rpc, record.host)))
        elif kind is invariants.RpcAnswered and self.any_cold(record.at):
            self.answers[record.answer] += 1

    def any_cold(self, at):
        return any(0 <= at - up < self.terms.cold for up in self.ups.values())

    def received(self, record):
        terms, up, loads = self.terms, self.ups.get(record.host), self.loads[record.host]
        knows = self.told.get((record.gateway, record.host), 0.0) >= (up or 0.0) - 1e-3
        loads.append((record.at, record.work, knows))
        while loads[0][0] <= record.at - terms.overload_for:
            loads.popleft()
        work, told = sum(load[1] for load in loads), sum(load[1] for load in loads if load[2])
        if up is None or record.at - up >= terms.cold:
            if self.any_cold(record.at):
                self.warm = max(self.warm, work / self.capacity[record.host] / terms.overload_for)
                self.begun[record.rpc, record.host] = record.at
            return
        age = record.at - up
        ratio = (
            work
            / terms.mean_work
            / terms.cold_budget(age, self.capacity[record.host], terms.mean_work)
        )
        span = record.host, up, int(age / terms.overload_for)
        if ratio > self.most.get(span, 0.0):
            self.most[span], self.when[span], self.calls[span] = (
                ratio,
                age,
                (len(loads), work / terms.mean_work),
            )
        self.blamed[span] = max(self.blamed.get(span, 0.0), ratio * (told * 3 >= work * 2))

    def figures(self):
        spans = len(self.ups) * round(self.terms.cold / self.terms.overload_for)
        fullest = max(self.most, key=self.most.get, default=None)
        took, answers = sorted(self.took) or [0.0], max(1, sum(self.answers.values()))
        number, work = self.calls.get(fullest, (0, 0.0))
        return {
            "most": self.most.get(fullest, 0.0),
            "age": self.when.get(fullest, 0.0),
            "spans": spans,
            "rpcs": number,
            "works": work,
            "beyond": sum(ratio > 1 for ratio in self.most.values()),
            "blamed_most": max(self.blamed.values(), default=0.0),
            "blamed_beyond": sum(ratio > 1 for ratio in self.blamed.values()),
            "mean": sum(self.most.values()) / max(1, spans),
            "warm": self.warm,
            "warm_p99": took[int(len(took) * 0.99)] / self.terms.mean_work,
            "ok": self.answers["ok"] / answers,
            "pushed": self.answers["pushed back"] / answers,
        }


def scenario(gateways, shape, seed, load, rate, exponential):
    work = load * HOSTS * SLOTS / rate
    world = World(
        VERSION,
        seed,
        LENGTH,
        gateways,
        HOSTS,
        ZONES,
        cores=float(SLOTS),
        slots=SLOTS,
        queue=64,
        latency=0.0005,
        connection_reuse=1.0,
        retries=0,
        slow_start=COLD,
        slow_start_minimum=COLD_FROM,
        detection_delay=0.3,
        exponential=exponential,
    )
    methods = (Method("look", "idempotent", 1.0, work, 20 * work, 60 * work),)
    customers = tuple(
        Customer(f"c{number}", "open", rate * share, first, spread)
        for number, (share, first, spread) in enumerate(parts(gateways, shape))
    )
    faults = [Fault("zone restarts", GONE, BACK - GONE, zone) for zone in STARTED]
    if shape == "restarted":
        faults.append(Fault("gateways killed", BACK - 0.1, 0.2, 0, 1 / 3))
    if shape == "burst":
        faults.append(Fault("flood", BACK, 4.0, 0, 2.0))
    return Scenario(world, (Plan("open", 0.0, 0.0),), methods, customers, tuple(faults))


def play(gateways, shape, seed, load, rate, exponential):
    """The figures of one run of the model."""
    fleet = FleetSimulation(scenario(gateways, shape, seed, load, rate, exponential))
    spans = Spans(fleet.terms(), [one.name for one in fleet.endpoints], float(SLOTS))
    note = fleet.record

    def noted(record):
        note(record)
        spans.take(record)

    fleet.record = noted
    run = fleet.play()
    return {
        "gateways": gateways,
        "shape": shape,
        "seed": seed,
        "broken": dict(run.verdict.counts),
        **spans.figures(),
    }


def told_of(rows):
    """One row over several runs."""
    fullest = max(rows, key=lambda row: row["most"])
    print(
        f"{rows[0]['gateways']:>4} {rows[0]['shape']:10} most {fullest['most']:.2f} (up {fullest['age']:.1f} s: "
        f"{fullest['rpcs']} RPCs of {fullest['works']:.1f} mean works) "
        f"beyond {sum(row['beyond'] for row in rows)} of {sum(row['spans'] for row in rows)}, "
        f"blamed {max(row['blamed_most'] for row in rows):.2f}, {sum(row['blamed_beyond'] for row in rows)}; "
        f"mean {sum(row['mean'] for row in rows) / len(rows):.2f}; warm: most {max(row['warm'] for row in rows):.2f}, "
        f"p99 {max(row['warm_p99'] for row in rows):.1f}; ok {sum(row['ok'] for row in rows) / len(rows):.3f}, "
        f"pushed back {sum(row['pushed'] for row in rows) / len(rows):.3f}",
        flush=True,
    )


def model(told):
    jobs = [
        (int(gateways), shape, seed, told.load, told.rate, told.exponential)
        for gateways in told.gateways.split(",")
        for shape in told.shapes.split(",")
        for seed in range(1, told.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(told.jobs or None) as pool:
        rows = []
        for row in pool.map(play, *zip(*jobs, strict=True)):
            rows.append(row)
            if len(rows) % told.seeds == 0:
                told_of(rows[-told.seeds :])
    return rows


def processes(told):
    """The same with real gateways: one run, of one fleet and shape, with the seed that `seeds` names."""
    gateways, rows = int(told.gateways.split(",")[0]), []
    work = told.load * HOSTS * SLOTS / told.rate
    customers = [
        Client(number + 1, "free", share, first, spread)
        for number, (share, first, spread) in enumerate(parts(gateways, told.shapes))
    ]
    obliged = build_settings(
        SettingsSpec(gateways, slow_start_s=COLD, slow_start_minimum=COLD_FROM)
    )
    for row in obliged["classes"]:
        row |= {"goalTime": int(20e6 * work), "giveUp": int(60e6 * work)}
    shape = FleetSpec(
        gateways=gateways,
        hosts=HOSTS,
        relays=(),
        rate=told.rate,
        work=work,
        slots=SLOTS,
        queue=64,
        seed=told.seeds,
        settings=obliged,
        customers=customers,
        methods=[Asked("look", patience=60 * work)],
    )
    with LoopbackFleet(shape) as lab:
        spans = Spans(
            build_terms(lab.spec, lab.settings), [one.name for one in lab.hosts], float(SLOTS)
        )
        judge = lab.records.observe

        def judged(record):
            judge(record)
            spans.take(record)

        lab.records.observe = judged
        lab.start()
        lab.clients.start()
        lab.run_for(GONE)
        back = [host for number, host in enumerate(lab.hosts) if number % ZONES in STARTED]
        for host in back:
            host.crash()
            lab.discovery.put(host.name, host.host_port, "terminated")
        lab.run_for(BACK - GONE - 0.2)
        again = lab.gateways[::3] if told.shapes == "restarted" else []
        for one in again:
            one.kill()
        lab.run_for(0.2)
        for host in back:
            host.start()
            lab.discovery.put(host.name, host.host_port, since=host.started_at)
        for one in again:
            one.start()
            lab.run_turn()  # a start takes some ten milliseconds of the rig, which else stands still for all of them together
        lab.clients.rate = told.rate * (2 if told.shapes == "burst" else 1)
        lab.run_for(4.0)
        lab.clients.rate = told.rate
        lab.run_for(LENGTH - BACK - 4.0)
        lab.finish_load(60 * work + 2.0)
        verdict = lab.verdict()
        rows.append(
            {
                "gateways": gateways,
                "shape": told.shapes,
                "seed": told.seeds,
                "broken": verdict.counts,
                "stood_still": lab.longest_stall_s,
                "void": lab.void,
                "crashes": len(lab.crashes),
                **spans.figures(),
            }
        )
    told_of(rows)
    print({name: rows[0][name] for name in ("broken", "stood_still", "void", "crashes")})
    return rows


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("what", choices=("model", "processes"))
    for name, value, kind in (
        ("gateways", "3,20,30,200", str),
        ("shapes", ",".join(SHAPES), str),
        ("seeds", 5, int),
        ("load", 0.7, float),
        ("rate", 200.0, float),
        ("jobs", 0, int),
    ):
        words.add_argument("--" + name, type=kind, default=value)
    words.add_argument("--exponential", action="store_true")
    told = words.parse_args()
    print(json.dumps({"model": model, "processes": processes}[told.what](told)))


if __name__ == "__main__":
    main()
