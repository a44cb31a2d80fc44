"""RPCs whose clients leave while they wait: how many reach a host all the same, and how late.

    python benchmarks/left.py [--seeds 5] [--seconds 20] [--rate 150] [--leaving 0.5] [--build FOLDER]

Processes on loopback, four gateways before four hosts; half of the clients close their connection some time within their
patience, while hosts fail half of what they take, connections to hosts come up late or never, hosts are slow, the counter
says nothing, and gateways are stopped for a while. What is counted is defined in docs/acceptance.md. `--build` plays another
checkout's program. A row a seed, and one JSON line last; exit code 1 when an RPC was sent on late.
"""

import argparse
import json
import math
import os
import sys
from collections import deque

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from petrellane import referee  # noqa: E402
from petrellane.lab.fleet import Lab, Shape  # noqa: E402
from petrellane.lab.play import Stage, read  # noqa: E402

LATE = 0.3
STEPS = (    # (at, as a share of the run; what; to whom; between whom; how long; size)
    (0.02, "late", "h0", "hosts", 0.2, 0.05), (0.05, "hang", "h1", "hosts", 0.15, 1), (0.05, "fail", "h2", "", 0.9, 0.5),
    (0.1, "fail", "h3", "", 0.3, 0.5), (0.25, "counter quiet", "", "", 0.1, 1), (0.3, "slow", "h0", "", 0.3, 8),
    (0.4, "stop", "g1", "", 0.03, 1), (0.45, "lossy", "h3", "hosts", 0.2, 0.5), (0.5, "stop", "g2", "", 0.04, 1),
    (0.6, "hang", "h2", "hosts", 0.1, 1), (0.65, "counter refuses", "", "", 0.1, 1), (0.7, "late", "h1", "hosts", 0.2, 0.08),
    (0.75, "silent", "h3", "", 0.15, 1), (0.85, "stop", "g0", "", 0.03, 1), (0.9, "reset", "h0", "hosts", 0.0, 1))


def file(seed, seconds, rate):
    rows = [f'[lab]\ngateways = 4\nhosts = 4\nseconds = {seconds}\nrate = {rate}\nseed = {seed}\nwork = 0.1\n'
            'relays = ["counter", "hosts"]\n']
    for at, what, who, between, length, size in STEPS:
        rows.append(f'[[step]]\nat = {at * seconds:.3f}\ndo = "{what}"\nwho = {json.dumps([who] if who else [])}\n'
                    f'for = {length * seconds:.3f}\nsize = {size:g}\n' + (f'between = ["{between}"]\n' if between else ""))
    return read("\n".join(rows))


def cases(records, gone):
    """RPCs that waited when their clients left, and of all that were left the seconds after which it was sent on."""
    out, over, waited, sent = {}, set(), set(), {}
    left = deque(sorted((at, rpc) for rpc, at in gone.items()))
    for record in sorted(records, key=lambda one: one.at):
        while left and left[0][0] <= record.at:
            rpc = left.popleft()[1]
            waited |= {rpc} if not out.get(rpc) and rpc not in over else set()
        rpc = getattr(record, "rpc", None)
        if type(record) is referee.Answered:
            over.add(rpc)
        elif type(record) is referee.Sent:
            out[rpc] = out.get(rpc, 0) + 1
            if record.at > gone.get(rpc, math.inf):
                sent.setdefault(rpc, record.at - gone[rpc])
        elif type(record) is referee.Ended:
            out[rpc] = max(0, out.get(rpc, 0) - 1)
    return waited, sent


def play(seed, told):
    run = file(seed, told.seconds, told.rate)
    shape = Shape(gateways=4, hosts=4, seed=seed, relays=("counter", "hosts"), rate=told.rate, work=0.1)
    with Lab(shape) as lab:
        lab.records.keep_all()
        for one in lab.gateways:
            one.build = {"cwd": os.path.abspath(told.build)} if told.build else {}
        lab.start()
        lab.clients.leaving = told.leaving
        Stage(lab, run).begin()
        lab.clients.start()
        lab.play(told.seconds)
        lab.clients.stop()
        lab.quiet()
        verdict = lab.verdict()
        waited, sent = cases(lab.records.kept, lab.records.gone)
        late = {rpc: took for rpc, took in sent.items() if took > LATE}
        return {"seed": seed, "left": len(lab.records.gone), "waited": len(waited), "sent after": len(sent),
                "late": len(late), "latest": max(sent.values(), default=0.0), "broken": sorted(verdict.counts),
                "rig": lab.longest}


def main():
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--seeds", type=int, default=5)
    asked.add_argument("--seconds", type=float, default=20.0)
    asked.add_argument("--rate", type=float, default=150.0)
    asked.add_argument("--leaving", type=float, default=0.5)
    asked.add_argument("--build", default="")
    told = asked.parse_args()
    runs = []
    for seed in range(1, told.seeds + 1):
        runs.append(play(seed, told))
        print(*(f"{name}={value:.3f}" if isinstance(value, float) else f"{name}={value}"
                for name, value in runs[-1].items()))
    print(json.dumps(runs))
    return int(any(run["late"] for run in runs))


if __name__ == "__main__":
    sys.exit(main())
