"""RPCs whose clients leave while they wait: how many reach a host all the same, and how late.

    python benchmarks/left.py [--seeds 10] [--first 1] [--seconds 15] [--rate 150] [--leaving 0.5] [--build FOLDER] [--quiet]

Processes on loopback, four gateways before four hosts; half of the clients close their connection, or end their sending,
some time within their patience, while hosts fail half of what they take or turn all away, connections to hosts come up late
(a third of them, by up to 1.5 s) or never, hosts are slow, the counter says nothing, and gateways are stopped for a while.
In bursts, hundreds come to one gateway and leave it all at once, while others give it many commands in one go (`--quiet`:
without these). What is counted is defined in docs/history/acceptance.md: attempts, first and further, that begin more than 0.1 s
after their client's end. An attempt begins when a relay reads it, or when its connection has come up at the host, if that
is later; the rig's own turns make that later by at most `rig`. `--build` plays another checkout's program. A row a seed,
what was seen of each RPC behind a break, and one JSON line last; exit code 1 when an attempt began late.
"""

import argparse
import json
import math
import os
import random
import sys
from collections import deque

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane import invariants  # noqa: E402
from petrellane.net import resp  # noqa: E402
from petrellane.net.stream import Closed, Stream  # noqa: E402
from petrellane.testbed.clients import ClientRpc, Customer  # noqa: E402
from petrellane.testbed.fake_server import LIMITS  # noqa: E402
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec  # noqa: E402
from petrellane.testbed.processes import Build  # noqa: E402
from petrellane.testbed.records import CROSSING_S  # noqa: E402
from petrellane.testbed.run_file import parse_run_file  # noqa: E402
from petrellane.testbed.runner import StepRunner  # noqa: E402

UP_LATE, UP_LATE_MOST = (
    1 / 3,
    1.5,
)  # the share of connections to hosts that come up late, and seconds
BUSY = (
    0.12,
    0.3,
    0.48,
    0.66,
    0.84,
)  # when all hosts but one turn away what comes, as shares of the run
BURSTS = (0.2, 0.36, 0.55, 0.72, 0.93)  # when hundreds come at once, and leave at once
COMING, CROWD, PIPELINED = (
    200,
    150,
    200,
)  # clients of a burst; connections with commands beside them, and how many each
STEPS = (  # (at, as a share of the run; what; to whom; between whom; how long; size)
    (0.02, "late", "h0", "hosts", 0.2, 0.05),
    (0.05, "hang", "h1", "hosts", 0.15, 1),
    (0.05, "fail", "h2", "", 0.9, 0.5),
    (0.1, "fail", "h3", "", 0.3, 0.5),
    (0.25, "counter quiet", "", "", 0.1, 1),
    (0.3, "slow", "h0", "", 0.3, 8),
    (0.4, "stop", "g1", "", 0.03, 1),
    (0.45, "lossy", "h3", "hosts", 0.2, 0.5),
    (0.5, "stop", "g2", "", 0.04, 1),
    (0.6, "hang", "h2", "hosts", 0.1, 1),
    (0.65, "counter refuses", "", "", 0.1, 1),
    (0.7, "late", "h1", "hosts", 0.2, 0.08),
    (0.75, "silent", "h3", "", 0.15, 1),
    (0.85, "stop", "g0", "", 0.03, 1),
    (0.9, "reset", "h0", "hosts", 0.0, 1),
)


def file(seed, seconds, rate):
    rows = [
        f"[lab]\ngateways = 4\nhosts = 4\nseconds = {seconds}\nrate = {rate}\nseed = {seed}\nwork = 0.1\n"
        'relays = ["counter", "hosts"]\n'
    ]
    for at, what, who, between, length, size in STEPS:
        rows.append(
            f'[[step]]\nat = {at * seconds:.3f}\ndo = "{what}"\nwho = {json.dumps([who] if who else [])}\n'
            f"for = {length * seconds:.3f}\nsize = {size:g}\n"
            + (f'between = ["{between}"]\n' if between else "")
        )
    return parse_run_file("\n".join(rows))


def cases(records, gone):
    """RPCs that waited when their clients left."""
    out, over, waited = {}, set(), set()
    left = deque(sorted((at, rpc) for rpc, at in gone.items()))
    for record in sorted(records, key=lambda one: one.at):
        while left and left[0][0] <= record.at:
            rpc = left.popleft()[1]
            waited |= {rpc} if not out.get(rpc) and rpc not in over else set()
        rpc = getattr(record, "rpc", None)
        if type(record) is invariants.RpcAnswered:
            over.add(rpc)
        elif type(record) is invariants.AttemptSent:
            out[rpc] = out.get(rpc, 0) + 1
        elif type(record) is invariants.AttemptEnded:
            out[rpc] = max(0, out.get(rpc, 0) - 1)
    return waited


def come_up_late(host, chance):
    """Some connections to this host come up late: nothing is read from them before."""
    held, now = host.handle_connection, host.scheduler.monotonic

    def later(stream):
        if chance.random() < UP_LATE:
            host.scheduler.wait(chance.random() * UP_LATE_MOST)
            host.relayed_at[host.streams.get(stream)] = now()
        held(stream)

    host.handle_connection = later


def turn_away(lab, chance, seconds):
    """All hosts but one turn away what comes for a while: what waits for another try is many RPCs."""
    away = chance.sample(lab.hosts, len(lab.hosts) - 1)
    for host in away:
        host.draining = True
    lab.scheduler.after(seconds, lambda: [setattr(host, "draining", False) for host in away])


def burst(lab, chance, quiet):
    """Hundreds ask one gateway at once, and all leave at the same time, while others give it many commands in one go."""
    front, clients, scheduler = chance.choice(lab.fronts), lab.clients, lab.scheduler
    stays, customer = (
        0.02 + 0.4 * chance.random(),
        Customer(9, "free", first_gateway=lab.fronts.index(front), gateway_count=1),
    )
    leave_at = scheduler.monotonic() + stays

    def one(number):
        clients.out += 1
        try:
            clients.send(
                ClientRpc(
                    f"{clients.seed}-{number}",
                    chance.choice(clients.load.methods),
                    customer,
                    scheduler.monotonic(),
                    leave_at,
                )
            )
        finally:
            clients.out -= 1

    def crowd():
        try:
            stream = Stream.dial(scheduler, LIMITS, front.address, 1.0)
            stream.write(
                resp.words(b"SVC.QUERY", b"%016x" % 9, b"none", b"c=none,t=free,d=1000") * PIPELINED
            )
            while scheduler.monotonic() < until:
                stream.fill(until - scheduler.monotonic())
                stream.buffer.clear()
        except (OSError, Closed, TimeoutError):
            pass
        finally:
            stream.close()

    until = leave_at + 1.0
    for each in range(COMING):
        scheduler.spawn(one, f"burst-{clients.rpc_count}-{each}")
    for _ in range(0 if quiet else CROWD):
        scheduler.after(max(0.0, stays - 0.1 * chance.random()), lambda: scheduler.spawn(crowd))


def play(seed, told):
    run = file(seed, told.seconds, told.rate)
    shape = FleetSpec(
        gateways=4, hosts=4, seed=seed, relays=("counter", "hosts"), rate=told.rate, work=0.1
    )
    with LoopbackFleet(shape) as lab:
        lab.records.keep_all()
        for one in lab.gateways:
            one.build = Build(cwd=os.path.abspath(told.build)) if told.build else Build()
        lab.start()
        lab.clients.leaving = told.leaving
        lab.clients.half_closing = 0.3
        chance = random.Random(f"{seed} left")
        for host in lab.hosts:
            come_up_late(host, chance)
        for share in BUSY:
            lab.scheduler.after(
                share * told.seconds, lambda: turn_away(lab, chance, 0.04 * told.seconds)
            )
        for share in BURSTS:
            lab.scheduler.after(share * told.seconds, lambda: burst(lab, chance, told.quiet))
        StepRunner(lab, run).begin()
        lab.clients.start()
        lab.run_for(told.seconds)
        lab.clients.stop()
        lab.finish_load()
        verdict = lab.verdict()
        after = lab.records.late_attempts
        late = [(rpc, number) for rpc, number, took in after if took > CROSSING_S]
        for rpc in sorted(
            {rpc for rpc, _ in late} | {rpc for one in verdict.violations for rpc in one.rpcs}
        ):
            print(
                rpc,
                f"left={lab.records.disconnected_at.get(rpc, math.nan):.3f}",
                *lab.records.describe(rpc),
                sep="\n    ",
            )
        for one in verdict.violations:
            print(f"{one.at:8.3f} {one.rule}: {one.text}")
        return {
            "seed": seed,
            "left": len(lab.records.disconnected_at),
            "waited": len(cases(lab.records.history, lab.records.disconnected_at)),
            "sent after": len(after),
            "late first": sum(not number for _, number in late),
            "late further": sum(bool(number) for _, number in late),
            "latest ms": 1e3 * max((took for *_, took in after), default=0.0),
            "broken": dict(verdict.counts),
            "turn ms": 1e3
            * max(
                (
                    event.get("turn", 0.0)
                    for one in lab.gateways
                    for event in one.events
                    if event["event"] == "figures"
                ),
                default=0.0,
            ),
            "rig ms": 1e3 * lab.longest_stall_s,
            "crashes": len(lab.crashes),
            "faults": len(lab.faults),
        }


def main():
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--seeds", type=int, default=10)
    asked.add_argument("--first", type=int, default=1)
    asked.add_argument("--seconds", type=float, default=15.0)
    asked.add_argument("--rate", type=float, default=150.0)
    asked.add_argument("--leaving", type=float, default=0.5)
    asked.add_argument("--build", default="")
    asked.add_argument("--quiet", action="store_true")
    told = asked.parse_args()
    runs = []
    for seed in range(told.first, told.first + told.seeds):
        runs.append(play(seed, told))
        print(
            *(
                f"{name}={value:.1f}" if isinstance(value, float) else f"{name}={value}"
                for name, value in runs[-1].items()
            ),
            flush=True,
        )
    print(json.dumps(runs))
    return int(any(run["late first"] or run["late further"] or run["broken"] for run in runs))


if __name__ == "__main__":
    sys.exit(main())
