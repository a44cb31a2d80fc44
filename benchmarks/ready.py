"""How long a gateway that starts again takes until it is ready, and what it waits for.

    python benchmarks/ready.py [--gateways 200] [--rows roll,kill] [--cores 0] [--agreed 20] [--single 15]

Real processes on loopback, one rig that plays hosts, counter, discovery and a light load. A row a round: a tenth at a time
is told to end (SIGTERM), each process started again as soon as it has ended; or seven in ten are killed and started again at
once; with discovery up, refusing connections, turning calls away (503) or silent, and a counter that answers or is silent.
Each process tells when its interpreter was up, when it had imported all (it opens its configuration), read that and put
itself together, and listened, with its CPU seconds until then and those for which it waited for a core (Linux: schedstat).
Then the rig sees the first PING, `/-/ready`, answer and ok. Times are seconds since the rig began to start the process, p50,
p90 and most; `rig` is the longest time for which the rig itself stood still. It starts one process after another in a roll
(`begun within`) and lets all go at once after a kill. `--cores` lets gateways run on so many only; `--agreed` plays a small
fleet whose settings are agreed on; `--single` starts so many processes one after the other, with 6 and 1000 methods and 200
hosts known. Refuses where the gateways would take over half of the memory. A table, and one JSON line last; exit code 1 when
fewer than nine in ten of a row were ready within 10 s.
"""

import os
import sys
import time


def told():
    """Run the program, which tells how far it came, and when, once it listens."""
    marks, listens = {}, int(os.environ["READY_LISTENS"])

    def mark(name):
        if name not in marks:
            marks[name] = ()  # what is opened here is seen as well
            with open("/proc/self/schedstat") as file:
                ran, waited = file.read().split()[:2]
            marks[name] = time.time(), int(ran) / 1e9, int(waited) / 1e9

    def hear(event, words):
        if event == "open" and words[0] == os.environ["PROXY_CONFIG"]:
            mark("imports")
        elif event == "socket.__new__" and "imports" in marks:
            mark("configuration")
        elif event == "socket.bind" and words[1][1] == listens:
            mark("listening")
            import orjson

            os.write(1, orjson.dumps({"event": "stages", "marks": marks}) + b"\n")

    mark("interpreter")
    sys.addaudithook(hear)
    import runpy

    runpy.run_module("petrellane", run_name="__main__", alter_sys=True)


if __name__ == "__main__" and "READY_LISTENS" in os.environ:
    told()
    raise SystemExit(0)

import argparse  # noqa: E402
import dataclasses  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import tempfile  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

from petrellane.net import resp  # noqa: E402
from petrellane.net.stream import Closed, Stream  # noqa: E402
from petrellane.testbed.clients import Customer, Method  # noqa: E402
from petrellane.testbed.fake_server import LIMITS  # noqa: E402
from petrellane.testbed.fleet import LoopbackFleet  # noqa: E402
from petrellane.testbed.fleet_control import FleetControl  # noqa: E402
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings  # noqa: E402
from petrellane.testbed.processes import Build  # noqa: E402

BOUND, PATIENCE = 10.0, 60.0
MEMORY = 40 * 2**20  # bytes of one gateway, about
STAGES = (
    "interpreter",
    "imports",
    "configuration",
    "listening",
    "started",
    "PING",
    "/-/ready",
    "answer",
    "ok",
)
DISCOVERY = ("up", "refuses", "503", "silent")


class Start:
    """One start of a gateway: seconds from its begin to each stage; `cpu` and `waited` are those up to `listening`."""

    def __init__(self, gateway, cores):
        self.gateway, self.lab, self.at = gateway, gateway.fleet, {}
        self.began, self.heard = time.time(), len(gateway.events)
        gateway.start()
        if cores:
            os.sched_setaffinity(gateway.process.popen.pid, cores)

    def watch(self, began):
        """Look at it from now on; it began then."""
        self.began = began
        self.lab.scheduler.spawn(
            self.ask, "PING", self.gateway.port, b"*1\r\n$4\r\nPING\r\n", b"+PONG"
        )
        self.lab.scheduler.spawn(
            self.ask,
            "/-/ready",
            self.gateway.management_port,
            b"GET /-/ready HTTP/1.1\r\n\r\n",
            b"HTTP/1.1 200",
        )
        self.lab.scheduler.spawn(self.serve)

    def listens(self):
        """Wait until it does, by its log: asking before would take the cores from those that start."""
        while not self.gateway.ready:
            self.lab.scheduler.wait(0.01)

    def ask(self, stage, port, question, answer):
        self.listens()
        while stage not in self.at and time.time() < self.began + PATIENCE:
            try:
                stream = Stream.dial(self.lab.scheduler, LIMITS, (self.lab.addresses.ip, port), 1.0)
            except OSError:
                self.lab.scheduler.wait(0.02)
                continue
            try:
                stream.write(question)
                stream.fill(1.0)
                if stream.buffer.startswith(answer):
                    self.at[stage] = time.time() - self.began
            except (Closed, TimeoutError):
                pass
            finally:
                stream.close()

    def serve(self):
        """RPCs one after the other until one is answered with ok."""
        self.listens()
        number = 0
        while "ok" not in self.at and time.time() < self.began + PATIENCE:
            try:
                stream = Stream.dial(
                    self.lab.scheduler, LIMITS, (self.lab.addresses.ip, self.gateway.port), 1.0
                )
            except OSError:
                self.lab.scheduler.wait(0.02)
                continue
            try:
                while "ok" not in self.at:
                    number += 1
                    stream.write(
                        resp.words(
                            b"SVC.QUERY",
                            b"%016x" % (9000 + self.gateway.number),
                            b"ready-%x-%x-%x"
                            % (self.gateway.number, int(self.began * 1e3), number),
                            b"c=look,t=sold,d=2000,units=1,spread=1,first=0",
                        )
                    )
                    while not (found := resp.answer(stream.buffer, 0, LIMITS)):
                        stream.fill(2.5)
                    self.at.setdefault("answer", time.time() - self.began)
                    words = bytes(stream.buffer[slice(*found[1])]).split() if found[1] else []
                    if found[0] == 0x24:
                        self.at["ok"] = time.time() - self.began
                    del stream.buffer[: found[2]]
                    told = int(words[1]) / 1e3 if words[:1] == [b"BUSY"] and len(words) > 1 else 0.0
                    self.lab.scheduler.wait(
                        max(0.1, told)
                    )  # as clients do: the rig is not to be pressed by this
            except (Closed, resp.Malformed, TimeoutError):
                self.lab.scheduler.wait(0.05)
            finally:
                stream.close()

    @property
    def over(self):
        return (
            "ok" in self.at
            and "PING" in self.at
            and "/-/ready" in self.at
            or time.time() > self.began + PATIENCE
        )

    def row(self):
        """What is known of it, {} of a stage that it never came to."""
        found = dict(self.at)
        for event in self.gateway.events[self.heard :]:
            if event["event"] == "stages":
                found |= {name: mark[0] - self.began for name, mark in event["marks"].items()}
                found["cpu"], found["waited"] = event["marks"]["listening"][1:]
            elif event["event"] == "started":
                found.setdefault("started", event["at"] - self.began)
        return found


def put(lab, discovery, quiet):
    """Let discovery and the counter be so from now on."""
    lab.counter.quiet = quiet
    lab.discovery.away = discovery == "silent"
    vars(lab.discovery).pop("serve", None)
    if discovery == "503":

        def turned_away(stream, gateway):
            while True:
                while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
                    stream.fill()
                del stream.buffer[: end + 4]
                stream.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

        lab.discovery.serve = turned_away
    for door in lab.discovery.listeners.values():
        if discovery == "refuses":
            door.crash()
        else:
            if discovery == "503":
                for stream in list(door.streams):
                    stream.close()
            door.listen_again()


def kill(lab, cores):
    """Seven in ten are killed, and started again at once."""
    lost = [one for one in lab.gateways if one.number % 10 < 7]
    for one in lost:
        one.process.expected = True
        one.process.popen.kill()
    for one in lost:
        one.kill()
    gate, script = os.path.join(lab.folder, "gate"), os.path.join(lab.folder, "gated")
    if not os.path.exists(
        gate
    ):  # the rig starts one after another: they wait there, and go on into the program together
        os.mkfifo(gate)
        with open(script, "w") as file:
            file.write(f'#!/bin/sh\nread line < {gate}\nexec {sys.executable} "$@"\n')
        os.chmod(script, 0o700)
    held = os.open(gate, os.O_RDWR)
    starts = []
    for one in lost:
        plain, one.build = one.build, dataclasses.replace(one.build, python=script)
        starts.append(Start(one, cores))
        one.build = plain
        lab.run_turn()
    lab.run_for(1.0)
    began = time.time()
    os.write(held, b"\n" * len(starts))
    for start in starts:
        start.watch(began)
    lab.run_until(lambda: all(start.over for start in starts), "all ready", 2 * PATIENCE)
    os.close(held)
    return starts


def roll(lab, cores):
    """A tenth at a time is told to end and started again."""
    starts = []
    for step in range(10):
        left = [one for one in lab.gateways if one.number % 10 == step]
        for one in left:
            one.process.expected = True
            one.process.signal(signal.SIGTERM)
        begun = []

        def again(left=left, begun=begun):
            for one in [one for one in left if not one.process.is_running]:
                left.remove(one)
                begun.append(Start(one, cores))
                begun[-1].watch(begun[-1].began)
            return not left and all(start.over for start in begun)

        lab.run_until(again, "a tenth ready", 2 * PATIENCE)
        starts += begun
    return starts


def of(values):
    """p50, p90 and most; None where it never came for so many."""
    values = sorted(values)
    return [
        round(values[min(len(values) - 1, int(part * len(values)))], 2) if values else None
        for part in (0.5, 0.9, 1.0)
    ]


def summed(name, starts):
    rows = [start.row() for start in starts]
    ready = [
        max(row[stage] for stage in ("PING", "/-/ready"))
        for row in rows
        if "PING" in row and "/-/ready" in row
    ]
    within = sum(one <= BOUND for one in ready)
    begun = [start.began for start in starts]
    told = {
        "row": name,
        "starts": len(rows),
        "begun within": round(max(begun) - min(begun), 2),
        "ready within 10 s": within,
        "ready": of(ready),
    }
    for stage in (*STAGES, "cpu", "waited"):
        told[stage] = of([row[stage] for row in rows if stage in row])
        if lacking := sum(stage not in row for row in rows):
            told[stage + " never"] = lacking
    return told


def play(gateways, rows, cores, agreement):
    shape = FleetSpec(
        gateways=gateways,
        hosts=20,
        relays=(),
        rate=60.0,
        work=0.01,
        agreement=agreement,
        settings=build_settings(SettingsSpec(gateways, quota=500.0)),
        methods=[Method("look")],
        customers=[Customer(number + 1, "sold", gateway_count=gateways) for number in range(20)],
    )
    with LoopbackFleet(shape) as lab:
        for one in lab.gateways:
            one.build = Build(module="benchmarks.ready", cwd=ROOT)
            one.environ = {"READY_LISTENS": str(one.port)}
            one.start()
            if cores:
                os.sched_setaffinity(one.process.popen.pid, cores)
            lab.run_turn()
        if agreement:
            lab.controls["control"] = FleetControl(lab, "control")
            lab.controls["control"].start()
        lab.run_until(lambda: all(one.ready for one in lab.gateways), "all gateways ready", 120.0)
        lab.clients.start()
        lab.run_for(3.0)
        for what, discovery, counter in rows:
            put(lab, discovery, counter == "silent")
            lab.run_for(1.0)
            lab.longest_stall_s = 0.0
            starts = (kill if what == "kill" else roll)(lab, cores)
            name = f"{what}, discovery {discovery}, counter {counter}" + (
                ", agreed" if agreement else ""
            )
            yield {
                **summed(name, starts),
                "gateways": gateways,
                "crashes": len(lab.crashes),
                "rig": round(lab.longest_stall_s, 2),
            }
            put(lab, "up", False)
            lab.run_for(3.0)


def alone(times):
    """CPU milliseconds of starts alone up to `started`, median, and memory in MB: the bare interpreter, and the program with
    6 and 1000 methods."""
    found = {}
    with tempfile.TemporaryDirectory() as folder:
        for name, more in (("interpreter", None), ("6 methods", 3), ("1000 methods", 997)):
            file = os.path.join(folder, "config.json")
            rows = [
                {
                    "name": f"h{number}",
                    "address": f"127.99.0.1:{3000 + number}",
                    "zone": "z",
                    "type": "k",
                    "group": 1,
                    "status": "in_service",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for number in range(200)
            ]
            told = {
                "name": "g",
                "listen": "127.99.0.1:2000",
                "discovery": "127.99.0.1:2001",
                "counter": "127.99.0.1:2002",
                "seed": "1",
                "known": {"index": 1, "snapshot": True, "endpoints": rows},
                "settings": build_settings(
                    SettingsSpec(200, extra_methods=[f"m{number}" for number in range(more or 0)])
                ),
            }
            with open(file, "w") as out:
                json.dump(told, out)
            words = (
                ["-m", "petrellane", "serve"]
                if more
                else ["-c", "print('\"started\"', flush=True)"]
            )
            costs = []
            for _ in range(times):
                process = subprocess.Popen(
                    [sys.executable, *words],
                    stdout=subprocess.PIPE,
                    cwd=ROOT,
                    env={**os.environ, "PROXY_CONFIG": file},
                )
                next(line for line in process.stdout if b'"started"' in line)
                os.kill(process.pid, signal.SIGKILL)
                _, _, usage = os.wait4(process.pid, 0)
                process.returncode = 0
                process.stdout.close()
                costs.append(((usage.ru_utime + usage.ru_stime) * 1e3, usage.ru_maxrss / 1024))
            found[name] = [round(value, 1) for value in sorted(costs)[times // 2]]
    return found


def main():
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--gateways", type=int, default=200)
    asked.add_argument(
        "--rows", default="", help="of all rows only those that begin so, e.g. kill,roll"
    )
    asked.add_argument("--cores", type=int, default=0)
    asked.add_argument(
        "--agreed", type=int, default=0, help="gateways of a small fleet with agreement, 0: none"
    )
    asked.add_argument("--single", type=int, default=15)
    told = asked.parse_args()
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    if max(told.gateways, told.agreed) * MEMORY > memory / 2:
        print(
            f"{told.gateways} gateways take over half of the memory ({memory / 2**30:.1f} GB)",
            file=sys.stderr,
        )
        return 2
    cores = set(sorted(os.sched_getaffinity(0))[-told.cores :]) if told.cores else None
    rows = [
        ("roll", "up", "up"),
        ("roll", "refuses", "silent"),
        *(("kill", discovery, "up" if discovery == "up" else "silent") for discovery in DISCOVERY),
    ]
    rows = [
        row
        for row in rows
        if not told.rows or any(" ".join(row).startswith(one) for one in told.rows.split(","))
    ]
    runs = []
    if told.single:
        runs.append({"row": "alone", **alone(told.single)})
        print(runs[-1], flush=True)
    for gateways, agreement in ((told.gateways, False), (told.agreed, True)):
        for run in play(gateways, rows, cores, agreement) if gateways else ():
            runs.append(run)
            print(
                "  ".join(
                    f"{name}: "
                    + ("/".join(map(str, value)) if isinstance(value, list) else str(value))
                    for name, value in run.items()
                ),
                flush=True,
            )
    print(json.dumps(runs))
    return int(
        any(run["ready within 10 s"] < 0.9 * run["starts"] for run in runs if "starts" in run)
    )


if __name__ == "__main__":
    sys.exit(main())
