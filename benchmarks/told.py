"""How late a change is in force at a gateway after discovery, which was in trouble, is back.

    python benchmarks/told.py [--gateways 24] [--seconds 150] [--seed 1] [--kinds refused,silent] [--build FOLDER]
    python benchmarks/told.py --together "turned away" [--gateways 30] [--rate 12] [--build FOLDER]
    python benchmarks/told.py --model [--gateways 200] [--seeds 5] [--rate 80]

Processes on loopback, without load. Each gateway has a discovery of its own, which is in trouble for 3 to 25 s
(`--longest`), again and again, each time by one of the kinds of `petrellane/testbed/fake_discovery.py`. A host's state changes
meanwhile, and what is timed is from the return of discovery to the gateway's line `hosts` with that change. An `open watch`
falls silent as it begins, and the change comes at once: there a new call would have reached discovery all the time, so the
time counts from the change. With `--together` all gateways have one discovery: it has the trouble for 8 s, and serves
`--rate` calls a second from then on. `--model` plays the same in the fleet model: refusing, silent, and no trouble but that
all watches end at once. `--build` plays another checkout's program. One table, and one JSON line last; exit code 1 when a
change came more than 6 s late.
"""

import argparse
import json
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane.invariants import EndpointNotified  # noqa: E402
from petrellane.simulation.fleet import FleetSimulation  # noqa: E402
from petrellane.simulation.scenario_files import parse_scenario  # noqa: E402
from petrellane.testbed.fake_discovery import DiscoveryFault, FakeDiscovery  # noqa: E402
from petrellane.testbed.fleet import LoopbackFleet  # noqa: E402
from petrellane.testbed.fleet_spec import FleetSpec  # noqa: E402
from petrellane.testbed.processes import Build  # noqa: E402

BOUND = 6.0
PATIENCE = 20.0  # seconds after which a change counts as not told
KINDS = ("refused", "turned away", "silent", "unaccepted", "full", "cut", "open watch")
TOGETHER = 8.0


def at(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


class Trials:
    """One gateway and its own discovery, which is in trouble time and again."""

    def __init__(self, lab, one, told):
        self.lab, self.one, self.told, self.took = lab, one, told, []
        self.random = random.Random(f"{told.seed} {one.name}")
        self.discovery = FakeDiscovery(lab.scheduler, lab.records)
        for host in lab.hosts:
            self.discovery.put(host.name, host.host_port)
        self.door = self.discovery.listener_for(one.name, lab.addresses.next_address())
        one.write_config({**one.config(), "discovery": self.door.host_port})
        self.state, self.over, self.kinds = "in_service", False, told.kinds

    def change(self):
        self.state = "terminating" if self.state == "in_service" else "in_service"
        self.discovery.put("h0", self.lab.hosts[0].host_port, self.state)
        return self.discovery.index

    def heard(self, index, since):
        """Seconds from `since` to the gateway's line that has this change; None where it doesn't come."""
        while self.lab.scheduler.now() < since + PATIENCE:
            for event in reversed(self.one.events):
                if event["event"] == "hosts" and event["index"] >= index:
                    return event["at"] - since
            self.lab.scheduler.wait(0.01)
        return None

    def run(self):
        number, scheduler = self.random.randrange(len(self.kinds)), self.lab.scheduler
        while not self.over:
            scheduler.wait(self.random.uniform(0.2, 5.0))
            kind = self.kinds[number % len(self.kinds)]
            number += 1
            if kind == "open watch":
                took = self.open_watch()
            else:
                length = self.random.uniform(3.0, self.told.longest)
                self.door.inject(DiscoveryFault(kind))
                scheduler.wait(length)
                index = self.change()
                self.door.heal()
                took = self.heard(index, self.lab.scheduler.now())
            self.took.append((kind, took))

    def open_watch(self):
        """The watch falls silent as it begins; the change comes at once."""
        calls = self.discovery.calls
        while self.discovery.calls == calls and not self.over:
            self.lab.scheduler.wait(0.005)
        for stream in list(self.discovery.watches):
            del self.discovery.watches[stream]
        return self.heard(self.change(), self.lab.scheduler.now())


def apart(told):
    shape = FleetSpec(gateways=told.gateways, hosts=2, seed=told.seed, relays=())
    with LoopbackFleet(shape) as lab:
        trials = [Trials(lab, one, told) for one in lab.gateways]
        for one in lab.gateways:
            one.build = Build(cwd=os.path.abspath(told.build)) if told.build else Build()
        lab.start()
        for trial in trials:
            lab.scheduler.spawn(trial.run)
        lab.run_for(told.seconds)
        calls = sum(trial.discovery.calls for trial in trials)
        for trial in trials:
            trial.over = True
            trial.discovery.close()
        found = [one for trial in trials for one in trial.took]
        rows = {kind: [took for of, took in found if of == kind] for kind in told.kinds}
        rig = lab.longest_stall_s
    print(
        f"{'trouble':12} {'trials':>6} {'p50':>6} {'p90':>6} {'most':>6} {'over 6 s':>8} {'never':>6}"
    )
    for kind, took in [*rows.items(), ("all", [one for _, one in found])]:
        known = [one for one in took if one is not None] or [0.0]
        late = sum(one is None or one > BOUND for one in took)
        print(
            f"{kind:12} {len(took):>6} {at(known, 0.5):>6.2f} {at(known, 0.9):>6.2f} {max(known):>6.2f} "
            f"{late:>8} {sum(one is None for one in took):>6}"
        )
    late = sum(took is None or took > BOUND for _, took in found)
    print(
        f"calls of a gateway in a second: {calls / told.gateways / told.seconds:.3f}; the rig stood still for {rig:.2f} s"
    )
    print(json.dumps({"trials": len(found), "late": late, "took": rows}))
    return int(bool(late))


def together(told):
    """One discovery for all: what each gateway has been told, and how many calls come in each second."""
    shape = FleetSpec(gateways=told.gateways, hosts=2, seed=told.seed, relays=())
    with LoopbackFleet(shape) as lab:
        for one in lab.gateways:
            one.build = Build(cwd=os.path.abspath(told.build)) if told.build else Build()
        lab.start()
        lab.run_for(10.0)
        doors, began = list(lab.discovery.listeners.values()), lab.scheduler.now()
        for door in doors:
            door.inject(DiscoveryFault(told.together))
        lab.run_for(TOGETHER)
        lab.discovery.put("h0", lab.hosts[0].host_port, "terminating")
        index, back, seconds = lab.discovery.index, lab.scheduler.now(), []
        lab.discovery.rate = told.rate
        for door in doors:
            door.heal()
        for _ in range(30):
            before = lab.discovery.calls, lab.discovery.refused
            lab.run_for(1.0)
            seconds.append((lab.discovery.calls - before[0], lab.discovery.refused - before[1]))
        took = []
        for one in lab.gateways:
            times = [
                event["at"] - back
                for event in one.events
                if event["event"] == "hosts" and event["index"] >= index
            ]
            took.append(min(times, default=None))
        rig = lab.longest_stall_s
    known, late = (
        [one for one in took if one is not None],
        sum(one is None or one > BOUND for one in took),
    )
    refusing = [number for number, (_, refused) in enumerate(seconds) if refused]
    print(
        f"{told.gateways} gateways, {told.together} for {back - began:.1f} s, then {told.rate:g} calls a second served: "
        f"told p50 {at(known, 0.5):.2f}, p90 {at(known, 0.9):.2f}, most {max(known):.2f} s; {late} over 6 s; "
        f"calls in a second {max(calls for calls, _ in seconds)} at most, {seconds[-1][0]} in the last; "
        f"turned away {sum(refused for _, refused in seconds)}, last in second {refusing[-1] if refusing else '-'}; "
        f"the rig stood still for {rig:.2f} s"
    )
    print(json.dumps({"trouble": told.together, "took": took, "seconds": seconds}))
    return int(bool(late))


def scenario(seed, gateways, trouble, rate):
    """Hosts 0 to 3 begin to drain, a second apart, while discovery is away from 10 s to 18 s; all along it serves so many
    calls in a second."""
    rows = [
        {
            "kind": "world",
            "model": 1,
            "seed": seed,
            "length": 45.0,
            "gateways": gateways,
            "hosts": 40,
            "cores": 4.0,
        },
        {"kind": "plan", "name": "free", "rate": 1000.0, "store": 2000.0},
        {"kind": "method", "name": "look", "effect": "idempotent", "work": 0.01},
        {"kind": "customer", "name": "ann", "plan": "free", "rate": 40.0, "spread": gateways},
        {
            "kind": "fault",
            "what": "discovery turned away",
            "at": 10.0,
            "length": 35.0,
            "size": rate,
        },
    ]
    if trouble != "turned away":
        rows.append(
            {"kind": "fault", "what": f"discovery {trouble}", "at": 10.0, "length": TOGETHER}
        )
    rows += [
        {"kind": "fault", "what": "host drains", "at": 14.0 + host, "length": 25.0, "whom": host}
        for host in range(4)
    ]
    return parse_scenario("\n".join(json.dumps(row) for row in rows))


def played(seed, gateways, trouble, rate):
    """Seconds after which each gateway was told of each drain (None: never), calls and calls turned away by second from the
    return of discovery on, and the rules that were broken."""
    fleet = FleetSimulation(scenario(seed, gateways, trouble, rate), keep_records=True)
    run, back, first = fleet.play(), 10.0 if trouble == "turned away" else 10.0 + TOGETHER, {}
    for record in run.records:
        if type(record) is EndpointNotified and record.state == "draining":
            first.setdefault((record.gateway, record.host), record.at)
    took = [first.get((node.name, f"h{host}")) for node in fleet.gateways for host in range(4)]
    took = [at and at - max(back, 14.0 + number % 4) for number, at in enumerate(took)]
    counts = [
        [by_second[second] for second in range(int(back), 38)]
        for by_second in (fleet.discovery.polls, fleet.discovery.rejected_polls)
    ]
    return took, *counts, run.broken


def modelled(told):
    late, found = 0, []
    for trouble in ("refused", "silent", "turned away"):
        for seed in range(told.seed, told.seed + told.seeds):
            took, calls, refused, broken = played(seed, told.gateways, trouble, told.rate)
            known, over = (
                [one for one in took if one is not None],
                sum(one is None or one > BOUND for one in took),
            )
            p50, p90, most = at(known, 0.5), at(known, 0.9), max(known)
            print(
                f"{trouble:12} seed {seed}: told p50 {p50:.2f}, p90 {p90:.2f}, most {most:.2f} s; "
                f"{over} of {len(took)} over 6 s; calls in a second {max(calls)} at most, {sum(calls[10:20]) / 10:.0f} "
                f"from 10 s on; turned away {sum(refused[:10])}, from 10 s on {sum(refused[10:])}; "
                f"rules broken: {', '.join(broken) or 'none'}"
            )
            late += over
            found.append(
                {
                    "trouble": trouble,
                    "seed": seed,
                    "most": most,
                    "over": over,
                    "of": len(took),
                    "calls": calls,
                    "refused": refused,
                    "broken": broken,
                }
            )
    print(json.dumps(found))
    return int(bool(late))


def main():
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--gateways", type=int, default=0)
    asked.add_argument("--model", action="store_true")
    asked.add_argument("--seeds", type=int, default=5)
    asked.add_argument("--seconds", type=float, default=150.0)
    asked.add_argument("--seed", type=int, default=1)
    asked.add_argument("--longest", type=float, default=25.0)
    asked.add_argument("--kinds", type=lambda text: text.split(","), default=list(KINDS))
    asked.add_argument("--together", default="")
    asked.add_argument("--rate", type=float, default=float("inf"))
    asked.add_argument("--build", default="")
    told = asked.parse_args()
    told.gateways = told.gateways or (200 if told.model else 30 if told.together else 24)
    if told.model:
        return modelled(told)
    return together(told) if told.together else apart(told)


if __name__ == "__main__":
    sys.exit(main())
